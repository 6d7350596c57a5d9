"""Requests and parts of prompts that crash endpoints, in every kind of trouble.

The check is that of the users' rule: once three endpoints have crashed under a cause,
and daemons had the time to tell each other, at most three more sends of it follow.
"""

import pytest

from linnetladder.forwarding.protocol.daemon_messages import PartFinding
from tests.support.endpoint_fleet import EndpointFleet
from tests.support.forwarding import Script, head, ready_daemon

WHOLE = "poison"


# Guards against a request that is sent on since its crashes are put down to a part that
# was in flight at the same endpoints.
def test_a_request_is_refused_whatever_part_was_in_flight_at_the_same_endpoints():
    daemon = ready_daemon()
    common, session = "p0-0000000000000001", "p1-0000000000000002"
    for endpoint in ("e1:1", "e3:1", "e4:1"):
        daemon.crashes.learn(common, endpoint)
    daemon.crashes.refuse((common,))
    for endpoint in ("e1:1", "e2:1", "e4:1"):
        daemon.crashes.learn(session, endpoint)
    daemon.crashes.learn_finding(PartFinding(session, sound=False, age=0.0))
    daemon.crashes.learn(common, "e5:1")
    for endpoint in ("e2:1", "e3:1", "e4:1", "e5:1"):
        daemon.crashes.learn(WHOLE, endpoint)
    assert daemon.crashes.refuse((WHOLE,)) is not None


# Guards against crashes that count against no request, since the one that caused them
# had just been given up for a larger model.
def test_a_crash_just_after_a_request_was_given_up_counts_against_it():
    daemon = ready_daemon()
    daemon.answer(head(), Script(confidence=5.0))
    given_up = daemon.calls.calls[0]
    daemon.clock.now += 0.05
    daemon.crashes.learn("another", f"{given_up.instance}:1")
    assert daemon.crashes.crashes(given_up.request.fingerprint) == 1


# Guards against crashes that are forgotten while the request still comes.
@pytest.mark.parametrize("seed", [2, 3])
def test_a_request_that_crashes_endpoints_stays_refused(seed):
    fleet = EndpointFleet(daemons=6, endpoints=5, restart_seconds=1.2, seed=seed)
    fleet.run(
        seconds=76.0,
        per_second=15.0,
        events=(
            (5.0, lambda: fleet.repeat_crashing(WHOLE, "s", per_second=3, seconds=69)),
        ),
    )
    assert fleet.late_runs(WHOLE) == []
    assert fleet.served_ratio(before=5.0) > 0.95


# Guards against a part that goes on to crash endpoints since it was answered until now.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_part_that_was_answered_until_now_is_refused_in_time(seed):
    fleet = EndpointFleet(daemons=6, endpoints=5, restart_seconds=1.2, seed=seed)
    fleet.run(
        seconds=30.0,
        per_second=15.0,
        events=(
            (
                2.0,
                lambda: fleet.send_until_bad(
                    "bad", per_second=8.0, seconds=26.0, bad_after=10.0
                ),
            ),
        ),
    )
    assert fleet.crash_violations() == []
    assert fleet.served_ratio(before=12.0) > 0.8


# Guards against requests that share a part with others and are refused with them.
def test_endpoints_that_end_for_another_reason_make_no_part_refused_for_long():
    fleet = EndpointFleet(daemons=6, endpoints=5, restart_seconds=1.2)
    fleet.run(
        seconds=25.0,
        per_second=15.0,
        events=[(5.0 + 3.0 * number, fleet.end_all_endpoints) for number in range(4)],
    )
    late = [sound.served for sound in fleet.sound if sound.sent_at > 20.0]
    assert sum(late) / len(late) > 0.95
