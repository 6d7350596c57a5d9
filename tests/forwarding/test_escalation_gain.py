"""Escalation while engines are short of time, and the fallback to the smaller model."""

import collections
import dataclasses
import math
import random

import pytest

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.escalation_gain import EscalationGain
from linnetladder.forwarding.coordination.sizing import ConfidenceCascade, SizingInputs
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import Prompt, PromptPart
from tests.support.forwarding import (
    ManualClock,
    Script,
    broken,
    cut,
    head,
    ready_daemon,
    route,
    table,
)

ROUTE = route()
ANSWER = b"id: 1\ndata: kept\n\n"
DOUBTFUL = Script(confidence=10.0, chunks=(ANSWER,))
ATTEMPTS_EXCEPT_FALLBACK = (
    Script(fault=broken()),
    Script(fault=broken(kind="silent")),
    Script(cut_after=0),
    Script(status=500),
    Script(status=400),
)


def prompt(input_tokens=1000, output_tokens=80, shared=0):
    parts = (PromptPart("s", shared), PromptPart("own", input_tokens - shared))
    return Prompt(input_tokens=input_tokens, output_tokens=output_tokens, parts=parts)


def cascade():
    loads = EndpointLoads(clock=ManualClock())
    policy = PolicySettings()
    gain = EscalationGain(loads=loads, policy=policy)
    return ConfidenceCascade(loads=loads, policy=policy, gain=gain)


def escalates(sizing, *, wait, confidence=10.0, remaining=2.0, **changes):
    """Return whether a response of the smallest model is given up for a larger one."""
    inputs = SizingInputs(
        route=ROUTE,
        prompt=changes.pop("prompt", prompt()),
        remaining=remaining,
        wait=wait,
        **changes,
    )
    step = sizing.next_position(inputs, position=0, confidence=confidence)
    return step.position is not None


@dataclasses.dataclass
class Burst:
    """A simulated engine that gets more doubtful requests than it can escalate.

    The wait that the daemon sees is ``lag`` seconds old. A request takes ``small``
    seconds of the engine and ten times that if it is escalated.
    """

    sizing: ConfidenceCascade
    per_second: int = 100
    small: float = 0.005
    lag: float = 0.3
    doubtful_share: float = 1.0
    wait: float = 0.0

    def run(self, seconds, *, per_second=None):
        """Return the escalated requests and the wait of each second."""
        per_second = per_second or self.per_second
        rng = random.Random(1)
        length = max(int(self.lag * per_second), 1)
        seen = collections.deque([self.wait] * length, maxlen=length)
        escalated, waits = [], []
        for number in range(int(seconds * per_second)):
            if number % per_second == 0:
                escalated.append(0)
                waits.append([])
            self.wait = max(self.wait - 1.0 / per_second, 0.0) + self.small
            doubtful = rng.random() < self.doubtful_share
            confidence = rng.uniform(0.0, 45.0) if doubtful else 90.0
            if escalates(self.sizing, wait=seen[0], confidence=confidence):
                escalated[-1] += 1
                self.wait += 10.0 * self.small
            waits[-1].append(self.wait)
            seen.append(self.wait)
        return escalated, waits


def test_burst_with_low_confidence_everywhere_leaves_engines_time_for_all():
    """All requests that are escalated would take 5.5 times the engine's time."""
    burst = Burst(cascade())
    escalated, waits = burst.run(30)
    settled = [wait for second in waits[5:] for wait in second]
    assert max(settled) < ROUTE.objective_seconds
    # The engine has time for 10 escalations a second, and none of it is left unused.
    assert sum(escalated[5:]) == pytest.approx(10 * 25, rel=0.1)


@pytest.mark.parametrize("per_second", [30, 60, 120, 180])
def test_escalations_do_not_oscillate_in_a_burst(per_second):
    """A limit on the wait alone would escalate all or none, in turns.

    The counts may vary as much as the draws of the confidences do, three standard
    deviations.
    """
    burst = Burst(cascade(), per_second=per_second)
    escalated, waits = burst.run(40)
    settled = escalated[10:]
    mean = sum(settled) / len(settled)
    assert all(abs(count - mean) <= 3.0 * math.sqrt(mean) + 1 for count in settled)
    levels = [wait for second in waits[10:] for wait in second]
    assert max(levels) - min(levels) < 0.4 * ROUTE.objective_seconds


def test_equal_doubtful_responses_are_escalated_in_part():
    """Equal gains must not make the choice all or none."""
    sizing = cascade()
    results = [escalates(sizing, wait=0.8) for _ in range(400)]
    assert 0.1 < sum(results[200:]) / 200 < 0.6


def test_engines_recover_and_every_doubtful_response_is_escalated_again():
    burst = Burst(cascade())
    burst.run(10)
    escalated, _ = burst.run(6, per_second=10)
    assert escalated[-3:] == [10, 10, 10]
    assert not burst.sizing.gain.routes[ROUTE.name].short


