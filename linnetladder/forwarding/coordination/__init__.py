"""Coordination of forwarding: configuration in force, routing and retries."""

from linnetladder.forwarding.coordination.following import Follower
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.sources import OperatorSource

__all__ = ["Follower", "Forwarder", "OperatorSource", "TableInForce"]
