"""Requests that can't be served by their deadline are refused on arrival."""

import collections
import logging

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.room import ServiceTimes
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from tests.support.forwarding import head, ready_daemon


def loaded_daemon(*, in_flight, held=1.0):
    """Return a daemon whose desks of 8 slots have requests of peers in flight."""
    daemon = ready_daemon()
    daemon.loads.daemons = 2
    daemon.peers.room.times["desk"] = ServiceTimes(held=held, answers=20)
    for name, number in in_flight.items():
        daemon.loads.learn("daemon-2", {n: (c, 0.0) for n, c in in_flight.items()})
        assert daemon.loads.in_flight_of(daemon.table.endpoints[name]) == number
    return daemon


def refuse(daemon, **changes):
    """Return the refusal of a plain request with 6 s left, or ``None``."""
    return daemon.answer(head("/fetch/1", **changes)).refusal


def test_refusal_on_arrival_is_not_run_and_says_when_to_return():
    """Guards against callers that can't tell whether to send again, and when."""
    daemon = loaded_daemon(in_flight={"desk-1": 100, "desk-2": 100})
    refusals = [refuse(daemon, attempt_id=f"a{number}") for number in range(16)]
    assert daemon.calls.calls == []
    assert {refusal.kind for refusal in refusals} == {ErrorKind.DEADLINE_UNREACHABLE}
    assert {refusal.ran for refusal in refusals} == {Ran.NO}
    seconds = sorted(refusal.retry_after_seconds for refusal in refusals)
    assert seconds[0] >= 0.25
    assert seconds[-1] - seconds[0] > 5.0
    assert max(b - a for a, b in zip(seconds, seconds[1:], strict=False)) < 6.0
    assert daemon.metrics.value("shed", label="deadline") == 16


@pytest.mark.parametrize(
    "in_flight",
    [
        {"desk-1": 7, "desk-2": 500},
        {"desk-1": 8 + 20, "desk-2": 500},
    ],
)
def test_one_endpoint_that_serves_in_time_is_enough(in_flight):
    """Guards against refusals by a mean over endpoints."""
    assert refuse(loaded_daemon(in_flight=in_flight)) is None


def test_little_or_late_knowledge_admits():
    """Guards against refusals by loads of which nothing recent is known."""
    busy = {"desk-1": 100, "desk-2": 100}
    assert refuse(loaded_daemon(in_flight=busy)) is not None
    late = loaded_daemon(in_flight=busy)
    late.clock.now += 3.1
    late.in_force.confirm(late.clock.now)
    assert refuse(late) is None
    alone = loaded_daemon(in_flight=busy)
    alone.loads.daemons = 30
    assert refuse(alone) is None
    new = loaded_daemon(in_flight=busy)
    new.peers.room.times.clear()
    assert refuse(new) is None


def test_shedding_is_logged_when_it_begins_and_ends(caplog):
    """Guards against a line for each refused request."""
    caplog.set_level(logging.INFO, logger="linnetladder")
    daemon = loaded_daemon(in_flight={"desk-1": 100, "desk-2": 100})
    for number in range(3):
        assert refuse(daemon, attempt_id=f"a{number}")
    assert b"linnetladder_expected_wait_seconds 11.6" in daemon.metrics.text()
    daemon.clock.now += 2.5
    daemon.loads.learn("daemon-2", {})
    assert refuse(daemon) is None
    lines = [record for record in caplog.records if "shedding" in record.message]
    assert [line.message for line in lines] == ["shedding begins", "shedding ends"]
    assert lines[0].service == "desk"
    assert lines[1].refused == 3


def test_demand_that_peers_report_is_shared_near_the_limit():
    """Guards against daemons that all admit, and then all refuse, by old reports."""
    daemon = loaded_daemon(in_flight={"desk-1": 40, "desk-2": 40})
    rows = [("desk", 160.0, 0.0, 1.0)]
    daemon.peers.demand.learn("daemon-2", rows, sent_at=daemon.clock.unix())
    refusals = [refuse(daemon, attempt_id=f"a{number}") for number in range(100)]
    assert 20 < sum(refusal is not None for refusal in refusals) < 90


def test_demand_is_reported_while_endpoints_are_full():
    """Guards against peers that don't learn how much callers send."""
    daemon = loaded_daemon(in_flight={"desk-1": 20, "desk-2": 20})
    refuse(daemon)
    message = daemon.peers.build()
    ((service, others, urgent, held),) = message.report.demand
    assert (service, urgent, held) == ("desk", 0.0, 1.0)
    assert others > 0
    datagram = encode_message(message, secret=b"secret")
    decoded = decode_message(datagram, secret=b"secret").report
    assert decoded.demand[0][1:] == pytest.approx((others, urgent, held), abs=0.01)
    assert decoded.sent_at == pytest.approx(daemon.clock.unix(), abs=0.01)
    idle = loaded_daemon(in_flight={"desk-1": 20, "desk-2": 2})
    refuse(idle)
    assert idle.peers.build().report.demand == []


def test_full_endpoints_get_equal_parts_of_each_daemon():
    """Guards against daemons that all send to the endpoint whose queue was shortest."""
    daemon = loaded_daemon(in_flight={"desk-1": 20, "desk-2": 30})
    chosen = collections.Counter()
    for number in range(10):
        request = daemon.forwarder.admission.admit(
            head("/fetch/1", attempt_id=f"a{number}"),
            b"",
            received=daemon.clock.monotonic(),
        ).unwrap()
        endpoint = daemon.selection.choose(daemon.sender.selection_inputs(request, ""))
        daemon.sender.begin_load(request, endpoint, "")
        chosen[endpoint.name] += 1
    assert chosen == {"desk-1": 5, "desk-2": 5}
