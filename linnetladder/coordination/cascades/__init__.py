"""Cascades: choice of the first version, quality estimates and escalation."""
