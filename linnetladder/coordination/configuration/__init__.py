"""The configuration in force at a daemon, and publishing of new revisions."""
