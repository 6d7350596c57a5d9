"""Trials of requests that may crash endpoints, and what is kept of crashes."""

import asyncio

import pytest

from linnetladder.forwarding.coordination.poison import (
    MAXIMUM_SUSPECTS,
    OUTAGE_ENDPOINTS,
    SETTLING_SECONDS,
    TRIAL_PAUSES_SECONDS,
)
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import PartFinding
from linnetladder.forwarding.protocol.trial_messages import (
    decode_trial_message,
    encode_trial_message,
)
from linnetladder.forwarding.state import Prompt, PromptPart
from tests.support.forwarding import ManualClock, head, ready_daemon

PART = "p0-0000000000000001"
OTHER_PART = "p1-0000000000000002"
SECRET = b"secret"


def crash(daemon, suspect, *endpoints):
    for endpoint in endpoints:
        daemon.crashes.learn(suspect, endpoint)


def suspected(daemon, *, crashes=3):
    """Let a part crash endpoints that was answered some time before."""
    daemon.crashes.learn_answer((PART,))
    daemon.clock.now += 100.0
    crash(daemon, PART, *(f"e{number}:1" for number in range(crashes)))
    daemon.clock.now += TRIAL_PAUSES_SECONDS[0]


def request_with(daemon, suspect, attempt="a"):
    """Return an admitted request that has one suspect part."""
    parts = (PromptPart("x", 10), PromptPart(f"own-{attempt}", 10))
    prompt = Prompt(input_tokens=20, output_tokens=9, parts=parts)
    assert daemon.read()
    admitted = daemon.forwarder.admission.admit(
        head(attempt_id=attempt, prompt=prompt),
        attempt.encode(),
        received=daemon.clock.now,
    )
    request = admitted.unwrap()
    request.part_suspects = (suspect,)
    return request


class Network:
    """Delivers messages on trials between daemons, except to those that are down."""

    def __init__(self, daemons):
        self.daemons = {
            daemon.trials.own_address.instance: daemon for daemon in daemons
        }
        self.down = set()
        addresses = tuple(
            DaemonAddress(
                instance=name,
                incarnation=f"{name}-1",
                failure_domain="east",
                host=name,
                port=1,
            )
            for name in self.daemons
        )
        for name, daemon in self.daemons.items():
            daemon.peers.peers = tuple(a for a in addresses if a.instance != name)
            daemon.trials.send = self.send

    def send(self, message, receiver):
        if receiver.instance not in self.down:
            data = encode_trial_message(message, secret=SECRET)
            decoded = decode_trial_message(data, secrets=(SECRET,))
            self.daemons[receiver.instance].trials.receive(decoded)
        return True


def fleet(size=4):
    clock = ManualClock()
    daemons = [ready_daemon(name=f"d{n}", clock=clock) for n in range(size)]
    return daemons, Network(daemons)


def begin(daemon, request):
    """Ask for a trial and return whether the request may be sent."""
    asyncio.run(daemon.trials.begin(request))
    return daemon.trials.refuse(request) is None


# Guards against all daemons that try the same suspect at once.
def test_one_request_of_the_fleet_is_tried_at_a_time():
    daemons, _ = fleet()
    for daemon in daemons:
        daemon.crashes.learn_answer((PART,))
    daemons[0].clock.now += 100.0
    for daemon in daemons:
        crash(daemon, PART, "e1:1", "e2:1", "e3:1")
    daemons[0].clock.now += TRIAL_PAUSES_SECONDS[0]
    requests = [request_with(daemon, PART) for daemon in daemons]
    allowed = [begin(d, r) for d, r in zip(daemons, requests, strict=True)]
    assert sum(allowed) == 1
    first = allowed.index(True)
    daemons[first].trials.end(requests[first])
    other = (first + 1) % len(daemons)
    daemons[other].clock.now += 0.1
    assert begin(daemons[other], requests[other])


# Guards against a further trial before daemons have heard that one crashed an endpoint.
def test_a_trial_that_was_sent_is_followed_by_a_pause():
    daemon = ready_daemon()
    suspected(daemon)
    first, second = (request_with(daemon, PART, name) for name in "ab")
    assert begin(daemon, first)
    first.times_sent += 1
    daemon.trials.end(first)
    daemon.clock.now += 0.2
    assert not begin(daemon, second)
    daemon.clock.now += 1.0
    assert begin(daemon, second)


def test_the_next_arbiter_is_asked_when_one_does_not_answer():
    daemons, network = fleet()
    suspected(daemons[0])
    network.down = {"d1", "d2", "d3"}
    assert begin(daemons[0], request_with(daemons[0], PART))


def test_an_answer_ends_the_trials():
    daemon = ready_daemon()
    suspected(daemon)
    assert begin(daemon, request_with(daemon, PART))
    daemon.crashes.learn_answer((PART,))
    assert begin(daemon, request_with(daemon, PART, "b"))
    assert daemon.crashes.trial_suspect((PART,)) is None


# Guards against an answer that speaks for a part which turned bad after it was sent.
def test_an_answer_to_a_request_that_was_sent_before_a_crash_clears_nothing():
    daemon = ready_daemon()
    sent_at = daemon.clock.now
    daemon.clock.now += 1.0
    crash(daemon, PART, "e1:1", "e2:1", "e3:1")
    daemon.crashes.learn_answer((PART,), sent_at=sent_at)
    assert daemon.crashes.crashes(PART) == 3


