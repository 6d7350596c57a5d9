"""Attempts at endpoints: retries, ejection, poison requests and streams."""
