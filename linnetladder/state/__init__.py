"""State: the settings tree, snapshots, sessions, receipts, endpoints and the ledger.

Everything here is held in memory and knows nothing of how it travels. What must last
is encoded for the platform's key-value service.
"""

from linnetladder.state.clock import BootClock, Clock, SystemClock
from linnetladder.state.endpoint_table import EndpointTable, Target
from linnetladder.state.endpoints import Endpoint, EndpointReport
from linnetladder.state.ledger import Bill
from linnetladder.state.pools import Pool
from linnetladder.state.receipts import DecisionInputs, Receipt, Trial
from linnetladder.state.sessions import Session
from linnetladder.state.signing import KeyRing, SigningKey
from linnetladder.state.snapshot import AccountView, Manifest, Snapshot
from linnetladder.state.tree import Node, SettingsTree
from linnetladder.state.versions import ModelVersion, Rollout, VersionRef

__all__ = [
    "AccountView",
    "Bill",
    "BootClock",
    "Clock",
    "DecisionInputs",
    "Endpoint",
    "EndpointReport",
    "EndpointTable",
    "KeyRing",
    "Manifest",
    "ModelVersion",
    "Node",
    "Pool",
    "Receipt",
    "Rollout",
    "Session",
    "SettingsTree",
    "SigningKey",
    "Snapshot",
    "SystemClock",
    "Target",
    "Trial",
    "VersionRef",
]
