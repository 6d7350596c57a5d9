"""Links to other daemons and the messages exchanged over them."""
