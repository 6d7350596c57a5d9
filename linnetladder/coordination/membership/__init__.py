"""Which daemons and endpoints there are."""
