"""Claims, which ensure that a non-idempotent request runs at most once."""
