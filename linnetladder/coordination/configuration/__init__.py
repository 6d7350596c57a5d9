"""Which configuration is in force, and how a new one is published."""
