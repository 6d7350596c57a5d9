"""The way of a request: entry checks, decision, choice of an endpoint, answer."""
