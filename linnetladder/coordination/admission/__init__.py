"""Admission control: rate limits, endpoint slots and fair queues."""
