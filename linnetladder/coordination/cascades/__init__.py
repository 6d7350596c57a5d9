"""Which version answers first, what is learnt of quality, and when to climb."""
