"""The right to run a request that may run once."""
