"""What is sent again, where, and what its caller is told."""

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination import reporting
from linnetladder.forwarding.coordination.calls import CallFaultKind
from tests.support.forwarding import Script, broken, head, ready_daemon

FAILED = Script(status=500, chunks=(b"failed",))


def test_an_idempotent_request_that_broke_off_goes_to_another_endpoint():
    daemon = ready_daemon()
    reply = daemon.answer(head("/fetch/1"), Script(fault=broken()))
    assert reply.status == 200
    first, second = (call.instance for call in daemon.calls.calls)
    assert first != second


def test_an_idempotent_request_that_failed_is_sent_once_more_and_then_passed_on():
    daemon = ready_daemon()
    reply = daemon.answer(head("/fetch/1"), FAILED, FAILED)
    assert (reply.status, reply.body) == (500, b"failed")
    assert len(daemon.calls.calls) == 2


def test_an_endpoints_failure_is_passed_on_when_no_other_attempt_succeeds():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    refused = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))
    reply = daemon.answer(head("/fetch/1"), FAILED, refused, refused, refused)
    assert (reply.status, reply.body) == (500, b"failed")


@pytest.mark.parametrize("kind", [CallFaultKind.BROKEN, CallFaultKind.INVALID])
def test_a_request_that_may_have_run_is_never_sent_twice(kind):
    daemon = ready_daemon()
    reply = daemon.answer(head("/save/1"), Script(fault=broken(kind=kind)))
    assert len(daemon.calls.calls) == 1
    assert reply.refusal.kind is ErrorKind.ENDPOINT_FAILED
    assert reply.refusal.ran is Ran.UNKNOWN
    assert reply.status not in (408, 421, 429, 503)


def test_a_request_of_which_nothing_was_sent_goes_elsewhere():
    daemon = ready_daemon()
    refused = broken(kind=CallFaultKind.CONNECT, ran=False)
    reply = daemon.answer(head("/save/1"), Script(fault=refused))
    assert reply.status == 200
    assert len(daemon.calls.calls) == 2


def test_a_request_that_an_endpoint_did_not_run_goes_elsewhere():
    daemon = ready_daemon()
    reply = daemon.answer(head("/save/1"), Script(status=503, not_run=True))
    assert reply.status == 200
    assert len(daemon.calls.calls) == 2


def test_an_address_that_was_taken_over_is_not_used_again():
    daemon = ready_daemon()
    daemon.answer(head("/save/1"), Script(status=421, misdirected=True))
    wrong = daemon.calls.calls[0].instance
    assert daemon.table.endpoints[wrong].leaving


def test_no_endpoint_is_a_true_refusal_with_a_time_to_come_back():
    daemon = ready_daemon()
    for name in ("desk-1", "desk-2"):
        del daemon.source.endpoints[name]
    assert daemon.read()
    reply = daemon.answer(head("/save/1"))
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert reply.refusal.retry_after_seconds


def test_all_endpoints_that_did_not_run_it_make_a_true_refusal():
    daemon = ready_daemon()
    shed = Script(status=503, not_run=True)
    reply = daemon.answer(head("/save/1"), shed, shed, shed, shed)
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)


def test_repeats_stop_when_the_shared_budget_is_spent():
    daemon = ready_daemon()
    daemon.budget.daemons = 1000
    sent = 0
    for serial in range(40):
        daemon.answer(head("/fetch/1", attempt_id=f"a{serial}"), FAILED, FAILED)
        sent = len(daemon.calls.calls)
    assert sent - 40 <= 0.9 * 40
    daemon.clock.now += 30
    assert daemon.budget.left("desk") < 1


def test_a_request_that_crashed_two_endpoints_is_sent_nowhere():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    crash = Script(fault=broken())
    daemon.answer(head("/fetch/1"), crash, crash)
    sent = len(daemon.calls.calls)
    again = daemon.answer(head("/fetch/1", attempt_id="a2"))
    assert again.refusal.kind is ErrorKind.SUSPECTED_POISON
    assert (again.status, again.refusal.ran) == (503, Ran.NO)
    assert len(daemon.calls.calls) == sent


def test_a_lost_answer_of_a_living_endpoint_is_no_crash():
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1"), Script(fault=broken()), Script(fault=broken()))
    assert daemon.answer(head("/fetch/1", attempt_id="a2")).status == 200


def test_a_bill_is_kept_for_what_ran_and_for_nothing_else():
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1", attempt_id="ran"))
    daemon.answer(head("/save/1", attempt_id="lost"), Script(fault=broken()))
    daemon.answer(head("/fetch/1", attempt_id="refused", key="other"))
    assert sorted(daemon.bills.open) == ["lost", "ran"]


def test_a_request_that_crashed_its_endpoints_is_not_said_not_to_have_run():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    crash = Script(fault=broken())
    reply = daemon.answer(head("/draft/1"), crash, crash, crash)
    assert reply.refusal.ran is Ran.UNKNOWN
    assert reply.status not in (408, 421, 429, 503)


def test_a_request_that_ran_out_of_time_names_the_endpoint_that_had_it(monkeypatch):
    """Ten failed requests drawn from a day: seven had no attempt in their line."""
    lines = []
    monkeypatch.setattr(
        reporting, "log_request", lambda event, **fields: lines.append(fields)
    )
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1"), Script(fault=TimeoutError(), seconds=0.4))
    (line,) = lines
    asked = daemon.calls.calls[0].instance
    assert line["attempts"] == [f"{asked}/=unanswered@0.400"]
    assert line["ran"]
    assert line["kind"] == "deadline_exceeded"
