"""Retries: which requests, at which endpoints, and what is reported to the caller."""

import asyncio

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination import reporting
from linnetladder.forwarding.coordination.calls import CallFaultKind
from tests.support.forwarding import (
    MODELS,
    RecordedReply,
    Script,
    broken,
    head,
    ready_daemon,
)

SERVER_ERROR = Script(status=500, chunks=(b"failed",))


def test_an_idempotent_request_is_retried_elsewhere_after_a_broken_connection():
    daemon = ready_daemon()
    reply = daemon.answer(head("/fetch/1"), Script(fault=broken()))
    assert reply.status == 200
    first, second = (call.instance for call in daemon.calls.calls)
    assert first != second


def test_an_idempotent_request_is_retried_once_after_a_server_error():
    daemon = ready_daemon()
    reply = daemon.answer(head("/fetch/1"), SERVER_ERROR, SERVER_ERROR)
    assert (reply.status, reply.body) == (500, b"failed")
    assert len(daemon.calls.calls) == 2


def test_a_server_error_is_relayed_when_no_retry_succeeds():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    refused = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))
    reply = daemon.answer(head("/fetch/1"), SERVER_ERROR, refused, refused, refused)
    assert (reply.status, reply.body) == (500, b"failed")


@pytest.mark.parametrize("kind", [CallFaultKind.BROKEN, CallFaultKind.INVALID])
def test_a_request_that_may_have_run_is_never_sent_twice(kind):
    daemon = ready_daemon()
    reply = daemon.answer(head("/save/1"), Script(fault=broken(kind=kind)))
    assert len(daemon.calls.calls) == 1
    assert reply.refusal.kind is ErrorKind.ENDPOINT_FAILED
    assert reply.refusal.ran is Ran.UNKNOWN
    assert reply.status not in (408, 421, 429, 503)


def test_a_request_is_retried_when_the_connection_was_refused():
    daemon = ready_daemon()
    refused = broken(kind=CallFaultKind.CONNECT, ran=False)
    reply = daemon.answer(head("/save/1"), Script(fault=refused))
    assert reply.status == 200
    assert len(daemon.calls.calls) == 2


def test_a_request_is_retried_when_the_endpoint_did_not_run_it():
    daemon = ready_daemon()
    reply = daemon.answer(head("/save/1"), Script(status=503, not_run=True))
    assert reply.status == 200
    assert len(daemon.calls.calls) == 2


def test_an_endpoint_whose_address_was_taken_over_is_not_used_again():
    daemon = ready_daemon()
    daemon.answer(head("/save/1"), Script(status=421, misdirected=True))
    misdirected_endpoint = daemon.calls.calls[0].instance
    assert daemon.table.endpoints[misdirected_endpoint].leaving


# Guards against a request that takes all endpoints of a service out of use.
@pytest.mark.parametrize("model", ["m7", ""])
def test_a_model_that_the_route_does_not_offer_is_refused_before_any_endpoint(model):
    daemon = ready_daemon()
    reply = daemon.answer(head("/draft/1", model=model))
    assert (reply.refusal.kind, reply.refusal.ran) == ("model_not_offered", "no")
    assert all(name in reply.refusal.detail for name in ("*", *MODELS))
    assert daemon.calls.calls == []


# Guards against an answer on what one request asks for that speaks for its endpoint.
@pytest.mark.parametrize(
    ("names_itself", "model", "leaves"),
    [(True, "*", False), (True, "small", False), (None, "small", False)]
    + [(False, "*", True), (False, "small", True), (None, "*", True)],
)
def test_an_endpoint_leaves_only_if_the_answer_shows_another_instance(
    names_itself, model, leaves
):
    daemon = ready_daemon()
    script = Script(status=421, misdirected=True)
    daemon.calls.scripts = [script]

    async def scenario():
        original = daemon.calls.open

        async def open_call(call):
            if names_itself is not None:
                script.answered_by = call.instance if names_itself else "another"
            return await original(call)

        daemon.calls.open = open_call
        await daemon.forwarder.answer(
            head("/draft/1", model=model),
            b"x",
            received=daemon.clock.now,
            reply=RecordedReply(),
        )

    asyncio.run(scenario())
    first = daemon.table.endpoints[daemon.calls.calls[0].instance]
    assert first.leaving is leaves


