"""Streams: escalation, order of events, resumption, and incomplete streams."""

from linnetladder.forwarding.state import Prompt
from tests.support.forwarding import Script, cut, head, ready_daemon

FIRST_EVENT = b"id: 1\ndata: a\n\n"
SECOND_EVENT = b"id: 2\ndata: b\n\n"
THIRD_EVENT = b"id: 3\ndata: c\n\n"


def test_a_confident_response_of_the_smallest_model_is_kept():
    daemon = ready_daemon()
    reply = daemon.answer(head(), Script(confidence=90.0))
    assert [call.model for call in daemon.calls.calls] == ["small"]
    assert (reply.body, reply.complete) == (FIRST_EVENT + SECOND_EVENT, True)


def test_a_low_confidence_response_is_replaced_before_any_byte_is_sent():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(),
        Script(confidence=10.0, chunks=(b"id: 1\ndata: poor\n\n",)),
        Script(chunks=(FIRST_EVENT,)),
    )
    assert [call.model for call in daemon.calls.calls] == ["small", "large"]
    assert reply.body == FIRST_EVENT
    assert daemon.calls.exchanges[0].closed


def test_a_low_confidence_response_is_kept_when_a_larger_model_would_be_late():
    daemon = ready_daemon()
    daemon.answer(head(), Script(confidence=10.0, seconds=1.99))
    assert [call.model for call in daemon.calls.calls] == ["small"]


def test_a_broken_stream_resumes_at_another_endpoint_after_its_last_event():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(),
        Script(chunks=(FIRST_EVENT, SECOND_EVENT, b"id: 3\nda"), cut_after=3),
        Script(chunks=(THIRD_EVENT,)),
    )
    assert daemon.calls.calls[1].resume_after == "2"
    assert daemon.calls.calls[1].model == "small"
    assert (reply.body, reply.complete) == (
        FIRST_EVENT + SECOND_EVENT + THIRD_EVENT,
        True,
    )


def test_repeated_events_are_relayed_once():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(),
        Script(chunks=(FIRST_EVENT,), cut_after=1),
        Script(chunks=(FIRST_EVENT, SECOND_EVENT)),
    )
    assert reply.body == FIRST_EVENT + SECOND_EVENT


def test_a_stream_that_ends_within_an_event_is_incomplete():
    daemon = ready_daemon()
    truncated_response = Script(chunks=(FIRST_EVENT, b"id: 2\nda"))
    reply = daemon.answer(
        head(),
        truncated_response,
        truncated_response,
        truncated_response,
        truncated_response,
    )
    assert reply.broken
    assert not reply.complete
    assert reply.body == FIRST_EVENT


def test_a_stream_that_no_endpoint_can_resume_is_aborted():
    daemon = ready_daemon()
    broken = Script(chunks=(FIRST_EVENT,), cut_after=1)
    reply = daemon.answer(head(), broken, Script(fault=cut()), Script(fault=cut()))
    assert reply.broken
    assert not reply.complete


def test_a_resumed_request_passes_the_callers_last_event_id_on():
    daemon = ready_daemon()
    daemon.answer(head(resume_after="7"))
    assert daemon.calls.calls[0].resume_after == "7"


def test_short_prompts_are_more_urgent_than_long_ones():
    """A long prompt must not delay the short prompts that arrive after it.

    On the days with the most traffic, long prompts of one kind queue ahead of short
    ones of another.
    """
    daemon = ready_daemon()
    short = Prompt(input_tokens=400, output_tokens=80, parts=())
    long = Prompt(input_tokens=40_000, output_tokens=80, parts=())
    daemon.answer(head(prompt=long, attempt_id="long"))
    daemon.answer(head(prompt=short, attempt_id="short"))
    first, second = (call.urgency for call in daemon.calls.calls)
    assert second < first


def test_escalations_leave_a_reserve_of_the_retry_budget():
    daemon = ready_daemon()
    daemon.budget.daemons = 1000
    for serial in range(30):
        daemon.answer(head(attempt_id=f"a{serial}"), Script(confidence=1.0))
    assert daemon.metrics.value("escalations_skipped") > 0
    assert daemon.budget.available("engines") >= 1.0
