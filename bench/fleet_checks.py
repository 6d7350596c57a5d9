"""Check the daemons' guarantees against what clients and workers recorded.

Of the daemons' own records only the ledger is used, because its content is itself
guaranteed.
"""

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING

import orjson

from bench.brittle_checks import Fall, count_falls, find_fall_violations
from bench.cold_checks import ColdSpell, find_cold_violations
from bench.crash_checks import PromptRun, find_crash_violations
from bench.evacuation_checks import DomainArrival, find_evacuation_violations
from bench.fleet_site import (
    COLD_RULES,
    DRAIN_MILLISECONDS,
    EVACUATE_MILLISECONDS,
    HOMES,
    REGIONS,
    REVOKE_MILLISECONDS,
    FleetSite,
)
from bench.home_checks import RegionArrival, find_home_violations
from bench.limit_checks import Arrival, LimitHistory, find_limit_violations
from bench.notice_checks import (
    AskedPause,
    SentOn,
    find_leaving_violations,
    find_pause_violations,
)
from bench.partition_checks import FirstAttempt, find_partition_violations
from standins.fleet_worker import expected_body

if TYPE_CHECKING:
    from bench.fleet_faults import FaultRecord

__all__ = [
    "SentRequest",
    "check_brittle_workers",
    "check_cold_workers",
    "check_crash_causes",
    "check_evacuations",
    "check_homes",
    "check_notices",
    "check_partitions",
    "check_request_limits",
    "find_violations",
]

# A response with one of these statuses guarantees that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The default of the bound ContactMs. A drain this soon after a disturbance is exempt
# from the check of its time limit.
CONTACT_SECONDS = 3.0
DRAIN_SLACK_SECONDS = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """One request of a client; ``status`` is 0 if no complete response arrived.

    ``repeated_path`` is set if the client sends the same request more than once.
    """

    attempt: str
    route: str
    daemon: str
    account: str
    time: float
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    error: str = ""
    repeated_path: str = ""

    @property
    def path(self) -> str:
        """The path of the request, which is its own unless it repeats another one."""
        return self.repeated_path or f"/{self.route}/{self.attempt}"


def find_violations(
    site: FleetSite,
    requests: list[SentRequest],
    record: "FaultRecord",
    *,
    timed: bool = True,
) -> list[str]:
    """Return a line for each violation of a guarantee.

    ``timed`` includes the guarantees with a bound on elapsed time, which a busy machine
    may exceed by itself.
    """
    runs = collections.defaultdict(list)
    for run in site.runs():
        runs[run["attempt"]].append(run)
    violations = [
        *_check_answers(requests, runs),
        *_check_runs(requests, runs),
        *_check_bills(site, requests, runs),
        *check_homes(site, requests),
    ]
    if timed:
        violations += _check_credentials(requests, record, runs)
        violations += _check_leaving(site, record)
        violations += check_request_limits(site, requests, record)
        violations += check_notices(site, requests, record)
        violations += check_crash_causes(site, requests, record)
        violations += check_partitions(requests, record)
        violations += check_brittle_workers(site, requests, record)
        violations += check_cold_workers(site)
        violations += check_evacuations(site, requests, record)
    return violations


def _check_answers(requests: list[SentRequest], runs: dict) -> list[str]:
    violations = []
    for sent in requests:
        path = f"/{sent.route}/"
        body_matches = sent.body == expected_body(sent.attempt, path=path)
        if sent.status == 200 and not body_matches:
            violations.append(
                f"{sent.attempt}: an answer that is not its own: {sent.body}"
            )
        attempt_runs = runs.get(sent.attempt, [])
        if sent.route == "save" and len(attempt_runs) > 1:
            violations.append(f"{sent.attempt}: ran {len(attempt_runs)} times")
        if sent.route == "save" and sent.status in NOT_RUN_STATUSES and attempt_runs:
            violations.append(f"{sent.attempt}: answered {sent.status} and ran")
        if sent.status in (401, 403, 404) and sent.account != "guest":
            violations.append(f"{sent.attempt}: denied with {sent.status}")
    return violations


def _check_runs(requests: list[SentRequest], runs: dict) -> list[str]:
    violations = []
    sent_by_attempt = {sent.attempt: sent for sent in requests}
    for attempt, attempt_runs in runs.items():
        sent = sent_by_attempt.get(attempt)
        if sent is None:
            violations.append(f"{attempt}: ran and was never sent")
            continue
        for run in attempt_runs:
            if (run["path"], run["body"]) != (sent.path, b"x"):
                violations.append(f"{attempt}: ran with another path or body")
            if run["tenant"] != sent.account or run["key"]:
                violations.append(
                    f"{attempt}: ran for {run['tenant']!r} or got the client's key"
                )
    return violations