def test_a_service_without_endpoints_is_refused_as_not_run_with_a_retry_time():
    daemon = ready_daemon()
    for name in ("desk-1", "desk-2"):
        del daemon.source.endpoints[name]
    assert daemon.read()
    reply = daemon.answer(head("/save/1"))
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert reply.refusal.retry_after_seconds


def test_a_request_that_no_endpoint_ran_is_refused_as_not_run():
    daemon = ready_daemon()
    shed_response = Script(status=503, not_run=True)
    reply = daemon.answer(
        head("/save/1"), shed_response, shed_response, shed_response, shed_response
    )
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)


def test_retries_stop_when_the_shared_budget_is_spent():
    daemon = ready_daemon()
    daemon.budget.daemons = 1000
    calls_sent = 0
    for serial in range(40):
        daemon.answer(
            head("/fetch/1", attempt_id=f"a{serial}"), SERVER_ERROR, SERVER_ERROR
        )
        calls_sent = len(daemon.calls.calls)
    assert calls_sent - 40 <= 0.9 * 40
    daemon.clock.now += 30
    assert daemon.budget.available("desk") < 1


def test_a_request_that_crashed_two_endpoints_is_not_sent_again():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    crash_fault = Script(fault=broken())
    daemon.answer(head("/fetch/1"), crash_fault, crash_fault)
    calls_sent = len(daemon.calls.calls)
    again = daemon.answer(head("/fetch/1", attempt_id="a2"))
    assert again.refusal.kind is ErrorKind.SUSPECTED_POISON
    assert (again.status, again.refusal.ran) == (503, Ran.NO)
    assert len(daemon.calls.calls) == calls_sent


# Guards against a third endpoint for a stream that crashed two after its head.
def test_a_stream_that_crashed_two_endpoints_after_its_head_is_not_sent_again():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    daemon.answer(head("/draft/1"), *[Script(cut_after=0)] * 3)
    assert len(daemon.calls.calls) == 2


def test_a_lost_response_of_a_reachable_endpoint_is_not_a_crash():
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1"), Script(fault=broken()), Script(fault=broken()))
    assert daemon.answer(head("/fetch/1", attempt_id="a2")).status == 200


def test_only_requests_that_may_have_run_are_billed():
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1", attempt_id="ran"))
    daemon.answer(head("/save/1", attempt_id="lost"), Script(fault=broken()))
    daemon.answer(head("/fetch/1", attempt_id="refused", key="other"))
    assert sorted(daemon.bills.open_bills) == ["lost", "ran"]


def test_a_request_that_crashed_its_endpoints_is_reported_as_possibly_run():
    daemon = ready_daemon()
    daemon.calls.reachable = False
    crash_fault = Script(fault=broken())
    reply = daemon.answer(head("/draft/1"), crash_fault, crash_fault, crash_fault)
    assert reply.refusal.ran is Ran.UNKNOWN
    assert reply.status not in (408, 421, 429, 503)


def test_a_timed_out_request_logs_the_endpoint_that_did_not_respond(monkeypatch):
    """The attempt that was in flight at the deadline has to be in the log line.

    Of ten failed requests sampled from one day, seven had no attempt in their line.
    """
    lines = []
    monkeypatch.setattr(
        reporting, "log_request", lambda event, **fields: lines.append(fields)
    )
    daemon = ready_daemon()
    daemon.answer(head("/fetch/1"), Script(fault=TimeoutError(), seconds=0.4))
    (line,) = lines
    endpoint_name = daemon.calls.calls[0].instance
    assert line["attempts"] == [f"{endpoint_name}/=unanswered@0.400"]
    assert line["ran"]
    assert line["kind"] == "deadline_exceeded"


def test_the_log_tells_the_shared_parts_and_how_far_each_broken_stream_came(
    monkeypatch,
):
    """Without them a line does not say what requests that crash endpoints share."""
    lines = []
    monkeypatch.setattr(
        reporting, "log_request", lambda event, **fields: lines.append(fields)
    )
    daemon = ready_daemon()
    daemon.answer(head("/draft/1", session="s7"), Script(cut_after=1))
    (line,) = lines
    assert line["parts"] == ["s7"]
    assert "events=1" in line["attempts"]
