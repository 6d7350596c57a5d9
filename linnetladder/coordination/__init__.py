"""Coordination: routing, cascades, admission, retries, claims, billing, configuration.

`Router` answers one request at a time; the other classes keep what it needs in step
with the platform and the endpoints. Nothing here knows a wire format.
"""

from linnetladder.lazy_exports import lazy_exports

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

__getattr__, __dir__ = lazy_exports(
    __name__,
    {
        "AccountLimits": "admission.limits",
        "AddressLimits": "admission.limits",
        "Admission": "admission.slots",
        "AttemptRunner": "attempts.runner",
        "Background": "background",
        "BillWriter": "billing.writer",
        "CallerRequest": "routing.requests",
        "ChatWork": "routing.requests",
        "Completion": "billing.completion",
        "CompareAndSwapClaims": "claims.strategies",
        "ConfigurationInForce": "configuration.in_force",
        "Discovery": "membership.discovery",
        "Ejector": "attempts.ejection",
        "EntryChecks": "routing.entry",
        "LiveState": "configuration.live_state",
        "PoisonRegistry": "attempts.poison",
        "Refused": "routing.exchanges",
        "Registration": "membership.registration",
        "RetryBudget": "attempts.retries",
        "Router": "routing.router",
        "ServiceWork": "routing.requests",
        "StreamExchange": "routing.exchanges",
        "WholeExchange": "routing.exchanges",
    },
)
