"""State of forwarding: routing tables, requests, sessions, prompts, rollouts."""

from linnetladder.forwarding.state.requests import (
    CallerHead,
    ForwardRequest,
    Prompt,
    PromptPart,
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
    ModelSize,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    credential_digest,
)

__all__ = [
    "CallerHead",
    "CallerLimits",
    "ClientAccount",
    "EngineSpec",
    "ForwardRequest",
    "ModelSize",
    "Prompt",
    "PromptPart",
    "RequestKind",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutRecord",
    "Route",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "credential_digest",
]
