"""The pace of streams: a slow version is told from stalls that are everybody's."""

import itertools
import random

import pytest

from linnetladder.forwarding.coordination.outcomes import (
    Outcomes,
    Row,
    evidence_of_slowness,
)
from linnetladder.forwarding.coordination.pace import PaceMeter
from linnetladder.forwarding.coordination.rollouts import BAD_EVIDENCE
from tests.support.forwarding import ManualClock

# Seconds between events of a healthy endpoint, and while it reads another's prompt.
GAP = 0.022
STALL = 0.28
STALL_SHARE = 0.3


def stream(draw, *, slower=1.0, events=8):
    """Return the moments of a stream's events on a busy endpoint."""
    gaps = [
        STALL * draw.uniform(0.6, 1.2)
        if draw.random() < STALL_SHARE
        else GAP * slower * draw.uniform(0.9, 1.2)
        for _ in range(events)
    ]
    return list(itertools.accumulate(gaps))


def pace_of(moments):
    meter = PaceMeter()
    for moment in moments:
        pace = meter.note(moment, 1)
        if pace is not None:
            return pace
    return meter.finish()


def test_one_stall_says_nothing_of_the_pace():
    assert pace_of([1.0, 1.02, 1.32, 1.34]) == pytest.approx(0.02)


def test_events_that_come_together_count_for_the_time_before_them():
    meter = PaceMeter()
    assert meter.note(1.0, 1) is None
    assert meter.note(1.3, 3) == pytest.approx(0.1)


def test_a_short_answer_is_judged_at_its_end_and_a_shorter_one_not_at_all():
    meter = PaceMeter()
    for moment in (1.0, 1.1, 1.5):
        assert meter.note(moment, 1) is None
    assert meter.finish() == pytest.approx(0.1)
    assert meter.finish() is None
    assert pace_of([1.0, 1.1]) is None


def test_a_stream_is_measured_once():
    meter = PaceMeter()
    seen = [meter.note(1.0 + 0.1 * serial, 1) for serial in range(9)]
    assert len([pace for pace in seen if pace is not None]) == 1


@pytest.mark.parametrize("seed", range(20))
def test_few_answers_show_a_slow_version_among_stalls(seed):
    """A canary of eight answers, four to five times slower between its events."""
    draw = random.Random(seed)
    outcomes = Outcomes(clock=ManualClock())
    baseline, candidate = Row(), Row()
    for serial in range(100):
        slower = 4.5 if serial % 12 == 11 else 1.0
        row = candidate if slower > 1 else baseline
        pace = pace_of(stream(draw, slower=slower))
        lateness = outcomes.lateness("draft", "small", pace, learn=slower == 1.0)
        if lateness is None:
            continue
        row.timed += 1
        row.lateness += lateness
        row.lateness_squared += lateness * lateness
        row.slow += lateness >= 0.92
    assert candidate.timed == 8
    assert evidence_of_slowness(candidate, baseline) >= BAD_EVIDENCE
