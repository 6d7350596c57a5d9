"""Pace of streams: a slow version is distinguished from stalls at every endpoint."""

import itertools
import random

import pytest

from linnetladder.forwarding.coordination.outcomes import (
    OutcomeCounts,
    Outcomes,
    slowness_evidence,
)
from linnetladder.forwarding.coordination.pace import PaceMeter
from linnetladder.forwarding.coordination.rollouts import ROLLBACK_EVIDENCE
from tests.support.forwarding import ManualClock

# Time between events of a healthy endpoint, and while it prefills another prompt.
EVENT_GAP_SECONDS = 0.022
STALL_SECONDS = 0.28
STALL_SHARE = 0.3


def event_times_of_stream(rng, *, slowdown=1.0, events=8):
    """Return the arrival times of a stream's events from a busy endpoint."""
    gaps = [
        STALL_SECONDS * rng.uniform(0.6, 1.2)
        if rng.random() < STALL_SHARE
        else EVENT_GAP_SECONDS * slowdown * rng.uniform(0.9, 1.2)
        for _ in range(events)
    ]
    return list(itertools.accumulate(gaps))


def pace_of(event_times):
    meter = PaceMeter()
    for event_time in event_times:
        pace = meter.add_events(event_time, 1)
        if pace is not None:
            return pace
    return meter.finish()


def test_a_single_stall_does_not_change_the_pace():
    assert pace_of([1.0, 1.02, 1.32, 1.34]) == pytest.approx(0.02)


def test_events_that_arrive_together_share_the_preceding_gap():
    meter = PaceMeter()
    assert meter.add_events(1.0, 1) is None
    assert meter.add_events(1.3, 3) == pytest.approx(0.1)


def test_a_short_stream_is_measured_at_its_end_unless_it_has_a_single_gap():
    meter = PaceMeter()
    for event_time in (1.0, 1.1, 1.5):
        assert meter.add_events(event_time, 1) is None
    assert meter.finish() == pytest.approx(0.1)
    assert meter.finish() is None
    assert pace_of([1.0, 1.1]) is None


def test_a_stream_is_measured_once():
    meter = PaceMeter()
    paces = [meter.add_events(1.0 + 0.1 * serial, 1) for serial in range(9)]
    assert len([pace for pace in paces if pace is not None]) == 1


@pytest.mark.parametrize("seed", range(20))
def test_a_slow_version_is_detected_from_eight_streams_despite_stalls(seed):
    """Eight canary streams are enough to detect a version that is 4.5 times slower.

    Stalls while other prompts are prefilled hit both versions and must not hide it.
    """
    rng = random.Random(seed)
    outcomes = Outcomes(clock=ManualClock())
    baseline, candidate = OutcomeCounts(), OutcomeCounts()
    for serial in range(100):
        slowdown = 4.5 if serial % 12 == 11 else 1.0
        row = candidate if slowdown > 1 else baseline
        pace = pace_of(event_times_of_stream(rng, slowdown=slowdown))
        log_slowdown = outcomes.log_slowdown(
            "draft", "small", pace, learn=slowdown == 1.0
        )
        if log_slowdown is None:
            continue
        row.timed += 1
        row.log_slowdown += log_slowdown
        row.log_slowdown_squared += log_slowdown * log_slowdown
        row.slow += log_slowdown >= 0.92
    assert candidate.timed == 8
    assert slowness_evidence(candidate, baseline) >= ROLLBACK_EVIDENCE
