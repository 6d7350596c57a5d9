"""A randomized soak test: real daemons, injected faults, and checks at both ends.

Guarantees are checked from what clients and workers recorded. ``python -m
bench.fleet_soak --seed=7 --seconds=20`` runs one seed; ``--seeds=50`` runs that many in
a row. The exit code is 1 if any guarantee was violated. The folder with the daemons'
logs is kept and its path printed.
"""

import asyncio
import json
import random
import tempfile
import time
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path

from absl import app as absl_app
from absl import flags

from bench.fleet_callers import StubbornConnection, open_session, send
from bench.fleet_checks import SentRequest, find_violations
from bench.fleet_faults import READY_TIMEOUT_SECONDS, FaultInjector, FaultRecord
from bench.fleet_site import ACCOUNTS, EVACUATE_MILLISECONDS, ROUTES, FleetSite
from bench.misbehaving_clients import MisbehavingClients
from bench.process_gauge import ProcessGauge
from bench.processes import wait_for
from standins.broken_answers import BROKEN, ENDLESS
from standins.fleet_worker import Fault

__all__ = ["Soak"]

FLAGS = flags.FLAGS
CLIENTS = 12
MAXIMUM_PAUSE_SECONDS = 0.05
REVOKED_SHARE = 0.1
# Peers write a killed daemon's bills once it has been gone for 12 s.
SETTLE_SECONDS = 16.0
FAULT_GAP_SECONDS = 0.8
# Age of the copies that the store returns from.
MAXIMUM_COPY_SECONDS = 8.0
# Drills among the twelve other kinds of faults.
DRILL_WEIGHT = 3
# Limits that workers name, in requests a second; ``None`` lifts one.
LIMITS = (0.4, 1.0, 3.0, 10.0, None)
LIMIT_WEIGHT = 4
# Seconds for which workers ask for a pause, and for which they say that they leave.
PAUSES = (1.0, 2.5, 5.0)
LEAVING_SECONDS = (3.0, 6.0)
NOTICE_WEIGHT = 3
# A part of all prompts, and the time from one request with a crashing part to the next.
COMMON_PART = "style"
CRASHING_GAP_SECONDS = 0.3
# At most this many things crash workers in one run.
CRASH_CAUSES = 3
# The shares of the run after which they are first sent, and crash workers.
CAUSES_BEGIN = (0.05, 0.4)
SOUND_SHARE = 0.25
SESSIONS = 12
# A series of signals and changes, and the longest pause between two of them.
SERIES_LENGTHS = (3, 7)
SERIES_GAP_SECONDS = 0.8
SERIES_WEIGHT = 6
# A partition, as shares of the run.
PARTITION_BEGINS = 0.1
PARTITION_SHARE = 0.7
DAEMONS = 3
ODD_WEIGHT = 2
BROKEN_ANSWERS = (*BROKEN.values(), *ENDLESS * 10)
BROKEN_SERIES = (5, 15)
BROKEN_WEIGHT = 8
LARGE_ROUTES = 2_800
# The limits of a daemon among clients that don't behave, and the clients beside them
# that use their connections until the process at the other end is gone.
CROWD_MEMORY_MEGABYTES = 160
CROWD_DESCRIPTORS = 400
STUBBORN_CLIENTS = 6
GAUGE_SECONDS = 0.1
ODD_ENTRIES = (
    b"[" * 100_000,
    b"\xff\xfe",
    *(
        json.dumps(
            {
                "Service": "engines",
                "Address": "127.0.0.1:9",
                "Zone": "a",
                "Version": "v1",
                "Slots": 16,
                "State": "ready",
                "ColdMs": 0,
                "Seq": 1,
            }
            | change
        ).encode()
        for change in ({"Address": "127.0.0.1:70000"}, {"born": 10**400}, {"Slots": 0})
    ),
)
# The brittle period as shares of the run, and how many requests workers can turn away.
# The engines have few slots, and further clients send more streams than these take.
BRITTLE_BEGINS = 0.1
BRITTLE_SHARE = 0.8
BRITTLE_LIMITS = (4, 6, 10)
BRITTLE_SLOTS = 4
BRITTLE_EVENT_SECONDS = 0.05
BRITTLE_CLIENTS = 24
BRITTLE_PAUSE_SECONDS = 0.3
COLD_WEIGHT = 3
# How long evacuations outlast the time that the daemons have to follow them.
EVACUATION_SECONDS = (1.0, 5.0)
EVACUATION_WEIGHT = 1
# Checks that excuse daemons out of touch with the store need times in which they are in
# touch: daemons and the store are then disturbed only in this part of the run.
DISTURBED_PART = (0.35, 0.55)


