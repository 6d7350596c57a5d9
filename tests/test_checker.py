"""The checker detects each kind of violation and accepts a valid history."""

import pytest

from proof import History, Rules, check_history
from proof.history import (
    Answered,
    Billed,
    ConfigurationAccepted,
    Crashed,
    Disconnected,
    InForce,
    Leaving,
    Partitioned,
    Ran,
    Refused,
    Restarted,
    Stopped,
    Submitted,
    Withdrawn,
)

RULES = Rules(allowed={"studio": frozenset({"small@1", "small@2"})})


def submitted(key: str, *, submission: str = "", time: float = 1.0, **fields):
    return Submitted(
        time=time,
        submission=submission or f"{key}/1",
        key=key,
        account="studio",
        daemon=fields.pop("daemon", "d1"),
        idempotent=fields.pop("idempotent", True),
        **fields,
    )


def answered(submission: str, *, version: str = "small@1", is_correct: bool = True):
    return Answered(
        time=3.0, submission=submission, version=version, is_correct=is_correct
    )


def ran(key: str, *, time: float = 2.0, version: str = "small@1", endpoint="e1"):
    return Ran(time=time, key=key, endpoint=endpoint, version=version, daemon="d1")


def valid_history() -> History:
    return History(
        events=[
            submitted("a", session="s"),
            ran("a"),
            answered("a/1"),
            submitted("b", idempotent=False),
            Refused(time=1.5, submission="b/1", kind="overloaded", ran="no"),
            submitted("c", daemon="d2"),
            Disconnected(time=5.0, submission="c/1"),
            Stopped(time=4.0, daemon="d2", graceful=False),
            InForce(time=1.0, daemon="d1", incarnation="i", revision=1),
        ],
        bills=[Billed(account="studio", key="a")],
    )


def test_valid_history_has_no_violation():
    assert check_history(valid_history(), RULES) == []


VIOLATING_EVENTS = {
    "allowed version": [ran("a", version="large@1")],
    "withdrawn version": [
        Withdrawn(time=10.0, version="small@1"),
        ran("a", time=18.0),
    ],
    "session keeps version": [
        submitted("d", session="s"),
        ran("d", version="small@2"),
        answered("d/1", version="small@2"),
    ],
    "whole own answer": [submitted("d"), ran("d"), answered("d/1", is_correct=False)],
    "not run is true": [
        submitted("d"),
        ran("d"),
        Refused(time=3.0, submission="d/1", kind="overloaded", ran="no"),
    ],
    "at most once": [ran("b"), ran("b", time=2.5)],
    "leaving endpoint": [Leaving(time=10.0, endpoint="e1"), ran("a", time=14.0)],
    "graceful shutdown": [
        submitted("d", daemon="d3"),
        Stopped(time=2.0, daemon="d3", graceful=True),
        Disconnected(time=3.0, submission="d/1"),
    ],
    "in force, never reverts": [
        InForce(time=2.0, daemon="d1", incarnation="i", revision=3),
        InForce(time=3.0, daemon="d1", incarnation="i", revision=2),
    ],
    "two crashes at most": [
        Crashed(time=float(n), endpoint=f"e{n}", key="a") for n in range(3)
    ],
}


@pytest.mark.parametrize("guarantee", VIOLATING_EVENTS)
def test_each_violation_is_detected(guarantee):
    history = valid_history()
    history.events.extend(VIOLATING_EVENTS[guarantee])
    assert guarantee in {v.guarantee for v in check_history(history, RULES)}


@pytest.mark.parametrize(
    "bills",
    [
        [],
        [Billed(account="studio", key="a")] * 2,
        [Billed(account="studio", key="a"), Billed(account="studio", key="b")],
        [Billed(account="studio", key="a"), Billed(account="studio", key="z")],
    ],
)
def test_missing_duplicate_wrong_and_unknown_bills_are_detected(bills):
    history = valid_history()
    history.bills = list(bills)
    assert {v.guarantee for v in check_history(history, RULES)} == {
        "billed exactly once"
    }


def test_restart_of_an_endpoint_ends_its_leaving():
    """Found by fuzzing: work for a new incarnation counted as work for the old one."""
    history = valid_history()
    history.events += [
        Leaving(time=10.0, endpoint="e1"),
        Restarted(time=12.0, endpoint="e1"),
        ran("a", time=14.0),
    ]
    assert check_history(history, RULES) == check_history(
        with_events(ran("a", time=14.0)), RULES
    )
    history.events += [Leaving(time=20.0, endpoint="e1"), ran("a", time=24.0)]
    assert "leaving endpoint" in {v.guarantee for v in check_history(history, RULES)}


def with_events(*events):
    """Return a valid history with further events."""
    history = valid_history()
    history.events.extend(events)
    return history


def test_two_outcomes_of_one_submission_are_detected():
    history = valid_history()
    history.events.append(Disconnected(time=9.0, submission="a/1"))
    assert "whole own answer" in {v.guarantee for v in check_history(history, RULES)}


def test_late_configuration_is_detected_unless_the_daemon_was_partitioned():
    history = valid_history()
    history.events.extend(
        [
            ConfigurationAccepted(time=10.0, revision=2),
            InForce(time=20.0, daemon="d1", incarnation="i", revision=1),
        ]
    )
    guarantees = {v.guarantee for v in check_history(history, RULES)}
    assert guarantees == {"in force, never reverts"}
    history.events.append(Partitioned(time=9.0, until=15.0, daemon="d1"))
    assert check_history(history, RULES) == []


def test_kill_before_a_graceful_shutdown_is_not_counted_as_graceful():
    history = valid_history()
    history.events.append(Stopped(time=4.0, daemon="d2", graceful=True))
    assert check_history(history, RULES) == []
