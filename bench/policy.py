"""Compare cascade policies with baselines and an oracle by cost at a quality target.

Simulated requests of several accounts and kinds go through the production decision and
learning code. Whether a version's answer would be accepted is drawn in advance from the
request's difficulty, which no policy sees; the oracle sees every outcome. A rater with
some error rates answers before the cascade escalates; studios accept or reject a sample
of the answers after a delay. There are no processes and no network, so only the choice
of versions is measured.
"""

import collections
import dataclasses
import math
import random
import sys

import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from bench.sites import SITE_SPECS
from linnetladder.coordination.cascades.inputs import build_quality_inputs
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.cascades.policies import POLICIES
from linnetladder.coordination.routing.decision import decide
from linnetladder.protocol import load_declarations
from linnetladder.state import DecisionInputs, Snapshot, VersionRef
from linnetladder.state.estimates import Rating
from linnetladder.state.snapshot import build_manifest, encode_part

__all__ = ["main"]

FLAGS = flags.FLAGS
QUALITY_TARGET = 0.9
QUALITY_TOLERANCE = 0.015
ORACLE_FACTOR = 1.15
WARM_UP_SHARE = 0.25
RATED_SHARE = 0.2
RATING_DELAY_REQUESTS = 200
RATER_MISS_RATE = 0.12
RATER_FALSE_ALARM_RATE = 0.08
SECONDS_BETWEEN_REQUESTS = 0.5
# Input and output tokens of a request of each kind.
TOKENS_BY_KIND = {"caption": (200, 40), "blurb": (500, 150), "catalogue": (3000, 700)}
VERSIONS = ("linnet-small@2026.09", "linnet-medium@2026.08", "linnet-large@2026.06")
# Log-odds that a version's answer is accepted at difficulty 0.
ACCEPTANCE_LOGITS = {
    "linnet-small@2026.09": {"caption": 2.2, "blurb": 1.0, "catalogue": -0.2},
    "linnet-medium@2026.08": {"caption": 3.2, "blurb": 2.4, "catalogue": 1.4},
    "linnet-large@2026.06": {"caption": 4.0, "blurb": 3.6, "catalogue": 3.2},
}
DIFFICULTY_DEVIATION = 1.0  # standard deviation, in log-odds


@dataclasses.dataclass(slots=True)
class Request:
    """One request with the outcomes that each version would have."""

    account: str
    kind: str
    accepted: dict[str, bool]
    rated_poor: dict[str, bool]


def build_snapshot(policy: str) -> Snapshot:
    """Return the example's configuration with one policy and target for all nodes."""
    spec = SITE_SPECS["daugava"]
    declarations = load_declarations(spec.declarations).unwrap()
    parts = {}
    for part in declarations.parts:
        if part.node is not None:
            settings = dataclasses.replace(
                part.node.settings,
                cascade_policy=policy,
                quality_target=QUALITY_TARGET,
                allowed_versions=VERSIONS,
            )
            node = dataclasses.replace(part.node, settings=settings)
            part = dataclasses.replace(part, node=node)
        parts[part.name] = part
    manifest = build_manifest(
        previous=None,
        parts=tuple(encode_part(part)[0] for part in parts.values()),
        withdrawals=(),
        change_id="bench",
        author="bench",
        message="",
        time_seconds=0.0,
    )
    return Snapshot(manifest=manifest, parts=parts)


def draw_requests(seed: int, count: int) -> list[Request]:
    """Return random requests with their outcomes, but without their difficulty."""
    rng = random.Random(seed)
    accounts = SITE_SPECS["daugava"].accounts
    weights = [10 if a in SITE_SPECS["daugava"].large_accounts else 1 for a in accounts]
    account_difficulty = {a: rng.gauss(0, 0.5) for a in accounts}
    requests = []
    for _ in range(count):
        account = rng.choices(accounts, weights)[0]
        kind = rng.choices(list(TOKENS_BY_KIND), [5, 3, 2])[0]
        difficulty = rng.gauss(0, DIFFICULTY_DEVIATION) + account_difficulty[account]
        accepted = {}
        poor = {}
        for version in VERSIONS:
            logit = ACCEPTANCE_LOGITS[version][kind] - difficulty
            accepted[version] = rng.random() < 1 / (1 + math.exp(-logit))
            error_rate = (
                RATER_FALSE_ALARM_RATE if accepted[version] else RATER_MISS_RATE
            )
            poor[version] = (rng.random() < error_rate) == accepted[version]
        requests.append(Request(account, kind, accepted, poor))
    return requests


@dataclasses.dataclass(slots=True)
class Score:
    """Totals of a policy's run after the warm-up."""

    cost: float = 0.0
    accepted: int = 0
    count: int = 0
    first_half: float = 0.0

    @property
    def quality(self) -> float:
        """The share of answers that were accepted."""
        return self.accepted / max(self.count, 1)


def answer_price(snapshot: Snapshot, version: str, kind: str) -> float:
    """Return the price of one answer."""
    tokens = TOKENS_BY_KIND[kind]
    return snapshot.versions[VersionRef.parse(version)].price(
        input_tokens=tokens[0], output_tokens=tokens[1]
    )


