"""The choice of model and version for one request.

`decide` is a pure function of the snapshot and the `DecisionInputs`. A receipt records
both, so any decision can be replayed later and must give the same result.
"""

import dataclasses

from linnetladder.coordination.cascades.policies import (
    POLICIES,
    Option,
    Plan,
    PolicyInputs,
    implied_price,
    pareto_frontier,
)
from linnetladder.coordination.routing.requests import AUTOMATIC_MODEL
from linnetladder.errors import ErrorKind, Explanation, Refusal, RejectedCandidate
from linnetladder.state import (
    AccountView,
    DecisionInputs,
    ModelVersion,
    Snapshot,
    VersionRef,
)
from linnetladder.state.receipts import PlanEstimate

__all__ = ["Decision", "decide"]

PULLED_REASON = "this daemon has pulled it because it turned bad"


@dataclasses.dataclass(slots=True, kw_only=True)
class Decision:
    """The chosen plan with the versions to fall back on, or the refusal.

    ``implied_price`` is the price of quality at which the plan beats cheaper ones.
    ``ranked_versions`` holds the plan's first version, then every other serving
    version in order of value; they are tried when the first one has no free slot.
    """

    plan: Plan | None = None
    implied_price: float = 0.0
    ranked_versions: tuple[ModelVersion, ...] = ()
    refusal: Refusal | None = None
    rejected_candidates: tuple[RejectedCandidate, ...] = ()


@dataclasses.dataclass(slots=True)
class _Search:
    """The inputs of one decision and the candidates rejected so far, with reasons."""

    snapshot: Snapshot
    view: AccountView
    inputs: DecisionInputs
    rejected_candidates: list[RejectedCandidate] = dataclasses.field(
        default_factory=list
    )

    def reject(self, ref: VersionRef, reason: str) -> None:
        self.rejected_candidates.append(RejectedCandidate(str(ref), reason))

    def refuse(self, kind: ErrorKind, detail: str, node: str = "") -> Decision:
        explanation = Explanation(
            revision=self.snapshot.revision,
            account=self.view.account,
            node=node,
            rejected_candidates=tuple(self.rejected_candidates),
        )
        refusal = Refusal(kind, detail, explanation=explanation)
        return Decision(
            refusal=refusal, rejected_candidates=tuple(self.rejected_candidates)
        )


def decide(snapshot: Snapshot, inputs: DecisionInputs) -> Decision:
    """Return the plan and the ranked versions for a request, or the refusal."""
    search = _Search(snapshot, snapshot.view(inputs.account), inputs)
    unknown = _refuse_unknown(search)
    if unknown is not None:
        return unknown
    requested = _filter_by_request(search)
    if not requested:
        return _refuse_unmatched(search)
    eligible = _filter_by_rollout(search, requested)
    serving = _filter_by_endpoint(search, eligible)
    if not serving:
        return _refuse_unserved(search, eligible)
    return _choose(search, serving)


def _refuse_unknown(search: _Search) -> Decision | None:
    """Refuse a model or version that the snapshot does not declare."""
    wanted = VersionRef.parse(search.inputs.wanted)
    if wanted.model == AUTOMATIC_MODEL:
        return None
    versions = search.snapshot.versions_by_model.get(wanted.model)
    if versions is None:
        detail = f"model {wanted.model!r} is not declared"
        return search.refuse(ErrorKind.UNKNOWN_MODEL, detail)
    if wanted.version and wanted not in search.snapshot.versions:
        detail = f"version {wanted.version!r} of model {wanted.model!r} is not declared"
        return search.refuse(ErrorKind.UNKNOWN_MODEL, detail)
    return None


def _filter_by_request(search: _Search) -> list[ModelVersion]:
    """Return the allowed versions that match the session's pin and requested model."""
    wanted = VersionRef.parse(search.inputs.wanted)
    pin = search.inputs.pin
    matching = []
    for version in search.view.allowed:
        ref = version.ref
        if pin and str(ref) != pin:
            search.reject(ref, f"the session is pinned to {pin}")
        elif wanted.model not in (AUTOMATIC_MODEL, ref.model):
            search.reject(ref, f"the request asks for {search.inputs.wanted}")
        elif wanted.version not in ("", ref.version):
            search.reject(ref, f"the request asks for {search.inputs.wanted}")
        else:
            matching.append(version)
    return matching


