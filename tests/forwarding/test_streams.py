"""Streams: sizes, events in order, resumption, and ends that can be told apart."""

from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import Prompt
from tests.support.forwarding import Script, cut, head, ready_daemon

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"
THREE = b"id: 3\ndata: c\n\n"


def test_a_confident_small_model_answers_alone():
    daemon = ready_daemon()
    reply = daemon.answer(head(), Script(confidence=90.0))
    assert [call.model for call in daemon.calls.calls] == ["small"]
    assert (reply.body, reply.whole) == (ONE + TWO, True)


def test_a_doubtful_answer_is_replaced_before_a_byte_left():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(),
        Script(confidence=10.0, chunks=(b"id: 1\ndata: poor\n\n",)),
        Script(chunks=(ONE,)),
    )
    assert [call.model for call in daemon.calls.calls] == ["small", "large"]
    assert reply.body == ONE
    assert daemon.calls.exchanges[0].closed


def test_a_middle_size_is_asked_where_it_is_expected_to_settle_enough():
    daemon = ready_daemon(policy=PolicySettings(step_prior=0.9))
    daemon.answer(head(), Script(confidence=10.0))
    assert [call.model for call in daemon.calls.calls] == ["small", "middle"]


def test_a_doubtful_answer_is_kept_when_a_larger_one_would_be_late():
    daemon = ready_daemon()
    daemon.answer(head(), Script(confidence=10.0, seconds=1.99))
    assert [call.model for call in daemon.calls.calls] == ["small"]


def test_a_stream_that_breaks_off_goes_on_elsewhere_after_its_last_event():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(),
        Script(chunks=(ONE, TWO, b"id: 3\nda"), cut_after=3),
        Script(chunks=(THREE,)),
    )
    assert daemon.calls.calls[1].resume_after == "2"
    assert daemon.calls.calls[1].model == "small"
    assert (reply.body, reply.whole) == (ONE + TWO + THREE, True)


def test_events_that_come_again_are_passed_on_once():
    daemon = ready_daemon()
    reply = daemon.answer(
        head(), Script(chunks=(ONE,), cut_after=1), Script(chunks=(ONE, TWO))
    )
    assert reply.body == ONE + TWO


def test_a_stream_that_ends_within_an_event_is_not_whole():
    daemon = ready_daemon()
    half = Script(chunks=(ONE, b"id: 2\nda"))
    reply = daemon.answer(head(), half, half, half, half)
    assert reply.broken
    assert not reply.whole
    assert reply.body == ONE


def test_a_stream_is_broken_off_visibly_when_nobody_can_go_on():
    daemon = ready_daemon()
    broken = Script(chunks=(ONE,), cut_after=1)
    reply = daemon.answer(head(), broken, Script(fault=cut()), Script(fault=cut()))
    assert reply.broken
    assert not reply.whole


def test_a_caller_that_resumes_is_served_from_there():
    daemon = ready_daemon()
    daemon.answer(head(resume_after="7"))
    assert daemon.calls.calls[0].resume_after == "7"


def test_short_prompts_go_before_long_ones_whatever_their_rank():
    """The heaviest days queue long prompts of one kind before short ones of another."""
    daemon = ready_daemon()
    short = Prompt(input_tokens=400, output_tokens=80, parts=())
    long = Prompt(input_tokens=40_000, output_tokens=80, parts=())
    daemon.answer(head(prompt=long, attempt_id="long"))
    daemon.answer(head(prompt=short, attempt_id="short"))
    first, second = (call.urgency for call in daemon.calls.calls)
    assert second < first


def test_escalations_leave_a_reserve_of_the_budget():
    daemon = ready_daemon()
    daemon.budget.daemons = 1000
    for serial in range(30):
        daemon.answer(head(attempt_id=f"a{serial}"), Script(confidence=1.0))
    assert daemon.metrics.value("escalations_skipped") > 0
    assert daemon.budget.left("engines") >= 1.0
