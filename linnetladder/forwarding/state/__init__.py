"""State of forwarding: routing tables, requests, sessions, prompts, rollouts."""

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
    ServedModel,
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
