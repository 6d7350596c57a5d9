"""Measure the time of a decision and of a choice of endpoint by problem size.

The sizes are the numbers of workers, accounts and versions.
"""

import sys
import time

import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from linnetladder.coordination.cascades.inputs import build_quality_inputs
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.routing.decision import decide
from linnetladder.coordination.routing.endpoint_choice import (
    BoundedLoadAffinity,
    ChoiceInputs,
)
from linnetladder.state import (
    DecisionInputs,
    EndpointReport,
    EndpointTable,
    Node,
    Snapshot,
    VersionRef,
)
from linnetladder.state.settings import NodeSettings
from linnetladder.state.snapshot import Part, build_manifest, encode_part
from linnetladder.state.versions import ModelVersion

__all__ = ["main"]

FLAGS = flags.FLAGS
DOMAINS = ("a", "b", "c", "d", "e")
VERSIONS_PER_MODEL = 2
MICROSECONDS_PER_SECOND = 1e6


def build_state(workers: int, accounts: int, versions: int):
    """Return a snapshot and an endpoint table of the given size."""
    models = [f"m{n}" for n in range(max(versions // VERSIONS_PER_MODEL, 1))]
    refs = [VersionRef(m, str(v)) for m in models for v in range(VERSIONS_PER_MODEL)]
    parts = [
        Part(
            node=Node(
                name="root", settings=NodeSettings(allowed_versions=tuple(models))
            )
        )
    ]
    parts += [
        Part(node=Node(name=f"a{n}", parent="root", account=True))
        for n in range(accounts)
    ]
    for position, model in enumerate(models):
        declared = tuple(
            ModelVersion(
                ref,
                0.1 * (position + 1),
                1.0 * (position + 1),
                {"default": min(0.5 + 0.02 * position, 0.99)},
            )
            for ref in refs
            if ref.model == model
        )
        parts.append(Part(versions=declared))
    manifest = build_manifest(
        previous=None,
        parts=tuple(encode_part(part)[0] for part in parts),
        withdrawals=(),
        change_id="",
        author="",
        message="",
        time_seconds=0.0,
    )
    snapshot = Snapshot(manifest=manifest, parts={part.name: part for part in parts})
    table = EndpointTable()
    reports = [
        EndpointReport(
            name=f"w{n}",
            incarnation="1",
            address="127.0.0.1:1",
            failure_domain=DOMAINS[n % len(DOMAINS)],
            service="models",
            versions=frozenset(refs),
            capacity=8,
        )
        for n in range(workers)
    ]
    for report in reports:
        table.merge(report)
    return snapshot, table


def measure(
    workers: int, accounts: int, versions: int, *, rater_available: bool
) -> tuple:
    """Return p50 and p99 of decisions, then of endpoint choices, in seconds.

    The first tenth of the decisions is a warm-up and left out.
    """
    snapshot, table = build_state(workers, accounts, versions)
    learner = QualityLearner()
    endpoint_chooser = BoundedLoadAffinity(seed=1)
    decisions, choice_seconds = [], []
    for index in range(FLAGS.decisions):
        account = f"a{index % min(accounts, 50)}"
        view = snapshot.view(account)
        started = time.perf_counter()
        available = tuple(
            str(v.ref) for v in view.allowed if table.accepts_work(v.ref, 0.0)
        )
        inputs = DecisionInputs(
            account=account,
            wanted="auto",
            request_kind="default",
            input_tokens=500,
            output_tokens=200,
            draw=0.5,
            available=available,
            quality=build_quality_inputs(
                learner,
                snapshot,
                view,
                "default",
                available,
                rater_available=rater_available,
            ),
        )
        decision = decide(snapshot, inputs)
        decided_at = time.perf_counter()
        pool = table.pool(decision.plan.steps[0].ref)
        choice_inputs = ChoiceInputs(
            own_domain="a", prefix=b"p%d" % index, tried=frozenset(), now=0.0
        )
        endpoint_chooser.choose(pool, choice_inputs)
        choice_seconds.append(time.perf_counter() - decided_at)
        decisions.append(decided_at - started)
    warm_up_count = FLAGS.decisions // 10
    return (
        *numpy.percentile(decisions[warm_up_count:], (50, 99)),
        *numpy.percentile(choice_seconds[warm_up_count:], (50, 99)),
    )


def main(argv: list[str]) -> None:
    """Measure each size without and with a rater and print the table."""
    table = Table(title="microseconds, p50 / p99")
    for column in ("workers", "accounts", "versions", "rater", "decision", "endpoint"):
        table.add_column(column)
    sizes = [
        (10, 10, 4),
        (100, 10, 4),
        (600, 10, 4),
        (100, 1000, 4),
        (100, 10_000, 4),
        (100, 10, 12),
        (100, 10, 38),
    ]
    for size in sizes:
        for rater_available in (False, True):
            microseconds = [
                value * MICROSECONDS_PER_SECOND
                for value in measure(*size, rater_available=rater_available)
            ]
            table.add_row(
                *(str(number) for number in size),
                str(rater_available),
                f"{microseconds[0]:.0f} / {microseconds[1]:.0f}",
                f"{microseconds[2]:.0f} / {microseconds[3]:.0f}",
            )
    Console(width=120).print(table)
    sys.exit(0)


if __name__ == "__main__":
    flags.DEFINE_integer("decisions", 2000, "Decisions of each size.")
    absl_app.run(main)
