"""Bills: written in blocks, copied to peers, read back, and tied to answers."""