def test_short_state_has_hysteresis():
    """Around one limit, a wait that varies by little would change the state often."""
    sizing = cascade()
    states = []
    for wait in (0.45, 0.51, 0.45, 0.25, 0.19, 0.45):
        escalates(sizing, wait=wait)
        states.append(sizing.gain.routes[ROUTE.name].short)
    assert states == [False, True, True, True, False, False]


def test_with_rising_wait_fewer_are_escalated_and_none_that_would_be_late():
    shares = []
    for wait in (0.55, 0.8, 1.1, 1.4, 1.7, 2.0, 2.3):
        sizing = cascade()
        rng = random.Random(1)
        results = [
            escalates(sizing, wait=wait, confidence=rng.uniform(0, 49))
            for _ in range(600)
        ]
        shares.append(sum(results[200:]))
    assert shares[:6] == sorted(shares[:6], reverse=True)
    assert shares[0] > 200 > shares[3] > 0
    assert shares[5:] == [0, 0]


def test_while_engines_have_time_every_doubtful_response_is_escalated():
    sizing = cascade()
    rng = random.Random(1)
    assert all(
        escalates(sizing, wait=0.49, confidence=rng.uniform(0, 49)) for _ in range(300)
    )


def test_a_missing_confidence_changes_nothing():
    sizing = cascade()
    for _ in range(10):
        assert not escalates(sizing, wait=1.0, confidence=None)
    assert sizing.gain.routes == {}


def escalated_by_kind(kinds, *, wait=0.9):
    """Return how many of 300 requests of each kind are escalated, in turns."""
    sizing = cascade()
    counts = collections.Counter()
    for _ in range(300):
        for name, changes in kinds.items():
            counts[name] += escalates(sizing, wait=wait, **changes)
    return counts


def test_lowest_confidence_goes_first():
    counts = escalated_by_kind({"low": {"confidence": 5}, "high": {"confidence": 40}})
    assert counts["low"] > 150 > 15 > counts["high"]


def test_prompts_that_an_endpoint_holds_for_the_larger_model_go_first():
    """Reading such a prompt takes about a tenth of the time of another one."""
    shared = prompt(shared=900)
    held = frozenset(("middle", "large"))
    counts = escalated_by_kind(
        {"held": {"prompt": shared, "holding_models": held}, "new": {"prompt": shared}}
    )
    assert counts["held"] > 150 > 15 > counts["new"]


def test_gain_grows_with_the_size_of_the_request():
    gain = cascade().gain
    gain.learn_request(ROUTE, prompt())
    seen = gain.routes[ROUTE.name]
    large, small = prompt(9000, 700), prompt(900, 70)
    # Both have the same engine time that is not held.
    rates = [gain._rate(seen, large, held, "large", 10.0) for held in (0, 9000)] + [
        gain._rate(seen, small, 0, "large", 10.0)
    ]
    assert rates[1] > rates[0] == pytest.approx(rates[2])


@pytest.mark.parametrize("failure", ATTEMPTS_EXCEPT_FALLBACK, ids=repr)
def test_smaller_model_is_asked_again_when_the_larger_one_fails(failure):
    """The request would end as a 502 although the smaller model can answer it."""
    daemon = ready_daemon()
    kept = Script(confidence=10.0, chunks=(ANSWER,))
    reply = daemon.answer(head(), DOUBTFUL, failure, kept)
    assert [call.model for call in daemon.calls.calls] == ["small", "large", "small"]
    assert (reply.status, reply.body, reply.complete) == (200, ANSWER, True)
    assert daemon.metrics.value("escalation_fallbacks") == 1
    steps = daemon.calls.calls[0].request.history
    assert "falls back to small" in steps


def test_smaller_model_is_asked_again_when_no_endpoint_takes_the_larger_one():
    daemon = ready_daemon()
    turned_away = [Script(status=503, not_run=True)] * 3
    reply = daemon.answer(head(), DOUBTFUL, *turned_away, DOUBTFUL)
    assert (reply.status, reply.body) == (200, ANSWER)
    assert daemon.calls.calls[-1].model == "small"


def test_larger_model_gets_all_attempts_but_one():
    daemon = ready_daemon()
    daemon.source.table = table(2, routes=[route(maximum_attempts=4)])
    daemon.read()
    reply = daemon.answer(head(), DOUBTFUL, *[Script(fault=broken())] * 2, DOUBTFUL)
    models = [call.model for call in daemon.calls.calls]
    assert models == ["small", "large", "large", "small"]
    assert reply.body == ANSWER