def test_the_pause_before_a_trial_grows_with_each_one_that_crashed_an_endpoint():
    daemon = ready_daemon()
    suspected(daemon)
    for number, pause in enumerate(TRIAL_PAUSES_SECONDS[1:]):
        assert daemon.crashes.refuse((PART,)) is None
        crash(daemon, PART, f"trial-{number}:1")
        refusal = daemon.crashes.refuse((PART,))
        assert refusal.retry_after_seconds == pytest.approx(pause)
        daemon.clock.now += pause if number < 2 else 0.0


def count_trials_of_a_day(daemon):
    """Try a part as soon as that is allowed, each time crashing an endpoint."""
    trials, until = 0, daemon.clock.now + 86_000.0
    while True:
        refusal = daemon.crashes.refuse((PART,))
        if refusal is not None:
            daemon.clock.now += refusal.retry_after_seconds
        if daemon.clock.now >= until:
            return trials
        crash(daemon, PART, f"trial-{trials}:1")
        trials += 1


# Guards against a part that crashes an endpoint every ten minutes for a whole day.
def test_a_part_that_was_never_answered_is_tried_three_times_a_day():
    daemon = ready_daemon()
    crash(daemon, PART, "e1:1", "e2:1", "e3:1")
    assert count_trials_of_a_day(daemon) == 3


# Guards against trials that a daemon does not count, since it knows a finding only.
def test_a_part_of_which_only_a_finding_is_known_is_tried_as_often_at_most():
    daemon = ready_daemon()
    daemon.crashes.learn_finding(PartFinding(PART, sound=False, age=0.0))
    assert 1 <= count_trials_of_a_day(daemon) <= 3


# Guards against sound requests that are refused while one like them is answered.
def test_a_request_waits_for_the_trial_of_another_one_if_its_suspect_was_sound():
    daemon = ready_daemon()
    suspected(daemon)
    first, second = (request_with(daemon, PART, name) for name in "ab")

    async def scenario():
        await daemon.trials.begin(first)
        waiting = asyncio.ensure_future(daemon.trials.begin(second))
        await asyncio.sleep(0.06)
        assert not waiting.done()
        daemon.crashes.learn_answer((PART,))
        await waiting

    asyncio.run(scenario())
    assert second.trial is None and daemon.trials.refuse(second) is None


# Guards against common parts that are refused since all endpoints ended in a trial.
def test_an_outage_of_several_endpoints_is_no_failed_trial():
    daemon = ready_daemon()
    suspected(daemon)
    for number in range(OUTAGE_ENDPOINTS):
        crash(daemon, f"request-{number}", f"outage-{number}:1")
    crash(daemon, PART, "outage-0:1")
    refusal = daemon.crashes.refuse((PART,))
    assert refusal.retry_after_seconds == pytest.approx(TRIAL_PAUSES_SECONDS[0])


def test_requests_with_two_suspects_are_not_tried_while_one_may_be_tried_apart():
    daemon = ready_daemon()
    daemon.crashes.learn_answer((PART, OTHER_PART))
    daemon.clock.now += 100.0
    crash(daemon, PART, "e1:1", "e2:1", "e3:1")
    crash(daemon, OTHER_PART, "e2:1", "e3:1", "e4:1")
    daemon.clock.now += 2.0
    assert daemon.crashes.refuse((PART, OTHER_PART)) is not None
    assert daemon.crashes.refuse((PART,)) is None
    daemon.clock.now += 4.0
    assert daemon.crashes.refuse((PART, OTHER_PART)) is None


# Guards against a third crash that is forgotten, on a day on which the request is
# repeated.
def test_a_request_that_crashed_three_endpoints_is_refused_for_a_day():
    daemon = ready_daemon()
    crash(daemon, "whole", "e1:1", "e2:1")
    daemon.clock.now += 31.0
    assert daemon.crashes.refuse(("whole",)) is None
    crash(daemon, "whole", "e3:1")
    daemon.clock.now += 80_000.0
    assert daemon.crashes.refuse(("whole",)) is not None
    daemon.clock.now += 10_000.0
    assert daemon.crashes.refuse(("whole",)) is None


# Guards against findings on whole requests that a restart of all daemons loses.
def test_a_daemon_that_starts_after_all_others_ended_refuses_the_request():
    first = ready_daemon()
    crash(first, "whole", "e1:1", "e2:1", "e3:1")
    first.crashes.observed.add("whole")
    first.clock.now += SETTLING_SECONDS
    asyncio.run(first.crash_records.write_changes())
    second = ready_daemon(name="daemon-2", source=first.source, clock=first.clock)
    assert second.crashes.refuse(("whole",)) is not None


# Guards against a cause that is forgotten for the many innocent requests beside it.
def test_suspects_of_one_crash_are_forgotten_before_others():
    daemon = ready_daemon()
    crash(daemon, "whole", "e1:1", "e2:1", "e3:1")
    for number in range(MAXIMUM_SUSPECTS + 10):
        crash(daemon, f"innocent-{number}", "e4:1")
    assert len(daemon.crashes.crash_times) == MAXIMUM_SUSPECTS
    assert daemon.crashes.crashes("whole") == 3