def _check_credentials(
    requests: list[SentRequest], record: "FaultRecord", runs: dict
) -> list[str]:
    if not record.revoked_at:
        return []
    revocation_deadline = record.revoked_at + REVOKE_MILLISECONDS / 1000
    return [
        f"{sent.attempt}: ran, sent {sent.time - record.revoked_at:.1f} s after "
        "revocation"
        for sent in requests
        if sent.account == "guest"
        and sent.time > revocation_deadline
        and runs.get(sent.attempt)
    ]


def _check_leaving(site: FleetSite, record: "FaultRecord") -> list[str]:
    violations = []
    for run in site.runs():
        drained_at = record.drained_at.get(run["worker"])
        if drained_at is None:
            continue
        late_seconds = run["time"] - drained_at - DRAIN_MILLISECONDS / 1000
        undisturbed = not _was_disturbed(
            record, drained_at - CONTACT_SECONDS, run["time"]
        )
        if late_seconds > DRAIN_SLACK_SECONDS and undisturbed:
            violations.append(
                f"{run['attempt']}: reached draining {run['worker']} "
                f"{late_seconds:.1f} s late"
            )
    return violations


def check_request_limits(
    site: FleetSite, requests: list[SentRequest], record: "FaultRecord"
) -> list[str]:
    """Check that workers got no more requests than the limits that they named allow.

    A daemon that was restarted or suspended is excused for that time, and must be told
    a limit again after a restart.
    """
    daemons = {sent.attempt: sent.daemon for sent in requests}
    excused: dict[str, list[tuple[float, float]]] = {}
    violations = []
    for worker in site.workers:
        arrivals = []
        for time, attempt in worker.arrivals:
            daemon = daemons.get(attempt, "")
            life = _life_of(record, daemon, time)
            excused[life] = record.stopped.get(daemon, [])
            told_at = worker.told_at.get(attempt)
            arrivals.append(Arrival(time=time, daemon=life, told_at=told_at))
        history = LimitHistory(worker.limit_changes)
        violations += find_limit_violations(
            worker.name, arrivals, history, excused=excused
        )
    return violations


def check_notices(
    site: FleetSite, requests: list[SentRequest], record: "FaultRecord"
) -> list[str]:
    """Check that workers which leave or asked for a pause get no more requests.

    A daemon that was restarted or suspended since is excused.
    """
    sent_by_attempt = {sent.attempt: sent for sent in requests}
    violations = []
    for worker in site.workers:
        arrivals = [
            SentOn(
                time=time,
                daemon=_life_of(record, sent.daemon, time),
                sent_at=sent.time,
                told_at=worker.leaving_told.get(attempt),
                passed_on_at=sent.ended if sent.status else None,
            )
            for time, attempt in worker.arrivals
            if (sent := sent_by_attempt.get(attempt)) is not None
        ]
        pauses = [
            AskedPause(
                time=time,
                daemon=_life_of(record, sent.daemon, time),
                seconds=seconds,
            )
            for time, attempt, seconds in worker.pauses_asked
            if (sent := sent_by_attempt.get(attempt)) is not None
        ]
        excused = {
            life: record.stopped.get(life.partition("#")[0], [])
            for life in {arrival.daemon for arrival in arrivals}
        }
        cut = {life: excused[life] + record.disturbances for life in excused}
        violations += find_leaving_violations(
            worker.name,
            arrivals,
            drain_seconds=DRAIN_MILLISECONDS / 1000,
            restarts=worker.restarts,
            excused=excused,
        )
        violations += find_pause_violations(
            worker.name, arrivals, pauses, restarts=worker.restarts, excused=cut
        )
    return violations


def check_crash_causes(
    site: FleetSite, requests: list[SentRequest], record: "FaultRecord"
) -> list[str]:
    """Check that what crashes workers, in whole or in part, soon reaches no more.

    A daemon that was restarted or suspended is excused for that time.
    """
    daemons = {sent.attempt: sent.daemon for sent in requests}
    runs = []
    for worker in site.workers:
        crashed_at = {attempt: time for time, attempt in worker.crashes}
        runs += [
            PromptRun(
                sent_at=run["time"],
                daemon=daemons.get(run["attempt"], ""),
                parts=run["parts"],
                content=run["path"],
                crashed_at=crashed_at.get(run["attempt"]),
            )
            for run in worker.runs
        ]
    return find_crash_violations(
        runs,
        causes=record.crash_causes,
        notice_seconds=CONTACT_SECONDS,
        excused=record.stopped,
    )


def check_partitions(requests: list[SentRequest], record: "FaultRecord") -> list[str]:
    """Check that daemons which are cut off from all workers serve their callers.

    Requests at daemons that were restarted, suspended or out of touch with the store,
    and those with a revoked credential are left out.
    """
    attempts = [
        FirstAttempt(sent_at=sent.time, daemon=sent.daemon, served=sent.status == 200)
        for sent in requests
        if sent.account != "guest"
        and not any(
            began - CONTACT_SECONDS <= sent.time <= ended + CONTACT_SECONDS
            for began, ended in _periods_out_of_touch(record, sent.daemon)
        )
    ]
    return find_partition_violations(
        attempts, record.cuts, notice_seconds=CONTACT_SECONDS
    )


