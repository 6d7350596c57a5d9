"""Engines of unequal speed: long prompts go where they are read sooner."""

import random

import pytest

from linnetladder.forwarding.coordination.endpoint_speeds import (
    FASTEST,
    SLOWEST,
    EndpointSpeeds,
)
from linnetladder.forwarding.coordination.selection import SelectionInputs
from linnetladder.forwarding.protocol.daemon_messages import (
    DaemonMessage,
    DaemonReport,
    decode_message,
    encode_message,
)
from linnetladder.forwarding.state import Position
from linnetladder.state import Endpoint
from tests.support.forwarding import ManualClock, ready_daemon

SECRET = b"secret"
# The time that an engine takes for a prompt, relative to the others.
FACTORS = (0.6, 0.6, 1.0, 1.0, 1.0, 1.7, 1.7)
PROMPT_SECONDS = 0.5
DAEMONS = 12
REPORT_SECONDS = 2.0
PRESENT_SHARE = 0.55


def endpoint(name):
    return Endpoint(
        name=name,
        incarnation="1",
        address="10.0.0.1:1",
        failure_domain="east",
        service="engines",
        capacity=64,
    )


ENDPOINTS = [endpoint(f"engine-{number}") for number in range(len(FACTORS))]


def sample(speeds, engine, factor, count=1):
    for _ in range(count):
        speeds.learn(engine, tokens=5_000, elapsed=factor * 0.2, usual=0.2)


class UnevenEngines:
    """Daemons that know of each other's requests and measurements 2 s later."""

    def __init__(self, *, with_speeds, seed=1):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.with_speeds = with_speeds
        self.speeds = [EndpointSpeeds(clock=self.clock) for _ in range(DAEMONS)]
        self.free_at = [0.0] * len(FACTORS)
        self.known = [[0.0] * len(FACTORS) for _ in range(DAEMONS)]
        self.reported_at = 0.0
        self.pending = []

    def run(self, seconds):
        """Return the times to the first token in the second half of the run."""
        rate = sum(1 / f for f in FACTORS) / PROMPT_SECONDS * PRESENT_SHARE
        waits = []
        began = self.clock.now
        while self.clock.now < began + seconds:
            self.clock.now += self.random.expovariate(rate)
            self.learn_finished()
            if self.clock.now - self.reported_at >= REPORT_SECONDS:
                self.report()
            wait = self.send(self.random.randrange(DAEMONS))
            if self.clock.now > began + seconds / 2:
                waits.append(wait)
        return waits

    def send(self, daemon):
        speeds = self.speeds[daemon]
        scores = []
        for number, engine in enumerate(ENDPOINTS):
            factor = speeds.factor(engine) if self.with_speeds else 1.0
            expected = (self.known[daemon][number] + PROMPT_SECONDS) * factor
            scores.append((expected, self.random.random()))
        chosen = min(
            range(len(scores)), key=lambda n: (scores[n], self.random.random())
        )
        self.known[daemon][chosen] += PROMPT_SECONDS
        now = self.clock.now
        begins = max(self.free_at[chosen], now)
        self.free_at[chosen] = begins + PROMPT_SECONDS * FACTORS[chosen]
        elapsed = self.free_at[chosen] - now
        self.pending.append((self.free_at[chosen], daemon, chosen, elapsed))
        return elapsed

    def learn_finished(self):
        now = self.clock.now
        for at, daemon, chosen, elapsed in self.pending:
            if at <= now:
                self.speeds[daemon].learn(
                    ENDPOINTS[chosen], tokens=5_000, elapsed=elapsed, usual=0.6
                )
        self.pending = [item for item in self.pending if item[0] > now]

    def report(self):
        now = self.reported_at = self.clock.now
        waits = [
            max(free - now, 0.0) / f
            for free, f in zip(self.free_at, FACTORS, strict=True)
        ]
        self.known = [list(waits) for _ in range(DAEMONS)]
        rows = [speeds.export(maximum_rows=10) for speeds in self.speeds]
        for receiver, speeds in enumerate(self.speeds):
            for sender, sent in enumerate(rows):
                if sender != receiver:
                    speeds.learn_report(f"daemon-{sender}", dict(sent))


