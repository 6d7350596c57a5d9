"""Coordination: routing, cascades, admission, retries, claims, billing, configuration.

`Router` answers one request at a time; the other classes keep what it needs in step
with the platform and the endpoints. Nothing here knows a wire format.
"""

from linnetladder.coordination.admission import Admission
from linnetladder.coordination.attempts import AttemptRunner
from linnetladder.coordination.background import Background
from linnetladder.coordination.billing import BillWriter
from linnetladder.coordination.claims import CompareAndSwapClaims
from linnetladder.coordination.completion import Completion
from linnetladder.coordination.configuration import ConfigurationInForce
from linnetladder.coordination.discovery import Discovery
from linnetladder.coordination.ejection import Ejector
from linnetladder.coordination.entry import EntryChecks
from linnetladder.coordination.exchanges import Refused, StreamExchange, WholeExchange
from linnetladder.coordination.limits import AccountLimits, AddressLimits
from linnetladder.coordination.live_state import LiveState
from linnetladder.coordination.poison import PoisonBook
from linnetladder.coordination.registration import Registration
from linnetladder.coordination.requests import CallerRequest, ChatWork, ServiceWork
from linnetladder.coordination.retries import RetryBudget
from linnetladder.coordination.router import Router

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
    "PoisonBook",
    "Refused",
    "Registration",
    "RetryBudget",
    "Router",
    "ServiceWork",
    "StreamExchange",
    "WholeExchange",
]
