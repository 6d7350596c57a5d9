"""Daemon registration and endpoint discovery."""
