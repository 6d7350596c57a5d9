"""Coordination of forwarding: configuration in force, routing and retries."""

from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.coordination.store_polling import StorePoller

__all__ = ["Forwarder", "OperatorSource", "StorePoller", "TableInForce"]
