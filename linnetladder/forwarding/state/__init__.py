"""State of the forwarding daemon: routing tables, requests and rollouts."""

from linnetladder.forwarding.state.crashes import CrashingPart, Trial
from linnetladder.forwarding.state.evacuations import EvacuatedDomain
from linnetladder.forwarding.state.positions import Position
from linnetladder.forwarding.state.requests import (
    ForwardRequest,
    Prompt,
    PromptPart,
    RequestHead,
)
from linnetladder.forwarding.state.rollouts import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from linnetladder.forwarding.state.routes import (
    CallerLimits,
    ClientAccount,
    EngineSpec,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    UnreadableParts,
    UnreadableRoute,
    credential_digest,
)

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "CrashingPart",
    "EngineSpec",
    "EvacuatedDomain",
    "ForwardRequest",
    "Position",
    "Prompt",
    "PromptPart",
    "RequestHead",
    "RequestKind",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutRecord",
    "Route",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "Trial",
    "UnreadableParts",
    "UnreadableRoute",
    "credential_digest",
]
