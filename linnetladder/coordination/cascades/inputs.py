"""The quality estimates among a decision's inputs, as stored in a receipt."""

import itertools

from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.state import AccountView, Snapshot, VersionRef
from linnetladder.state.receipts import PlanEstimate, QualityInputs

__all__ = ["build_quality_inputs"]

# Versions, cheapest first, that plans of several steps are built from.
MAXIMUM_PLANNED_VERSIONS = 4
MAXIMUM_PLAN_STEPS = 3


def build_quality_inputs(
    learner: QualityLearner,
    snapshot: Snapshot,
    view: AccountView,
    kind: str,
    available: tuple[str, ...],
    *,
    rater_available: bool,
) -> QualityInputs:
    """Return the estimates of versions and, with a rater, of plans of several steps."""
    versions = [snapshot.versions[VersionRef.parse(text)] for text in available]
    qualities = {
        str(version.ref): learner.quality(snapshot, view, kind, version)
        for version in versions
    }
    estimates = [PlanEstimate(name, value) for name, value in qualities.items()]
    if rater_available:
        versions.sort(key=lambda version: (version.output_price, version.ref))
        names = [str(version.ref) for version in versions]
        names = _drop_dominated(names, qualities)[:MAXIMUM_PLANNED_VERSIONS]
        estimates = [e for e in estimates if e.plan not in names]
        for steps in _build_step_sequences(names):
            name = ">".join(steps)
            values = tuple(qualities[step] for step in steps)
            quality = learner.plan_quality(snapshot, view, kind, name, values)
            if len(steps) == 1:
                quality = values[0]
            poor = learner.poor_share(snapshot, view, kind, name, values[-1])
            estimates.append(PlanEstimate(name, quality, poor))
    return QualityInputs(tuple(estimates), learner.price(view.account))


def _build_step_sequences(names: list[str]) -> list[tuple[str, ...]]:
    """Return the plans of up to three steps, each better than the one before."""
    return [
        steps
        for count in range(1, MAXIMUM_PLAN_STEPS + 1)
        for steps in itertools.combinations(names, count)
    ]


def _drop_dominated(names: list[str], qualities: dict[str, float]) -> list[str]:
    """Return the versions whose quality exceeds that of every cheaper one.

    ``names`` is in order of increasing price.
    """
    kept: list[str] = []
    for name in names:
        if not kept or qualities[name] > qualities[kept[-1]]:
            kept.append(name)
    return kept