class Soak:
    """One run of the soak test with one seed.

    With ``drills`` the store also returns from older copies, and with ``limits``
    workers name limits on their requests. With ``notices`` they ask for pauses, and say
    in answers that they leave. With ``crashes`` they crash on some requests or parts of
    prompts, from the beginning or after they had answered them for a time. With
    ``series`` signals and changes of the configuration come in quick succession.
    With ``partitions`` some daemons are cut off from all workers for a time. With
    ``brittle`` engines are brittle for a time and have too few slots. With ``cold``
    workers are cold after a start and at other times. With ``evacuations`` failure
    domains are evacuated. With ``homes`` some routes and accounts allow only some
    regions. With ``odd`` another writer leaves entries among those of the workers, and
    workers write refusals once more. With ``large`` the configuration is so large that
    it is not read whole each time. With ``broken`` workers send answers that are no
    sound responses, some without end. With ``crowds`` clients that don't behave hold
    what they can of daemons with low limits, which these must keep to, and other
    clients use their connections until the process at the other end is gone. Without
    them the draw of a seed is the same as before there were any.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: Path,
        drills: bool = False,
        limits: bool = False,
        notices: bool = False,
        crashes: bool = False,
        partitions: bool = False,
        brittle: bool = False,
        cold: bool = False,
        evacuations: bool = False,
        homes: bool = False,
        odd: bool = False,
        large: bool = False,
        series: bool = False,
        crowds: bool = False,
        broken: bool = False,
        daemons: int = DAEMONS,
    ):
        self.drills = drills
        self.limits = limits
        self.notices = notices
        self.crashes = crashes
        self.partitions = partitions
        self.brittle = brittle
        self.cold = cold
        self.evacuations = evacuations
        self.odd = odd
        self.series = series
        self.crowds = crowds
        self.broken = broken
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        engines = (
            {"engine_slots": BRITTLE_SLOTS, "event_seconds": BRITTLE_EVENT_SECONDS}
            if brittle
            else {}
        )
        self.site = FleetSite(
            folder=folder,
            daemons=daemons,
            own_links=partitions,
            spread=cold or evacuations or homes,
            cold=cold,
            homes=homes,
            added_routes=LARGE_ROUTES if large else 0,
            settings={
                "Limits.MemoryMb": CROWD_MEMORY_MEGABYTES,
                "Limits.MaxFds": CROWD_DESCRIPTORS,
            }
            if crowds
            else None,
            descriptors=CROWD_DESCRIPTORS if crowds else None,
            **engines,
        )
        self.highest_megabytes: dict[str, float] = {}
        self.sent: list[SentRequest] = []
        self.record = FaultRecord()
        self.faults = FaultInjector(site=self.site, record=self.record)
        self.serial = 0
        self.end_time = 0.0

    async def run(self, *, timed: bool = True) -> list[str]:
        """Run, wait until everything settled, and return the violations.

        Without ``timed`` the guarantees with a bound on elapsed time are not checked.
        """
        await self.site.start()
        try:
            for name in self.site.daemon_names:
                if not await wait_for(
                    self.site.ready_url(name), seconds=READY_TIMEOUT_SECONDS
                ):
                    return [f"{name} did not become ready"]
            self.end_time = time.monotonic() + self.seconds
            async with asyncio.TaskGroup() as tasks:
                for number in range(CLIENTS):
                    tasks.create_task(self._client(number))
                tasks.create_task(self._inject_faults())
                if self.crowds:
                    tasks.create_task(self._crowd())
                    tasks.create_task(self._watch_memory())
                    for number in range(STUBBORN_CLIENTS):
                        tasks.create_task(self._send_stubbornly(number))
                if self.partitions:
                    tasks.create_task(self._partition())
                if self.brittle:
                    tasks.create_task(self._make_brittle())
                    for number in range(BRITTLE_CLIENTS):
                        tasks.create_task(self._send_streams(number))
                if self.crashes:
                    rng = random.Random(f"causes of {self.seed}")
                    for number in range(rng.randint(1, CRASH_CAUSES)):
                        tasks.create_task(self._send_crashing(f"bad-{number}", rng))
            await asyncio.sleep(SETTLE_SECONDS)
        finally:
            await self.site.stop()
        violations = find_violations(self.site, self.sent, self.record, timed=timed)
        return violations + [
            f"{name}: held {megabytes:.0f} MB of {CROWD_MEMORY_MEGABYTES}"
            for name, megabytes in self.highest_megabytes.items()
            if megabytes > CROWD_MEMORY_MEGABYTES
        ]

    async def _crowd(self) -> None:
        """Let clients that don't behave work, from a time after the start."""
        clients = MisbehavingClients(site=self.site, seed=self.seed)
        await clients.run(until=self.end_time)

    async def _watch_memory(self) -> None:
        """Keep the highest memory of each daemon, over all of its processes."""
        while time.monotonic() < self.end_time:
            for name, process in self.site.process_manager.processes.items():
                gauge = ProcessGauge(process.pid, set(self.site.ports[name].values()))
                gauge.sample()
                highest = self.highest_megabytes.get(name, 0.0)
                self.highest_megabytes[name] = max(highest, gauge.highest_megabytes)
            await asyncio.sleep(GAUGE_SECONDS)

    async def _send_stubbornly(self, number: int) -> None:
        """Send requests on connections that are used until they break."""
        rng = random.Random(f"stubborn {number} of {self.seed}")
        connections = {
            name: StubbornConnection(port=self.site.ports[name]["front"])
            for name in self.site.daemon_names
        }
        while time.monotonic() < self.end_time:
            sent = self._add_request(rng, rng.choice(tuple(ROUTES)), "studio")
            connection = connections[sent.daemon]
            await connection.send(sent, shared_parts=(COMMON_PART, f"k{number}"))
            await asyncio.sleep(MAXIMUM_PAUSE_SECONDS * rng.random())
        for connection in connections.values():
            connection.close()

    async def _client(self, number: int) -> None:
        """Send requests one after the other over persistent connections."""
        rng = random.Random(self.random.random())
        async with open_session() as session:
            while time.monotonic() < self.end_time:
                sent = self._draw_request(rng, number)
                front_url = self.site.front_url(sent.daemon)
                await send(
                    session,
                    sent,
                    front_url=front_url,
                    shared_parts=(COMMON_PART, f"s{number}"),
                )
                await asyncio.sleep(MAXIMUM_PAUSE_SECONDS * rng.random())

    async def _partition(self) -> None:
        """Cut one or two daemons off from the workers, in the middle of the run."""
        rng = random.Random(self.random.random())
        await asyncio.sleep(PARTITION_BEGINS * self.seconds)
        daemons = rng.sample(self.site.daemon_names, rng.choice((1, 2)))
        await self.faults.partition(
            daemons, PARTITION_SHARE * self.seconds, resets=rng.random() < 0.5
        )

    async def _make_brittle(self) -> None:
        """Make the engines brittle, in the middle of the run."""
        limit = random.Random(self.random.random()).choice(BRITTLE_LIMITS)
        await asyncio.sleep(BRITTLE_BEGINS * self.seconds)
        await self.faults.make_brittle("engines", limit, BRITTLE_SHARE * self.seconds)

    async def _send_streams(self, number: int) -> None:
        """Send streams one after the other, with pauses between them."""
        rng = random.Random(self.random.random())
        async with open_session() as session:
            while time.monotonic() < self.end_time:
                sent = self._add_request(rng, "stream", "studio")
                await send(
                    session,
                    sent,
                    front_url=self.site.front_url(sent.daemon),
                    shared_parts=(COMMON_PART, f"t{number}"),
                )
                await asyncio.sleep(BRITTLE_PAUSE_SECONDS * rng.random())

    async def _send_crashing(self, name: str, rng: random.Random) -> None:
        """Send requests that crash workers as a whole, or by a part at any position."""
        position = rng.choice((None, 0, 1, 2))
        begins = rng.uniform(*CAUSES_BEGIN) * self.seconds
        is_answered_first = rng.random() < 0.5
        cause = f"/stream/{name}" if position is None else name
        self.record.crash_causes.add(cause)
        rng = random.Random(f"{name} of {self.seed}")
        await asyncio.sleep(begins)
        turns_bad_at = time.monotonic()
        if is_answered_first:
            turns_bad_at += SOUND_SHARE * self.seconds
        async with open_session() as session:
            while time.monotonic() < self.end_time:
                if time.monotonic() >= turns_bad_at:
                    for worker in self.site.workers:
                        worker.crash_causes.add(cause)
                sent = self._add_request(rng, "stream", "studio")
                parts = [COMMON_PART, f"{name}-group", f"c{rng.randrange(SESSIONS)}"]
                if position is None:
                    sent.repeated_path = cause
                else:
                    parts[position] = cause
                await send(
                    session,
                    sent,
                    front_url=self.site.front_url(sent.daemon),
                    shared_parts=tuple(parts),
                )
                await asyncio.sleep(CRASHING_GAP_SECONDS * rng.random())

    def _draw_request(self, rng: random.Random, number: int) -> SentRequest:
        route = rng.choice(tuple(ROUTES))
        account = rng.choice(tuple(ACCOUNTS))
        if rng.random() < REVOKED_SHARE:
            account = "guest"
        return self._add_request(rng, route, account, number)

    def _add_request(
        self, rng: random.Random, route: str, account: str, number: int = CLIENTS
    ) -> SentRequest:
        self.serial += 1
        sent = SentRequest(
            attempt=f"r{number}-{self.serial}",
            route=route,
            daemon=rng.choice(self.site.daemon_names),
            account=account,
            time=time.monotonic(),
        )
        self.sent.append(sent)
        return sent

    async def _inject_faults(self) -> None:
        """Inject random faults at random intervals; some overlap."""
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < self.end_time:
                tasks.create_task(self._draw_fault())
                await asyncio.sleep(FAULT_GAP_SECONDS * (0.3 + self.random.random()))

    def _draw_fault(self) -> Coroutine[None, None, None]:
        """Return a coroutine that injects a random fault at a random target."""
        rng, faults = self.random, self.faults
        link = rng.choice(list(self.site.relays))
        daemon = rng.choice(self.site.daemon_names)
        worker = rng.choice(self.site.workers).name
        answers = rng.choices(tuple(Fault), k=3)
        short_seconds, long_seconds = 0.5 + 2.0 * rng.random(), 0.5 + 5.0 * rng.random()
        answer = partial(faults.worker_answers, worker, answers)
        drain = partial(self._drain, worker)
        injections = [
            answer,
            answer,
            lambda: faults.silence(link),
            lambda: faults.cut(link, short_seconds),
            lambda: faults.pause(daemon, long_seconds),
            lambda: faults.kill(daemon),
            lambda: faults.terminate(daemon),
            lambda: faults.reload(daemon),
            lambda: faults.store_outage(0.5 + long_seconds),
            lambda: faults.lost_replies(),
            faults.revoke,
            drain,
        ]
        if (self.brittle or self.evacuations) and not self._is_disturbed():
            injections = [answer, faults.revoke, drain]
        if self.drills:
            copy_seconds = MAXIMUM_COPY_SECONDS * rng.random()
            drill = partial(faults.drill, short_seconds, copy_seconds)
            injections += [drill] * DRILL_WEIGHT
        if self.limits:
            named = rng.choices(LIMITS, k=rng.randrange(1, 3))
            limit = partial(faults.limit, worker, named, 3.5 + short_seconds)
            injections += [limit] * LIMIT_WEIGHT
        if self.notices:
            pause = partial(faults.pause_requests, worker, rng.choice(PAUSES))
            leave = partial(faults.leave, worker, rng.choice(LEAVING_SECONDS))
            injections += [pause, leave] * NOTICE_WEIGHT
        if self.series:
            injections += [self._draw_series()] * SERIES_WEIGHT
        if self.cold:
            domain = rng.choice(self.site.workers).zone
            return_cold = partial(faults.return_cold, domain)
            make_cold = partial(faults.make_cold, worker)
            injections += [return_cold, make_cold] * COLD_WEIGHT
        if self.odd:
            name = f"odd-{rng.randrange(3)}"
            leave = partial(faults.leave_odd_entry, name, rng.choice(ODD_ENTRIES))
            injections += [leave, partial(faults.repeat_refusals, worker)] * ODD_WEIGHT
        if self.broken:
            answers = rng.choices(BROKEN_ANSWERS, k=rng.randint(*BROKEN_SERIES))
            break_answers = partial(faults.break_answers, worker, answers)
            injections += [break_answers] * BROKEN_WEIGHT
        if self.evacuations:
            domain = rng.choice(self.site.workers).zone
            seconds = EVACUATE_MILLISECONDS / 1000 + rng.uniform(*EVACUATION_SECONDS)
            evacuate = partial(faults.evacuate, domain, seconds)
            injections += [evacuate] * EVACUATION_WEIGHT
        return rng.choice(injections)()

    def _draw_series(self) -> Callable[[], Coroutine[None, None, None]]:
        """Return an injection of signals and changes in quick succession."""
        rng, faults = self.random, self.faults
        drawn, gaps = [], []
        for _ in range(rng.randint(*SERIES_LENGTHS)):
            daemon = rng.choice(self.site.daemon_names)
            signals = [faults.reload, faults.terminate, faults.kill]
            changes = [partial(signal, daemon) for signal in signals]
            drawn.append(rng.choice([*changes, faults.change_configuration]))
            gaps.append(SERIES_GAP_SECONDS * rng.random())
        return partial(faults.disturb_in_series, drawn, gaps)

    def _is_disturbed(self) -> bool:
        """Return whether the run is in the part with faults of daemons and store."""
        begins, ends = DISTURBED_PART
        return begins <= 1 - (self.end_time - time.monotonic()) / self.seconds < ends

    async def _drain(self, worker: str) -> None:
        """Drain at most one worker in all, so that each service keeps one."""
        if not self.record.drained_at:
            await self.faults.drain(worker)