@pytest.mark.parametrize("maximum", [2, 3])
def test_fallback_keeps_to_the_routes_attempts(maximum):
    daemon = ready_daemon()
    daemon.source.table = table(2, routes=[route(maximum_attempts=maximum)])
    daemon.read()
    reply = daemon.answer(head(), DOUBTFUL, *[Script(fault=broken())] * 5)
    assert len(daemon.calls.calls) == maximum
    assert reply.status == 502


def test_fallback_keeps_to_the_retry_budget():
    daemon = ready_daemon()
    daemon.budget.daemons = 1000
    for serial in range(8):
        daemon.answer(head(attempt_id=f"a{serial}"))
    spent = daemon.budget.spend
    daemon.budget.spend = lambda service: spent(service, reserve=5.5)
    reply = daemon.answer(head(), DOUBTFUL, Script(fault=broken()), DOUBTFUL)
    assert [call.model for call in daemon.calls.calls[8:]] == ["small", "large"]
    assert reply.status == 502


def test_silent_larger_model_is_given_up_in_time_for_the_smaller_one():
    daemon = ready_daemon()
    slow = dataclasses.replace(DOUBTFUL, seconds=0.4)
    daemon.answer(head(deadline_seconds=3.0), slow, Script(fault=cut()), DOUBTFUL)
    larger = daemon.calls.calls[1]
    assert larger.silence_seconds + 2 * 0.4 < larger.remaining_seconds
    assert math.isclose(daemon.calls.calls[0].silence_seconds, 5.0)


def test_stream_of_the_larger_model_that_has_begun_resumes_there():
    daemon = ready_daemon()
    begun = Script(chunks=(ANSWER,), cut_after=1)
    daemon.answer(head(), DOUBTFUL, begun, Script(chunks=(b"id: 2\ndata: b\n\n",)))
    assert [call.model for call in daemon.calls.calls] == ["small", "large", "large"]


def test_parts_that_were_sent_for_the_larger_model_count_as_held():
    daemon = ready_daemon()
    daemon.answer(head(), DOUBTFUL, Script())
    request = daemon.calls.calls[-1].request
    assert daemon.sender.holding_models(request) == {"small", "large"}
    seen = []
    worthwhile = daemon.forwarder.sizing.gain.is_worthwhile
    daemon.forwarder.sizing.gain.is_worthwhile = lambda *arguments, **options: (
        seen.append(options["held_tokens"]) or worthwhile(*arguments, **options)
    )
    daemon.answer(head(attempt_id="a2"), DOUBTFUL, Script())
    daemon.answer(head(attempt_id="a3", session="s2"), DOUBTFUL, Script())
    assert seen == [800, 0]


@pytest.mark.parametrize("daemons", [8, 88, 370])
def test_the_first_doubtful_answers_of_a_daemon_are_escalated(daemons):
    """Guards against small models that alone answer in the first seconds of a fleet.

    With many daemons, a daemon's part of the fixed allowance is small, and its part of
    the other grows with the requests that it has seen.
    """
    daemon = ready_daemon()
    daemon.budget.daemons = daemons
    for _ in range(4):
        daemon.budget.count_request("engines")
    assert daemon.budget.allows_escalation("engines")
    while daemon.budget.allows_escalation("engines"):
        assert daemon.budget.spend("engines")
    left = daemon.budget.available("engines")
    assert left < 1.0 + 0.2 * daemon.budget.allowance("engines")
    assert daemon.budget.available("engines") > 0.0


def test_engines_bear_longer_waits_while_larger_models_answer_in_time():
    """Guards against small models' answers on sites whose engines catch up."""
    gain = cascade().gain
    longer = 0.9 * 2.0 * 0.25 * ROUTE.objective_seconds
    assert gain.is_short(ROUTE, wait=longer)
    for _ in range(100):
        gain.learn_answer(ROUTE, in_time=True)
    assert not gain.is_short(ROUTE, wait=longer)
    assert gain.is_short(ROUTE, wait=1.2 * longer)


def test_engines_that_fall_behind_are_short_early_again():
    """Guards against overload that larger models keep up: a fifth of them is late."""
    gain = cascade().gain
    for _ in range(100):
        gain.learn_answer(ROUTE, in_time=True)
    for number in range(200):
        gain.learn_answer(ROUTE, in_time=number % 5 > 0)
    assert gain.is_short(ROUTE, wait=1.3 * 0.25 * ROUTE.objective_seconds)


@pytest.mark.parametrize(("seconds", "in_time"), [(0.1, True), (2.5, False)])
def test_the_beginning_of_a_larger_models_answer_is_learned(seconds, in_time):
    """Guards against a tolerance that grows while answers are late."""
    daemon = ready_daemon()
    learned = []
    daemon.forwarder.sizing.learn_answer = lambda route, in_time: learned.append(
        in_time
    )
    daemon.answer(head(deadline_seconds=9.0), DOUBTFUL, Script(seconds=seconds))
    assert learned == [in_time]