def run_policy(
    policy: str, requests: list[Request], seed: int, *, rater_available: bool
) -> Score:
    """Serve the requests with one policy that learns from the delayed ratings."""
    snapshot = build_snapshot(policy)
    learner = QualityLearner()
    rng = random.Random(seed + 1)
    pending_ratings: collections.deque[tuple[Rating, float]] = collections.deque()
    score = Score()
    warm_up = int(len(requests) * WARM_UP_SHARE)
    for index, request in enumerate(requests):
        now = index * SECONDS_BETWEEN_REQUESTS
        while pending_ratings and pending_ratings[0][0].time_seconds <= now:
            rating, expected = pending_ratings.popleft()
            learner.learn(rating, snapshot)
            learner.correct_price(
                rating.account, expected=expected, accepted=rating.accepted
            )
        tokens = TOKENS_BY_KIND[request.kind]
        view = snapshot.view(request.account)
        inputs = DecisionInputs(
            account=request.account,
            wanted="auto",
            request_kind=request.kind,
            input_tokens=tokens[0],
            output_tokens=tokens[1],
            draw=0.5,
            exploration_draw=rng.random(),
            available=VERSIONS,
            quality=build_quality_inputs(
                learner,
                snapshot,
                view,
                request.kind,
                VERSIONS,
                rater_available=rater_available,
            ),
        )
        decision = decide(snapshot, inputs)
        plan = decision.plan
        learner.chosen(
            request.account,
            target=QUALITY_TARGET,
            quality=plan.quality,
            price=decision.implied_price,
        )
        version_names = [str(step.ref) for step in plan.steps]
        cost, final_version = run_cascade(
            learner, snapshot, request, version_names, now
        )
        accepted = request.accepted[final_version]
        if rng.random() < RATED_SHARE:
            observed = accepted if rng.random() >= FLAGS.noise else not accepted
            rating = Rating(
                account=request.account,
                request_kind=request.kind,
                target=plan.name,
                accepted=observed,
                time_seconds=now + RATING_DELAY_REQUESTS * SECONDS_BETWEEN_REQUESTS,
            )
            pending_ratings.append((rating, plan.quality))
        if index >= warm_up:
            score.cost += cost
            score.accepted += accepted
            score.count += 1
    return score


def run_cascade(
    learner: QualityLearner,
    snapshot: Snapshot,
    request: Request,
    version_names: list[str],
    now: float,
) -> tuple[float, str]:
    """Run a plan's versions in order until one is not rated poor.

    Return the total cost and the version whose answer is used.
    """
    cost = 0.0
    for position, name in enumerate(version_names):
        cost += answer_price(snapshot, name, request.kind)
        if position + 1 == len(version_names):
            break
        poor = request.rated_poor[name]
        learner.learn_step_rating(
            account=request.account,
            kind=request.kind,
            target=">".join(version_names[: position + 1]),
            poor=poor,
            now=now,
            snapshot=snapshot,
        )
        if not poor:
            break
    return cost, name


def oracle_cost(requests: list[Request], quality: float) -> float:
    """Return the lowest cost at which the given share of answers is accepted.

    The oracle is given the cheapest accepted version of each request. Where acceptance
    would cost most, it uses the cheapest version of all instead.
    """
    snapshot = build_snapshot("always_cheapest")
    measured_requests = requests[int(len(requests) * WARM_UP_SHARE) :]
    base_cost = 0.0
    extra_costs = []
    accepted = 0
    for request in measured_requests:
        cheapest_price = answer_price(snapshot, VERSIONS[0], request.kind)
        base_cost += cheapest_price
        prices = [
            answer_price(snapshot, version, request.kind)
            for version in VERSIONS
            if request.accepted[version]
        ]
        if prices and min(prices) == cheapest_price:
            accepted += 1
        elif prices:
            extra_costs.append(min(prices) - cheapest_price)
    extra_costs.sort()
    extras_needed = max(math.ceil(quality * len(measured_requests)) - accepted, 0)
    return base_cost + sum(extra_costs[:extras_needed])


def main(argv: list[str]) -> None:
    """Run all policies on all seeds and print the table.

    The oracle's cost is taken at the quality that the policy reached.
    """
    console = Console(width=140)
    seeds = range(FLAGS.seeds)
    requests_by_seed = {seed: draw_requests(seed, FLAGS.requests) for seed in seeds}
    cases = [(name, False) for name in POLICIES]
    cases += [("target_on_average", True), ("cheapest_meeting_target", True)]
    table = Table(title=f"{FLAGS.seeds} seeds of {FLAGS.requests} requests")
    columns = ("policy", "quality min / mean", "cost mean", "cost / oracle's")
    for column in (*columns, "seeds meeting the target"):
        table.add_column(column)
    for name, rater_available in cases:
        scores = [
            run_policy(name, requests_by_seed[s], s, rater_available=rater_available)
            for s in seeds
        ]
        ratios = [
            score.cost / oracle_cost(requests_by_seed[seed], min(score.quality, 1.0))
            for seed, score in zip(seeds, scores, strict=True)
        ]
        seeds_meeting_target = sum(
            1 for score in scores if score.quality >= QUALITY_TARGET - QUALITY_TOLERANCE
        )
        qualities = [score.quality for score in scores]
        table.add_row(
            name + (" + rater" if rater_available else ""),
            f"{min(qualities):.3f} / {numpy.mean(qualities):.3f}",
            f"{numpy.mean([score.cost for score in scores]):.0f}",
            f"{numpy.mean(ratios):.2f} (max {max(ratios):.2f})",
            f"{seeds_meeting_target} of {FLAGS.seeds}",
        )
    console.print(table)
    sys.exit(0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 10, "Seeds to run.")
    flags.DEFINE_integer("requests", 8000, "Requests of each seed.")
    flags.DEFINE_float("noise", 0.02, "Share of late ratings that are wrong.")
    absl_app.run(main)