def _refuse_unmatched(search: _Search) -> Decision:
    """Refuse with the reason why no allowed version matches the request."""
    inputs = search.inputs
    wanted = VersionRef.parse(inputs.pin or inputs.wanted)
    withdrawn = [r for r in search.view.withdrawn if _matches(r, wanted)]
    if inputs.pin and withdrawn:
        detail = f"version {inputs.pin!r} that the session is pinned to is withdrawn"
        return search.refuse(ErrorKind.SESSION_VERSION_WITHDRAWN, detail)
    if inputs.pin and any(str(v.ref) == inputs.pin for v in search.view.allowed):
        detail = f"the session is pinned to {inputs.pin!r}, not {inputs.wanted!r}"
        return search.refuse(ErrorKind.SESSION_INVALID, detail)
    if withdrawn:
        detail = f"version {str(withdrawn[0])!r} is withdrawn"
        return search.refuse(ErrorKind.VERSION_WITHDRAWN, detail)
    node = search.view.settings.origins["allowed_versions"]
    name = inputs.pin or inputs.wanted
    detail = f"model {name!r} is not allowed for client account {inputs.account!r}"
    return search.refuse(ErrorKind.MODEL_NOT_ALLOWED, detail, node)


def _matches(ref: VersionRef, wanted: VersionRef) -> bool:
    """Return whether a version matches a model or ``model@version`` pattern."""
    if wanted.model not in (AUTOMATIC_MODEL, ref.model):
        return False
    return wanted.version in ("", ref.version)


def _filter_by_rollout(
    search: _Search, requested: list[ModelVersion]
) -> list[ModelVersion]:
    """Return one version of each model, chosen by its roll-out.

    A request that names a version, or a pinned session, keeps all its versions except
    unconfirmed candidates.
    """
    version_is_fixed = bool(search.inputs.pin) or bool(
        VersionRef.parse(search.inputs.wanted).version
    )
    by_model: dict[str, list[ModelVersion]] = {}
    for version in requested:
        by_model.setdefault(version.ref.model, []).append(version)
    eligible = []
    for model, versions in by_model.items():
        fresh = _drop_unconfirmed_candidate(search, model, versions)
        if version_is_fixed:
            eligible.extend(fresh)
        elif fresh:
            eligible.append(_choose_rollout_version(search, model, fresh))
    return eligible


def _drop_unconfirmed_candidate(
    search: _Search, model: str, versions: list[ModelVersion]
) -> list[ModelVersion]:
    """Drop a roll-out's candidate unless the configuration was confirmed lately."""
    rollout = search.view.settings.rollout(model)
    if search.inputs.fresh or rollout is None or not rollout.candidate:
        return versions
    kept = []
    for version in versions:
        if version.ref.version == rollout.candidate:
            search.reject(version.ref, "under roll-out, configuration not confirmed")
        else:
            kept.append(version)
    return kept


def _choose_rollout_version(
    search: _Search, model: str, versions: list[ModelVersion]
) -> ModelVersion:
    """Return the version that the request's draw assigns it to.

    Falls back to the roll-out's stable version, then to the version with the greatest
    name.
    """
    rollout = search.view.settings.rollout(model)
    chosen = max(versions, key=lambda version: version.ref.version)
    if rollout is not None:
        by_name = {version.ref.version: version for version in versions}
        selected = rollout.choose(search.inputs.draw)
        chosen = by_name.get(selected) or by_name.get(rollout.stable) or chosen
    for version in versions:
        if version is not chosen:
            reason = f"this request falls to version {chosen.ref.version}"
            search.reject(version.ref, reason)
    return chosen


