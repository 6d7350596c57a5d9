"""The settings of a node of the settings tree, and the rules for overriding them.

`NodeSettings` holds the values that one node sets itself, with ``None`` for every
inherited one. `ResolvedSettings` holds the values in force for one client account, each
with the node that set it. `NARROWING` has a predicate for each setting that returns
whether an override is no wider than the inherited value; it applies to settings that an
ancestor locks.
"""

import dataclasses
from collections.abc import Callable, Mapping

from linnetladder.state.versions import Rollout

__all__ = [
    "NARROWING",
    "SETTING_DEFAULTS",
    "NodeSettings",
    "ResolvedSettings",
    "is_narrower_pattern_set",
]

# Values of the setting ``session_on_withdrawal``.
ON_WITHDRAWAL_END = "end"
ON_WITHDRAWAL_RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """The values one node sets itself; ``None`` means that the value is inherited."""

    allowed_versions: tuple[str, ...] | None = None
    allowed_services: tuple[str, ...] | None = None
    rollouts: tuple[Rollout, ...] | None = None
    quality_target: float | None = None
    quality_floor: float | None = None
    cascade_policy: str | None = None
    escalation_billing: str | None = None
    requests_per_second: float | None = None
    burst: int | None = None
    maximum_in_flight: int | None = None
    share_weight: float | None = None
    maximum_output_tokens: int | None = None
    maximum_body_bytes: int | None = None
    default_deadline_seconds: float | None = None
    maximum_deadline_seconds: float | None = None
    maximum_priority: int | None = None
    session_lifetime_seconds: float | None = None
    session_on_withdrawal: str | None = None
    maximum_staleness_seconds: float | None = None


SETTING_DEFAULTS = NodeSettings(
    allowed_versions=(),
    allowed_services=(),
    rollouts=(),
    quality_target=0.8,
    quality_floor=0.0,
    cascade_policy="target_on_average",
    escalation_billing="final",
    requests_per_second=50.0,
    burst=100,
    maximum_in_flight=64,
    share_weight=1.0,
    maximum_output_tokens=4096,
    maximum_body_bytes=1_048_576,
    default_deadline_seconds=60.0,
    maximum_deadline_seconds=300.0,
    maximum_priority=5,
    session_lifetime_seconds=28_800.0,
    session_on_withdrawal=ON_WITHDRAWAL_END,
    maximum_staleness_seconds=60.0,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedSettings:
    """The values in force for one node, and the node that set each.

    ``origins`` maps a setting's name to the path of its node, or to ``(default)``.
    """

    path: str
    values: NodeSettings
    origins: Mapping[str, str]

    def rollout(self, model: str) -> Rollout | None:
        """Return the roll-out in force for a model, if there is one."""
        for rollout in self.values.rollouts:
            if rollout.model == model:
                return rollout
        return None


def is_narrower_pattern_set(inner: tuple[str, ...], outer: tuple[str, ...]) -> bool:
    """Return whether every pattern of ``inner`` is covered by one of ``outer``.

    A pattern is ``model`` or ``model@version``; ``model`` covers all its versions.
    """
    outer_patterns = set(outer)
    return all(
        pattern in outer_patterns or pattern.partition("@")[0] in outer_patterns
        for pattern in inner
    )


def _no_greater(inner: float, outer: float) -> bool:
    return inner <= outer


def _no_smaller(inner: float, outer: float) -> bool:
    return inner >= outer


def _equal(inner: object, outer: object) -> bool:
    return inner == outer


NARROWING: dict[str, Callable[..., bool]] = {
    "allowed_versions": is_narrower_pattern_set,
    "allowed_services": is_narrower_pattern_set,
    "rollouts": _equal,
    "quality_target": _no_smaller,
    "quality_floor": _no_smaller,
    "cascade_policy": _equal,
    "escalation_billing": _equal,
    "requests_per_second": _no_greater,
    "burst": _no_greater,
    "maximum_in_flight": _no_greater,
    "share_weight": _no_greater,
    "maximum_output_tokens": _no_greater,
    "maximum_body_bytes": _no_greater,
    "default_deadline_seconds": _no_greater,
    "maximum_deadline_seconds": _no_greater,
    "maximum_priority": _no_greater,
    "session_lifetime_seconds": _no_greater,
    "session_on_withdrawal": _equal,
    "maximum_staleness_seconds": _no_greater,
}
