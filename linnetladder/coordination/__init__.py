"""Coordination: routing, cascades, admission, retries, claims, billing, configuration.

`Router` handles the requests. The other classes keep the data that it routes by in
sync with the platform and the endpoints. This package is independent of wire formats.
"""

from linnetladder.lazy_exports import lazy_exports

__all__ = [
    "AccountLimits",
    "AddressLimits",
    "Admission",
    "AttemptRunner",
    "BackgroundTasks",
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
        "BackgroundTasks": "background",
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
