"""Many daemons before endpoints that start cold, without requests of callers.

Each daemon takes every permit that it gets, at once or up to a fifth of a second late,
so that the permits of daemons which disagree come together. Time is virtual; daemons
read the store and hear of each other at times of their own.
"""

import heapq
import itertools
import random

from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.endpoint_paces import EndpointPaces
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.settings import FleetSettings, SettingsHolder
from linnetladder.forwarding.state import CallerLimits, RoutingTable, ServiceSpec
from linnetladder.state import EndpointTable
from linnetladder.telemetry import Metrics
from tests.support.forwarding import ManualClock, report

COLD_SECONDS = 8.0
COLD_PER_SECOND = 9.7
# Requests in any second that a cold endpoint may get: 9.7 x 1.5 + 5.
ALLOWED_IN_A_SECOND = 19.55
READ_INTERVAL_SECONDS = 1.25
REPORT_INTERVAL_SECONDS = 0.4
RECEIVERS = 14
ANSWER_SECONDS = 0.05
# A daemon looks for a permit at least this often, since paces change.
LOOK_SECONDS = 0.1


def cold_table(*, per_second=COLD_PER_SECOND):
    """Return a configuration whose service ``engines`` starts cold."""
    spec = ServiceSpec(
        name="engines",
        health_path="/healthz",
        maximum_connections=100,
        cold_seconds=COLD_SECONDS,
        cold_per_second=per_second,
    )
    return RoutingTable(
        version=1,
        revision=1,
        routes=(),
        services=(spec,),
        accounts=(),
        limits=CallerLimits(),
    )


class PacingDaemon:
    """The limits and paces of one daemon, with what they depend on."""

    def __init__(self, *, name, clock, table):
        holder = SettingsHolder(
            settings=FleetSettings(
                instance=name,
                failure_domain="east",
                failure_domains=("east", "west"),
                address="10.1.0.1",
                caller_port=80,
                ready_port=81,
                peer_ports=(90, 95),
                store_address="10.9.0.1:80",
            )
        )
        endpoints = EndpointTable()
        self.name = name
        self.directory = EndpointDirectory(
            table=endpoints, loads=EndpointLoads(clock=clock), clock=clock
        )
        in_force = TableInForce(settings=holder, clock=clock)
        in_force.confirm_read(table, began=clock.monotonic())
        metrics = Metrics()
        self.paces = EndpointPaces(
            in_force=in_force,
            settings=holder,
            directory=self.directory,
            outcomes=Outcomes(clock=clock),
            clock=clock,
            metrics=metrics,
        )
        self.limits = RequestLimits(
            instance=name,
            table=endpoints,
            paces=self.paces,
            clock=clock,
            metrics=metrics,
        )


class ColdFleet:
    """Daemons and the endpoints that all start, or return, at the same moment.

    Of the daemons, ``cut`` reach neither the store nor other daemons. They keep a list
    from before, while the others no longer list them, and notice only that they can
    connect to the endpoints again. ``started`` are in the others' lists only after
    their next read. ``late`` is how late a daemon may come for a permit, in seconds.
    """

    def __init__(
        self, *, daemons, endpoints=6, cut=0, started=0, late=0.0, seed=1, table=None
    ):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.late = late
        self.serial = itertools.count()
        self.events = []
        self.arrivals = {f"engine-{n + 1}": [] for n in range(endpoints)}
        names = [f"daemon-{n + 1}" for n in range(daemons)]
        self.daemons = [
            PacingDaemon(name=name, clock=self.clock, table=table or cold_table())
            for name in names
        ]
        known = names[: len(names) - started]
        for daemon in self.daemons[: len(known)]:
            daemon.limits.update_members(known)
        self.clock.now += 10.0
        self.began = self.clock.now
        for daemon in self.daemons[: len(known)]:
            daemon.directory.apply([])
        for number, daemon in enumerate(self.daemons):
            has_started = number >= len(known)
            if number < cut:
                self._notice_return(daemon)
                continue
            if has_started:
                daemon.limits.update_members(names[cut:])
            read_at = 0.0 if has_started else self._delay(READ_INTERVAL_SECONDS)
            self._at(read_at, self._read, daemon)
            if not has_started:
                self._at(read_at, daemon.limits.update_members, names[cut:])
            self._at(self._delay(REPORT_INTERVAL_SECONDS), self._tell, daemon)
        self.connected = self.daemons[cut:]

    def run(self, *, seconds):
        """Let the daemons send for some seconds."""
        end = self.clock.now + seconds
        while self.events and self.events[0][0] <= end:
            self.clock.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def busiest_second(self):
        """Return the most requests that any endpoint got in a sliding second."""
        most = 0
        for times in self.arrivals.values():
            times.sort()
            first = 0
            for last, time in enumerate(times):
                while times[first] <= time - 1.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def received(self, first, last):
        """Return the mean requests that an endpoint got between two times."""
        counts = [
            sum(first < time - self.began <= last for time in times)
            for times in self.arrivals.values()
        ]
        return sum(counts) / len(counts)

    def _read(self, daemon):
        """Read that all endpoints have started."""
        reports = [
            report(name, incarnation="2", cold_seconds=COLD_SECONDS)
            for name in self.arrivals
        ]
        daemon.directory.apply(reports)
        for endpoint in daemon.directory.table.endpoints.values():
            self._look(daemon, endpoint)

    def _notice_return(self, daemon):
        """Let a daemon connect to endpoints again that it could not reach."""
        daemon.directory.apply(report(name) for name in self.arrivals)
        for endpoint in daemon.directory.table.endpoints.values():
            daemon.paces.note_returned(endpoint)
            self._look(daemon, endpoint)

    def _look(self, daemon, endpoint):
        """Take the permits that are there, and come again for the next one."""
        while daemon.limits.may_send(endpoint):
            if not daemon.limits.take(endpoint):
                break
            self.arrivals[endpoint.name].append(self.clock.now)
            if daemon.limits.limit_of(endpoint) is None:
                break
            self._at(ANSWER_SECONDS, self._answer, daemon, endpoint, self.clock.now)
        wait = min(daemon.limits.seconds_until_next(endpoint), LOOK_SECONDS)
        wait += self._delay(self.late) if self.late else 0.0
        self._at(max(wait, 0.001), self._look, daemon, endpoint)

    def _answer(self, daemon, endpoint, sent_at):
        daemon.paces.learn_answer(endpoint, 1.0, sound=True, sent_at=sent_at)

    def _tell(self, daemon):
        rows = daemon.paces.export(maximum_bytes=1_000)
        if rows:
            for peer in self.random.sample(
                self.connected, min(RECEIVERS, len(self.connected))
            ):
                peer.limits.learn_report([])
                peer.paces.learn_report(rows)
        self._at(REPORT_INTERVAL_SECONDS, self._tell, daemon)

    def _delay(self, seconds):
        return self.random.uniform(0.0, seconds)

    def _at(self, delay, action, *arguments):
        entry = (self.clock.now + delay, next(self.serial), action, arguments)
        heapq.heappush(self.events, entry)
