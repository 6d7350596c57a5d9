"""The commands, one module each, with the command as ``COMMAND``."""
