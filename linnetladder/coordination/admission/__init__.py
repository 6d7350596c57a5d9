"""Who gets a slot at an endpoint, in which order, and within which limits."""
