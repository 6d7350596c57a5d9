"""Short seeded soak run against real daemons, without the checks of elapsed time."""

import asyncio

from bench.fleet_checks import SentRequest, find_violations
from bench.fleet_soak import Soak
from standins.fleet_worker import expected_body


def test_no_guarantee_is_violated_while_daemons_and_stores_fail(tmp_path):
    soak = Soak(seed=3, seconds=4.0, folder=tmp_path)
    assert asyncio.run(soak.run(timed=False)) == []
    assert sum(sent.status == 200 for sent in soak.sent) > 50


def test_no_guarantee_is_violated_while_the_store_returns_from_older_copies(tmp_path):
    """Guards against bills, credentials or configurations lost with the store."""
    soak = Soak(seed=5, seconds=4.0, folder=tmp_path, drills=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert soak.site.store.era > 1
    assert sum(sent.status == 200 for sent in soak.sent) > 50


def test_checks_detect_each_planted_violation(tmp_path):
    """Each guarantee that does not depend on elapsed time is violated once."""
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    worker = soak.site.add_unstarted_worker()
    add_request(soak, worker, "twice", route="save", runs=2, status=200)
    add_request(soak, worker, "untrue", route="save", runs=1, status=503)
    add_request(soak, worker, "mixed", route="fetch", runs=1, status=200, body=b"other")
    add_request(soak, worker, "denied", route="fetch", runs=0, status=401)
    add_request(soak, worker, "unbilled", route="fetch", runs=1, status=200)
    soak.site.store.put("linnetladder/ledger/x/1", {"phantom": []})
    violations = "\n".join(
        find_violations(soak.site, soak.sent, soak.record, timed=False)
    )
    for expected in (
        "twice: ran 2 times",
        "untrue: answered 503 and ran",
        "mixed: an answer that is not its own",
        "denied: denied with 401",
        "unbilled: answered and not billed",
        "phantom: billed and never ran",
    ):
        assert expected in violations


def add_request(soak, worker, attempt, *, route, runs, status, body=None):
    """Add a request, its answer and a number of runs to the soak's records."""
    path = f"/{route}/{attempt}"
    soak.sent.append(
        SentRequest(
            attempt=attempt,
            route=route,
            daemon="daemon-1",
            account="studio",
            time=0.0,
            status=status,
            body=expected_body(attempt, path=path) if body is None else body,
        )
    )
    for _ in range(runs):
        worker.runs.append(
            {
                "time": 0.0,
                "attempt": attempt,
                "worker": worker.name,
                "path": path,
                "body": b"x",
                "tenant": "studio",
                "key": "",
            }
        )