def _filter_by_endpoint(
    search: _Search, eligible: list[ModelVersion]
) -> list[ModelVersion]:
    """Return the versions that are not pulled and that an endpoint accepts work for."""
    available = set(search.inputs.available)
    serving = []
    for version in eligible:
        if str(version.ref) in search.inputs.pulled:
            search.reject(version.ref, PULLED_REASON)
        elif str(version.ref) in available:
            serving.append(version)
        else:
            search.reject(version.ref, "no endpoint accepts work for it")
    return serving


def _refuse_unserved(search: _Search, eligible: list[ModelVersion]) -> Decision:
    """Refuse because no eligible version can serve the request now."""
    if not eligible:
        detail = "every allowed version is under roll-out and can't be confirmed"
        return search.refuse(ErrorKind.CONFIGURATION_STALE, detail)
    names = ", ".join(str(version.ref) for version in eligible)
    if all(str(version.ref) in search.inputs.pulled for version in eligible):
        detail = f"version {names} was pulled because it turned bad"
        return search.refuse(ErrorKind.VERSION_WITHDRAWN, detail)
    detail = f"no endpoint accepts work for {names}"
    return search.refuse(ErrorKind.NO_ENDPOINT, detail)


def _choose(search: _Search, serving: list[ModelVersion]) -> Decision:
    """Choose a plan among the serving versions by the account's cascade policy."""
    inputs = search.inputs
    values = search.view.settings.values
    policy = POLICIES[values.cascade_policy]
    plans = _build_plans(search, serving, escalates=policy.escalates)
    policy_inputs = PolicyInputs(
        quality_target=values.quality_target,
        input_tokens=inputs.input_tokens,
        draw=inputs.exploration_draw,
        quality_floor=values.quality_floor,
        quality_price=inputs.quality.price,
    )
    plan = policy.choose(tuple(plans), policy_inputs)
    first = plan.steps[0]
    others = [p for p in plans if len(p.steps) == 1 and p.steps[0] is not first]
    others.sort(key=lambda p: (p.cost - inputs.quality.price * p.quality, p.name))
    for other in others:
        if other.steps[0] not in plan.steps:
            reason = f"expected quality {other.quality:.2f}, cost {other.cost:.0f}"
            search.reject(other.steps[0].ref, reason)
    return Decision(
        plan=plan,
        implied_price=implied_price(plan, plans),
        ranked_versions=(first, *(p.steps[0] for p in others)),
        rejected_candidates=tuple(search.rejected_candidates),
    )


def _build_plans(
    search: _Search, serving: list[ModelVersion], *, escalates: bool
) -> list[Plan]:
    """Return the plans of one version and, if the policy escalates, of several.

    The inputs hold estimates for plans of several steps only if a rater is available.
    A pinned session gets plans of one version.
    """
    inputs = search.inputs
    estimates = {estimate.plan: estimate for estimate in inputs.quality.estimates}
    plans = []
    options = []
    for version in serving:
        learned = estimates.get(str(version.ref))
        quality = (
            learned.quality
            if learned
            else version.expected_quality(inputs.request_kind)
        )
        cost = version.price(
            input_tokens=inputs.input_tokens, output_tokens=inputs.output_tokens
        )
        plans.append(Plan((version,), quality, cost))
        options.append(Option(version, quality, cost))
    if not escalates or inputs.pin:
        return plans
    by_name = {str(option.version.ref): option for option in pareto_frontier(options)}
    for estimate in inputs.quality.estimates:
        names = estimate.plan.split(">")
        if len(names) > 1 and all(name in by_name for name in names):
            steps = tuple(by_name[name] for name in names)
            plans.append(_build_multi_step_plan(steps, names, estimates))
    return plans


def _build_multi_step_plan(
    steps: tuple[Option, ...], names: list[str], estimates: dict[str, PlanEstimate]
) -> Plan:
    """Return a plan whose cost weights each step by the probability to reach it."""
    cost = 0.0
    reach_probability = 1.0
    for position, step in enumerate(steps):
        cost += reach_probability * step.cost
        prefix = estimates.get(">".join(names[: position + 1]))
        reach_probability *= prefix.poor_share if prefix else 1.0
    quality = estimates[">".join(names)].quality
    return Plan(tuple(step.version for step in steps), quality, cost)