# Guards against prompts that are late at slow engines while fast ones have time.
def test_long_prompts_at_engines_of_unequal_speed_are_read_sooner():
    def late_share(with_speeds):
        waits = []
        for seed in range(4):
            engines = UnevenEngines(with_speeds=with_speeds, seed=seed)
            waits += engines.run(60.0)
        return sum(wait > 1.5 for wait in waits) / len(waits)

    assert late_share(True) < 0.7 * late_share(False)


def test_engines_of_equal_speed_are_treated_alike():
    speeds = EndpointSpeeds(clock=ManualClock())
    for engine in ENDPOINTS:
        sample(speeds, engine, 1.4, count=5)
    assert {speeds.factor(engine) for engine in ENDPOINTS} == {1.0}


# Guards against one slow answer that keeps requests from a sound engine.
def test_one_slow_answer_says_little():
    speeds = EndpointSpeeds(clock=ManualClock())
    for engine in ENDPOINTS:
        sample(speeds, engine, 1.0)
    sample(speeds, ENDPOINTS[0], 100.0)
    assert 1.0 < speeds.factor(ENDPOINTS[0]) < 1.6


def test_factors_are_limited():
    speeds = EndpointSpeeds(clock=ManualClock())
    for number in range(40):
        rows = {e.name: 0.0 for e in ENDPOINTS}
        rows["engine-0"], rows["engine-1"] = 5.0, -5.0
        speeds.learn_report(f"daemon-{number}", rows)
    assert speeds.factor(ENDPOINTS[0]) == SLOWEST
    assert speeds.factor(ENDPOINTS[1]) == FASTEST


# Guards against measurements of daemons that were killed or cut off.
def test_what_peers_measured_expires():
    clock = ManualClock()
    speeds = EndpointSpeeds(clock=clock)
    for number in range(9):
        speeds.learn_report(f"daemon-{number}", {"engine-0": 1.0, "engine-1": 0.0})
    slow = speeds.factor(ENDPOINTS[0])
    clock.now += 5.0
    assert speeds.factor(ENDPOINTS[0]) == slow > 1.0
    clock.now += 6.0
    assert speeds.factor(ENDPOINTS[0]) == 1.0


# Guards against a new process that is judged by the one before.
def test_an_endpoint_that_was_replaced_starts_anew():
    daemon = ready_daemon()
    engine = daemon.table.endpoints["engine-1"]
    for other in daemon.table.endpoints.values():
        sample(daemon.speeds, other, 1.0, count=9)
    sample(daemon.speeds, engine, 3.0, count=9)
    assert daemon.speeds.factor(engine) > 1.0
    daemon.directory.on_replaced("engine-1")
    daemon.clock.now += 1.0
    assert daemon.speeds.factor(engine) == 1.0


def test_short_prompts_are_not_measured():
    speeds = EndpointSpeeds(clock=ManualClock())
    speeds.learn(ENDPOINTS[0], tokens=200, elapsed=1.0, usual=0.1)
    assert speeds.export(maximum_rows=10) == []


@pytest.mark.parametrize("logarithm", [0.52, -0.9])
def test_speeds_are_reported(logarithm):
    report = DaemonReport(
        loads=[("engine-1", 3, 0.5)],
        outcomes=[],
        crashes=[],
        bad_targets=[],
        leaving=[],
        tokens=[("engine-1", 700)],
        speeds=[("engine-2", logarithm)],
    )
    message = DaemonMessage(
        instance="d",
        incarnation="i",
        sequence=1,
        position=Position(era=0, revision=0),
        report=report,
    )
    decoded = decode_message(encode_message(message, secret=SECRET), secret=SECRET)
    assert decoded.report.speeds == [("engine-2", logarithm)]
    assert decoded.report.loads == [("engine-1", 3, 0.5)]
    assert decoded.report.tokens == [("engine-1", 700)]


# Guards against a placement that ignores what was measured.
def test_a_prompt_goes_to_the_faster_of_idle_engines():
    daemon = ready_daemon()
    engines = [daemon.table.endpoints[f"engine-{number}"] for number in (1, 2, 3)]
    for engine in engines:
        sample(daemon.speeds, engine, 0.5 if engine is engines[2] else 2.0, 9)
    service = engines[0].service
    inputs = SelectionInputs(
        service=service,
        rule=daemon.rollouts.rule_for(service, "s"),
        affinity="m/s",
        shared_seconds=0.1,
        own_seconds=0.4,
        has_prompt=True,
        tried_endpoints=(),
    )
    assert daemon.selection.choose(inputs) is engines[2]
