"""Attempts at endpoints: faults, silence, retries, ejection, poison, streams."""
