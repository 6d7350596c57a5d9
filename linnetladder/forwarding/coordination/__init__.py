"""Coordination of forwarding: what is in force, where requests go, what is repeated."""

from linnetladder.forwarding.coordination.following import Follower
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.sources import OperatorSource

__all__ = ["Follower", "Forwarder", "OperatorSource", "TableInForce"]
