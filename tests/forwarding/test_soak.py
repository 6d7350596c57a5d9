"""Short seeded soak run against real daemons, without the checks of elapsed time."""

import asyncio

import aiohttp
import orjson
import pytest

from bench.cold_checks import ColdSpell, find_cold_violations
from bench.evacuation_checks import Evacuation
from bench.fleet_checks import (
    SentRequest,
    check_brittle_workers,
    check_cold_workers,
    check_crash_causes,
    check_evacuations,
    check_homes,
    check_notices,
    check_partitions,
    check_request_limits,
    find_violations,
)
from bench.fleet_soak import Soak
from bench.limit_checks import Arrival, LimitHistory, find_limit_violations
from bench.partition_checks import Cut
from bench.processes import FIRST_PORT, free_port
from standins.fleet_store import FleetStore
from standins.fleet_worker import HEALTH_PATH, FleetWorker, expected_body


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


def test_limits_that_workers_name_are_kept_while_daemons_and_stores_fail(tmp_path):
    """Guards against workers that get more requests than the limits they named."""
    soak = Soak(seed=8, seconds=8.0, folder=tmp_path, limits=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert any(worker.limit_changes for worker in soak.site.workers)
    assert check_request_limits(soak.site, soak.sent, soak.record) == []


def test_workers_that_leave_or_ask_for_pauses_are_spared_while_daemons_fail(tmp_path):
    """Guards against requests to workers that said in answers they want none."""
    soak = Soak(seed=11, seconds=6.0, folder=tmp_path, notices=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert any(worker.pauses_asked for worker in soak.site.workers)
    assert any(worker.leaving_told for worker in soak.site.workers)
    assert check_notices(soak.site, soak.sent, soak.record) == []


def test_workers_crash_few_times_on_a_part_while_daemons_and_stores_fail(tmp_path):
    """Guards against prompts that crash one worker after the other."""
    soak = Soak(seed=13, seconds=10.0, folder=tmp_path, crashes=True, series=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert sum(len(worker.crashes) for worker in soak.site.workers) >= 3
    assert check_crash_causes(soak.site, soak.sent, soak.record) == []


def test_callers_get_no_broken_answer_while_daemons_and_stores_fail(tmp_path):
    """Guards against broken answers that are passed on, or that end a daemon."""
    faults = {"broken": True, "series": True}
    soak = Soak(seed=60, seconds=10.0, folder=tmp_path, **faults)
    assert asyncio.run(soak.run(timed=False)) == []
    assert sum(worker.broken_sent for worker in soak.site.workers) >= 20
    assert sum(sent.status == 200 for sent in soak.sent) > 50


def test_brittle_workers_stay_up_while_daemons_and_stores_fail(tmp_path):
    """Guards against daemons that make workers fall over, or end on odd entries."""
    faults = {"brittle": True, "odd": True}
    soak = Soak(seed=23, seconds=12.0, folder=tmp_path, daemons=6, **faults)
    assert asyncio.run(soak.run(timed=False)) == []
    assert soak.record.odd_entries
    assert sum(worker.repeated_refusals for worker in soak.site.workers)
    assert check_brittle_workers(soak.site, soak.sent, soak.record) == []
    assert sum(sent.status == 200 for sent in soak.sent) > 50


def test_a_large_configuration_changes_while_daemons_and_stores_fail(tmp_path):
    """Guards against daemons that keep an older large configuration after a fault."""
    soak = Soak(seed=31, seconds=8.0, folder=tmp_path, large=True, drills=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert sum(sent.status == 200 for sent in soak.sent) > 50


def test_daemons_that_are_cut_off_from_workers_serve_callers(tmp_path):
    """Guards against daemons that refuse what their peers could send to workers."""
    soak = Soak(seed=17, seconds=12.0, folder=tmp_path, partitions=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert soak.record.cuts
    assert check_partitions(soak.sent, soak.record) == []


def test_daemons_keep_to_their_memory_among_clients_that_do_not_behave(tmp_path):
    """Guards against daemons that a crowd ends while signals come in series."""
    soak = Soak(seed=41, seconds=8.0, folder=tmp_path, crowds=True)
    assert asyncio.run(soak.run(timed=False)) == []
    assert sum(sent.status == 200 for sent in soak.sent) > 50


# Guards against two soaks on one machine whose daemons talk to the other's stand-ins.
def test_a_port_that_another_run_has_taken_is_not_given_out():
    claims = []
    port = free_port([FIRST_PORT], claims)
    assert free_port([FIRST_PORT], claims) > port


def test_check_detects_daemons_that_serve_far_less_than_others(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    worker = soak.site.add_unstarted_worker()
    soak.record.cuts.append(Cut(began=100.0, ended=120.0, daemons=("daemon-1",)))
    for number in range(40):
        status = 503 if number % 2 else 200
        add_request(soak, worker, f"a{number}", route="fetch", runs=1, status=status)
        soak.sent[-1].time = 104.0 + number / 4
        soak.sent[-1].daemon = f"daemon-{1 + (number + 1) % 2}"
    (violation,) = check_partitions(soak.sent, soak.record)
    assert "0 of 20 first attempts were served, 20 of 20 elsewhere" in violation
    soak.record.store_faults["daemon-2"] = [(90.0, 100.0)]
    assert len(check_partitions(soak.sent, soak.record)) == 1
    soak.record.store_faults[""] = [(104.0, 112.0)]
    assert check_partitions(soak.sent, soak.record) == []
    soak.record.store_faults.clear()
    soak.record.stopped["daemon-1"] = [(104.0, 112.0)]
    assert check_partitions(soak.sent, soak.record) == []


def test_check_detects_brittle_workers_that_fall_over_too_often(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    worker = soak.site.add_unstarted_worker()
    soak.record.brittle_periods.append(("desk", 100.0, 120.0))
    for number, time in enumerate((99.0, 102.0, 106.0, 110.0)):
        attempts = [f"a{number}-{daemon}" for daemon in (1, 2, 3)]
        for attempt in attempts:
            add_request(soak, worker, attempt, route="fetch", runs=0, status=503)
            soak.sent[-1].daemon = f"daemon-{attempt[-1]}"
        worker.falls.append([(time, attempt) for attempt in attempts])
    (violation,) = check_brittle_workers(soak.site, soak.sent, soak.record)
    assert "3 falls of 1 brittle workers" in violation
    soak.record.stopped["daemon-1"] = [(100.0, 103.0)]
    assert len(check_brittle_workers(soak.site, soak.sent, soak.record)) == 1
    soak.record.store_faults["daemon-2"] = [(104.0, 105.0)]
    assert check_brittle_workers(soak.site, soak.sent, soak.record) == []
    soak.record.store_faults["daemon-2"] = [(102.5, 102.9)]
    assert len(check_brittle_workers(soak.site, soak.sent, soak.record)) == 1


def test_a_brittle_worker_falls_over_once_it_turns_too_many_away():
    """Guards against a soak in which brittle workers never fall over."""

    async def scenario():
        worker = FleetWorker(name="w", service="desk", store=FleetStore(), slots=1)
        fallen = []
        worker.on_crash = fallen.append
        await worker.start()
        born = worker.started_at_ms
        worker.brittle_limit = 2
        async with aiohttp.ClientSession() as session:
            few = await send_at_once(session, worker, 5)
            assert fallen == []
            worker.rejections.clear()
            many = await send_at_once(session, worker, 6)
        worker.restart()
        await worker.stop()
        assert sorted(answer[0] for answer in few) == [200] * 3 + [503] * 2
        assert {answer[1] for answer in few + many} == {"2"}
        assert fallen == ["w"]
        assert len(worker.falls[0]) == 3
        assert worker.started_at_ms > born

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("number", "began", "kept"),
    [(20, 100.0, False), (19, 100.0, True), (40, 100.5, False), (30, 100.9, True)],
)
def test_a_cold_worker_gets_few_requests_in_any_second(number, began, kept):
    """Guards against bursts that span two whole seconds, and counts only the spell."""
    arrivals = [100.4 + n / number for n in range(number)]
    spells = [ColdSpell(began=began, ended=110.0)]
    violations = find_cold_violations("w", arrivals, spells, per_second=9.7)
    assert (violations == []) is kept


def test_check_detects_cold_workers_that_get_too_much(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path, cold=True)
    worker = soak.site.add_unstarted_worker()
    worker.arrivals = [(100.0 + n / 20, f"a{n}") for n in range(160)]
    assert check_cold_workers(soak.site) == []
    worker.cold_spells = [(102.0, 104.0, False)]
    assert check_cold_workers(soak.site) == []
    worker.cold_spells = [(102.0, 107.0, False)]
    (violation,) = check_cold_workers(soak.site)
    assert "20 requests in a second while cold, allowed 17.0" in violation
    worker.cold_spells = [(102.0, 104.0, True)]
    assert len(check_cold_workers(soak.site)) == 1


def test_a_worker_says_that_it_is_cold_and_counts_no_misdirected_requests():
    """Guards against a soak in which the daemons can't know of cold workers."""

    async def scenario():
        store = FleetStore()
        worker = FleetWorker(name="w", service="desk", store=store, cold_seconds=5.0)
        await worker.start()
        worker.register()
        assert orjson.loads(store.value("servers/w"))["ColdMs"] == 0
        worker.restart(was_unreachable=True)
        assert orjson.loads(store.value("servers/w"))["ColdMs"] > 4000
        worker.become_cold()
        ((began, ended, was_unreachable),) = worker.cold_spells
        assert was_unreachable
        assert ended - began > 5.0
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{worker.address}{HEALTH_PATH}") as answer:
                assert int(answer.headers["Linnetladder-Cold-Ms"]) > 4000
            async with session.post(f"http://{worker.address}/fetch/x") as answer:
                assert answer.status == 421
        await worker.stop()
        assert worker.arrivals == []

    asyncio.run(scenario())


def test_check_detects_requests_to_evacuated_failure_domains(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path, evacuations=True)
    worker = soak.site.add_unstarted_worker()
    for number in range(20):
        add_request(soak, worker, f"a{number}", route="fetch", runs=0, status=200)
        worker.arrivals.append((100.0 + number, f"a{number}"))
    assert check_evacuations(soak.site, soak.sent, soak.record) == []
    soak.record.evacuations = [
        Evacuation(domain="a", began=102.5, ended=106.5),
        Evacuation(domain="b", began=100.0, ended=120.0),
    ]
    (violation,) = check_evacuations(soak.site, soak.sent, soak.record)
    assert violation == "a6: reached planted of a 3.5 s after its evacuation"
    soak.record.store_faults["daemon-1"] = [(102.9, 102.9)]
    assert len(check_evacuations(soak.site, soak.sent, soak.record)) == 1
    soak.record.store_faults["daemon-1"] = [(102.9, 103.1)]
    assert check_evacuations(soak.site, soak.sent, soak.record) == []


def test_an_evacuation_is_in_the_store_until_its_removal_also_after_a_drill(tmp_path):
    """Guards against a store that returns an evacuation which was removed, or none."""

    async def scenario():
        soak = Soak(seed=1, seconds=0.0, folder=tmp_path, evacuations=True)
        store, key = soak.site.store, "op/evacuate/zone-1"
        evacuating = asyncio.ensure_future(soak.faults.evacuate("zone-1", 0.3))
        await asyncio.sleep(0.1)
        assert store.value(key) == b"{}"
        drilling = asyncio.ensure_future(soak.faults.drill(0.05, 0.2))
        await evacuating
        assert key not in store.items
        await drilling
        assert key not in store.items
        evacuating = asyncio.ensure_future(soak.faults.evacuate("zone-1", 2.0))
        await asyncio.sleep(0.05)
        drilling = asyncio.ensure_future(soak.faults.drill(0.05, 0.1))
        await asyncio.sleep(0.2)
        assert key not in store.items
        await drilling
        assert key in store.items
        await evacuating
        assert key not in store.items
        return soak.record.evacuations

    first, second = asyncio.run(scenario())
    assert first.ended - first.began >= 0.3
    assert second.ended - second.began >= 2.0


def test_check_detects_requests_that_leave_their_homes(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path, homes=True)
    soak.site.publish_configuration()
    document = orjson.loads(soak.site.store.value("op/config"))
    allowed = {r["Name"]: r.get("AllowedRegions") for r in document["Routes"]}
    assert allowed == {"stream": None, "fetch": ["north"], "save": ["north", "south"]}
    allowed = {t["Name"]: t.get("AllowedRegions") for t in document["Tenants"]}
    assert allowed == {"studio": None, "printer": ["south"], "guest": None}
    worker = soak.site.add_unstarted_worker()
    worker.zone = "zone-2"
    requests = [
        ("a1", "fetch", "studio"),
        ("a2", "stream", "printer"),
        ("a3", "save", "printer"),
        ("a4", "fetch", "printer"),
    ]
    for attempt, route, account in requests:
        add_request(soak, worker, attempt, route=route, runs=0, status=200)
        soak.sent[-1].account = account
        worker.arrivals.append((100.0, attempt))
    first, last = check_homes(soak.site, soak.sent)
    assert first == "a1: reached planted in south, allowed in ['north']"
    assert last == "a4: reached planted in south, allowed in ['north'] and ['south']"
    worker.zone = "zone-1"
    lines = check_homes(soak.site, soak.sent)
    assert [line.partition(":")[0] for line in lines] == ["a2", "a3", "a4"]


def test_check_detects_workers_that_crash_on_and_on(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    soak.record.crash_causes.add("bad")
    worker = soak.site.add_unstarted_worker()
    for number in range(7):
        add_request(soak, worker, f"a{number}", route="stream", runs=1, status=502)
        worker.runs[-1].update(time=100.0 + 2 * number, parts=("style", "bad"))
        worker.crashes.append((100.1 + 2 * number, f"a{number}"))
    assert check_crash_causes(soak.site, soak.sent, soak.record) == []
    add_request(soak, worker, "a9", route="stream", runs=1, status=502)
    worker.runs[-1].update(time=114.0, parts=("style", "bad"))
    (violation,) = check_crash_causes(soak.site, soak.sent, soak.record)
    assert "bad: 4 requests" in violation
    soak.record.stopped["daemon-1"] = [(113.0, 115.0)]
    assert check_crash_causes(soak.site, soak.sent, soak.record) == []


def test_check_detects_requests_to_workers_that_want_none(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    worker = soak.site.add_unstarted_worker()
    for number in range(40):
        add_request(soak, worker, f"a{number}", route="fetch", runs=0, status=200)
        soak.sent[-1].time = soak.sent[-1].ended = 100.0 + number / 4
        worker.arrivals.append((100.0 + number / 4, f"a{number}"))
    assert check_notices(soak.site, soak.sent, soak.record) == []
    worker.leaving_told["a0"] = 100.0
    worker.pauses_asked.append((100.0, "a0", 3.0))
    lines = check_notices(soak.site, soak.sent, soak.record)
    assert any("said that it leaves" in line for line in lines)
    assert any("10 requests" in line for line in lines)
    soak.record.stopped["daemon-1"] = [(100.0, 110.0)]
    assert check_notices(soak.site, soak.sent, soak.record) == []


def test_check_detects_more_requests_than_a_limit_allows(tmp_path):
    soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
    worker = soak.site.add_unstarted_worker()
    worker.limit_changes = [(100.0, 1.0), (120.0, None)]
    for number in range(40):
        add_request(soak, worker, f"a{number}", route="fetch", runs=0, status=200)
        worker.arrivals.append((100.0 + number / 4, f"a{number}"))
    assert check_request_limits(soak.site, soak.sent, soak.record) == []
    worker.told_at["a0"] = 100.1
    (violation,) = check_request_limits(soak.site, soak.sent, soak.record)
    assert "16 requests in 4 s" in violation
    soak.record.stopped["daemon-1"] = [(100.0, 110.0)]
    assert check_request_limits(soak.site, soak.sent, soak.record) == []
    soak.record.stopped.clear()
    soak.record.lives_began["daemon-1"] = [102.0]
    assert check_request_limits(soak.site, soak.sent, soak.record) == []


@pytest.mark.parametrize(
    ("changes", "rate", "kept"),
    [
        ([(100.0, 2.0)], 2.9, True),
        ([(100.0, 2.0)], 4.5, False),
        ([(100.0, 8.0), (106.0, 1.0)], 4.5, False),
        ([(100.0, 1.0), (106.0, 8.0)], 1.0, True),
        ([(100.0, 1.0), (102.0, None)], 50.0, True),
    ],
)
def test_the_allowance_follows_the_limits_that_were_named(changes, rate, kept):
    arrivals = [
        Arrival(time=100.0 + n / rate, daemon="d", told_at=100.2 if n == 0 else None)
        for n in range(int(12 * rate))
    ]
    assert (find_limit_violations("w", arrivals, LimitHistory(changes)) == []) is kept


def test_the_operator_writes_its_latest_configuration_after_a_drill(tmp_path):
    """The stand-in wrote an older one over a revocation made since the store's return.

    Requests with the revoked credential then counted as violations of the daemons.
    """

    async def scenario():
        soak = Soak(seed=1, seconds=0.0, folder=tmp_path)
        soak.site.publish_configuration()
        drilling = asyncio.ensure_future(soak.faults.drill(0.01, 5.0))
        await asyncio.sleep(0.1)
        await soak.faults.revoke()
        await drilling
        return orjson.loads(soak.site.store.value("op/config"))

    document = asyncio.run(scenario())
    assert document["Version"] == 2
    assert "guest" not in [account["Name"] for account in document["Tenants"]]


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


async def send_at_once(session, worker, number):
    """Send requests to a worker and return the status and brittleness of each."""

    async def send_one(attempt):
        headers = {
            "Linnetladder-Attempt-Id": f"a{attempt}",
            "Linnetladder-Expect-Instance": worker.name,
        }
        url = f"http://{worker.address}/fetch/x"
        async with session.post(url, headers=headers, data=b"x") as answer:
            return answer.status, answer.headers["Server-Brittle"]

    return await asyncio.gather(*map(send_one, range(number)))


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
