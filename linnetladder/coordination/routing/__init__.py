"""Request routing: entry checks, version decision, endpoint choice, answer."""
