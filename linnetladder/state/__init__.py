"""State: the settings tree, snapshots, sessions, receipts, endpoints and the ledger.

Everything here is held in memory and is independent of the transport. Data that must
be durable is encoded for the platform's key-value service.
"""

from linnetladder.lazy_exports import lazy_exports

__all__ = [
    "AccountView",
    "AttemptRecord",
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
    "VersionRef",
]

__getattr__, __dir__ = lazy_exports(
    __name__,
    {
        "AccountView": "snapshot",
        "AttemptRecord": "receipts",
        "Bill": "ledger",
        "BootClock": "clock",
        "Clock": "clock",
        "DecisionInputs": "receipts",
        "Endpoint": "endpoints",
        "EndpointReport": "endpoints",
        "EndpointTable": "endpoint_table",
        "KeyRing": "signing",
        "Manifest": "snapshot",
        "ModelVersion": "versions",
        "Node": "tree",
        "Pool": "pools",
        "Receipt": "receipts",
        "Rollout": "versions",
        "Session": "sessions",
        "SettingsTree": "tree",
        "SigningKey": "signing",
        "Snapshot": "snapshot",
        "SystemClock": "clock",
        "Target": "endpoint_table",
        "VersionRef": "versions",
    },
)