def run_seed(seed: int, seconds: float, **extras: bool | int) -> list[str]:
    """Run one seed, print a summary and return the violations.

    ``extras`` are the optional kinds of faults of `Soak`, and its size.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed=seed, seconds=seconds, folder=folder, **extras)
    violations = asyncio.run(soak.run())
    answered = sum(sent.status == 200 for sent in soak.sent)
    print(
        f"seed {seed}: {len(soak.sent)} requests, {answered} answered, "
        f"{len(violations)} violations; {folder}"
    )
    for line in violations[:20]:
        print(f"  {line}")
    return violations


def main(argv: list[str]) -> None:
    """Run the seeds that the flags name."""
    first = FLAGS.seed if FLAGS.seed is not None else int(time.time())
    extras = {
        "drills": FLAGS.drills,
        "limits": FLAGS.limits,
        "notices": FLAGS.notices,
        "crashes": FLAGS.crashes,
        "partitions": FLAGS.partitions,
        "brittle": FLAGS.brittle,
        "cold": FLAGS.cold,
        "evacuations": FLAGS.evacuations,
        "homes": FLAGS.homes,
        "odd": FLAGS.odd,
        "large": FLAGS.large,
        "series": FLAGS.series,
        "crowds": FLAGS.crowds,
        "broken": FLAGS.broken,
        "daemons": FLAGS.daemons,
    }
    failed = [
        seed
        for seed in range(first, first + FLAGS.seeds)
        if run_seed(seed, FLAGS.seconds, **extras)
    ]
    print(f"{FLAGS.seeds} seeds, {len(failed)} with violations: {failed}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", None, "First seed; the time of day if none is given.")
    flags.DEFINE_integer("seeds", 1, "How many seeds to run, one after the other.")
    flags.DEFINE_bool("drills", False, "Whether the store returns from older copies.")
    flags.DEFINE_bool("limits", False, "Whether workers name limits on requests.")
    flags.DEFINE_bool("notices", False, "Whether workers ask for pauses and leave.")
    flags.DEFINE_bool("crashes", False, "Whether workers crash on some requests.")
    flags.DEFINE_bool("series", False, "Whether signals and changes come in series.")
    flags.DEFINE_bool("crowds", False, "Whether crowds of clients don't behave.")
    flags.DEFINE_bool("broken", False, "Whether workers send broken answers.")
    flags.DEFINE_bool("partitions", False, "Whether daemons are cut off from workers.")
    flags.DEFINE_bool("brittle", False, "Whether engines are brittle and short.")
    flags.DEFINE_bool("cold", False, "Whether workers are cold after a start.")
    flags.DEFINE_bool("evacuations", False, "Whether failure domains are evacuated.")
    flags.DEFINE_bool("homes", False, "Whether routes and accounts allow regions.")
    flags.DEFINE_bool("odd", False, "Whether odd entries and copied refusals come.")
    flags.DEFINE_bool(
        "large", False, "Whether the configuration has 2,800 more routes."
    )
    flags.DEFINE_integer("daemons", DAEMONS, "How many daemons run.")
    flags.DEFINE_float("seconds", 20.0, "How long faults and requests last.")
    absl_app.run(main)
