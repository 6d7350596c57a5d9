"""Coordination: routing, cascades, admission, retries, claims, billing, configuration.

`Router` answers one request at a time; the other classes keep what it needs in step
with the platform and the endpoints. Nothing here knows a wire format.
"""

from linnetladder.coordination.admission.limits import AccountLimits, AddressLimits
from linnetladder.coordination.admission.slots import Admission
from linnetladder.coordination.attempts.ejection import Ejector
from linnetladder.coordination.attempts.poison import PoisonRegistry
from linnetladder.coordination.attempts.retries import RetryBudget
from linnetladder.coordination.attempts.runner import AttemptRunner
from linnetladder.coordination.background import Background
from linnetladder.coordination.billing.completion import Completion
from linnetladder.coordination.billing.writer import BillWriter
from linnetladder.coordination.claims.strategies import CompareAndSwapClaims
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.configuration.live_state import LiveState
from linnetladder.coordination.membership.discovery import Discovery
from linnetladder.coordination.membership.registration import Registration
from linnetladder.coordination.routing.entry import EntryChecks
from linnetladder.coordination.routing.exchanges import (
    Refused,
    StreamExchange,
    WholeExchange,
)
from linnetladder.coordination.routing.requests import (
    CallerRequest,
    ChatWork,
    ServiceWork,
)
from linnetladder.coordination.routing.router import Router

__all__ = [
    "AccountLimits",
    "AddressLimits",
    "Admission",
    "AttemptRunner",
    "Background",
    "BillWriter",
    "CallerRequest",
    "ChatWork",
    "Completion",
    "CompareAndSwapClaims",
    "ConfigurationInForce",
    "Discovery",
    "Ejector",
    "EntryChecks",
    "LiveState",
    "PoisonRegistry",
    "Refused",
    "Registration",
    "RetryBudget",
    "Router",
    "ServiceWork",
    "StreamExchange",
    "WholeExchange",
]
