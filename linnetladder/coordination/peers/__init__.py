"""Links to other daemons and what is said over them."""