def check_brittle_workers(
    site: FleetSite, requests: list[SentRequest], record: "FaultRecord"
) -> list[str]:
    """Check that brittle workers seldom fall over by requests of daemons in touch."""
    daemons = {sent.attempt: sent.daemon for sent in requests}
    violations = []
    for service, began, ended in record.brittle_periods:
        workers = [worker for worker in site.workers if worker.service == service]
        falls = [
            Fall(
                time=rejected[-1][0],
                in_touch=tuple(
                    _is_in_touch(record, daemons.get(attempt, ""), time)
                    for time, attempt in rejected
                ),
            )
            for worker in workers
            for rejected in worker.falls
            if began <= rejected[-1][0] <= ended
        ]
        violations += find_fall_violations(count_falls(falls), workers=len(workers))
    return violations


def check_cold_workers(site: FleetSite) -> list[str]:
    """Check that cold workers get no more requests than they tolerate.

    One that became cold while it ran is judged once the daemons can know of it; one
    that was unreachable before is presumed cold, and judged at once.
    """
    violations = []
    for worker in site.workers:
        spells = [
            ColdSpell(
                began=began if was_unreachable else began + CONTACT_SECONDS, ended=ended
            )
            for began, ended, was_unreachable in worker.cold_spells
        ]
        violations += find_cold_violations(
            worker.name,
            [time for time, _ in worker.arrivals],
            spells,
            per_second=COLD_RULES[worker.service]["ColdPerS"],
        )
    return violations


def check_evacuations(
    site: FleetSite, requests: list[SentRequest], record: "FaultRecord"
) -> list[str]:
    """Check that daemons in touch send nothing to evacuated failure domains."""
    daemons = {sent.attempt: sent.daemon for sent in requests}
    arrivals = [
        DomainArrival(
            time=time,
            attempt=attempt,
            worker=worker.name,
            domain=worker.zone,
            in_touch=_is_in_touch(record, daemons.get(attempt, ""), time),
        )
        for worker in site.workers
        for time, attempt in worker.arrivals
    ]
    return find_evacuation_violations(
        arrivals,
        record.evacuations,
        evacuate_seconds=EVACUATE_MILLISECONDS / 1000,
    )


def check_homes(site: FleetSite, requests: list[SentRequest]) -> list[str]:
    """Check that requests with homes reach no workers of other regions."""
    if not site.homes:
        return []
    sent_by_attempt = {sent.attempt: sent for sent in requests}
    return find_home_violations(
        RegionArrival(
            attempt=attempt,
            worker=worker.name,
            region=REGIONS[worker.zone],
            homes=(HOMES.get(sent.route, ()), HOMES.get(sent.account, ())),
        )
        for worker in site.workers
        for _, attempt in worker.arrivals
        if (sent := sent_by_attempt.get(attempt)) is not None
    )


def _periods_out_of_touch(
    record: "FaultRecord", daemon: str
) -> list[tuple[float, float]]:
    """Return when a daemon was restarted, suspended or cut off from the store."""
    return [
        *record.stopped.get(daemon, ()),
        *record.store_faults.get(daemon, ()),
        *record.store_faults.get("", ()),
    ]


def _is_in_touch(record: "FaultRecord", daemon: str, time: float) -> bool:
    return not any(
        began <= time <= ended + CONTACT_SECONDS
        for began, ended in _periods_out_of_touch(record, daemon)
    )


def _life_of(record: "FaultRecord", daemon: str, time: float) -> str:
    """Return the name of a daemon's process at a time."""
    began = record.lives_began.get(daemon, [])
    return f"{daemon}#{bisect.bisect_right(began, time)}"


def _was_disturbed(record: "FaultRecord", first: float, last: float) -> bool:
    return any(began <= last and ended >= first for began, ended in record.disturbances)


def _check_bills(site: FleetSite, requests: list[SentRequest], runs: dict) -> list[str]:
    """Check that each answered request is billed, and none that can't have run."""
    billed = set()
    for key in site.store.items:
        if key.startswith("linnetladder/ledger/"):
            billed.update(orjson.loads(site.store.value(key)))
    violations = [
        f"{sent.attempt}: answered and not billed"
        for sent in requests
        if sent.status == 200 and sent.attempt not in billed
    ]
    violations += [
        f"{attempt}: billed and never ran"
        for attempt in billed
        if not runs.get(attempt) and not _may_have_run(requests, attempt)
    ]
    return violations


def _may_have_run(requests: list[SentRequest], attempt: str) -> bool:
    """Return whether a request may have run, according to its response status."""
    return any(
        s.attempt == attempt and s.status not in NOT_RUN_STATUSES for s in requests
    )
