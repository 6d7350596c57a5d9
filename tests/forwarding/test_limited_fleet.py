"""Endpoints get no more requests than the limit that they name for all daemons."""

import pytest

from linnetladder.errors import ErrorKind, Ran
from tests.support.limited_fleet import LimitedFleet

OBJECTIVE_SECONDS = 2.0


def test_six_daemons_together_keep_the_limits_of_two_of_five_endpoints():
    """Guards against endpoints that get more requests than the limit they named."""
    fleet = LimitedFleet(daemons=6, endpoints=5)
    fleet.run(
        seconds=20.0,
        per_second=25.0,
        events=(
            (2.0, lambda: fleet.name_limit("engine-1", 1.3)),
            (2.0, lambda: fleet.name_limit("engine-2", 1.0)),
        ),
    )
    assert fleet.violations() == []


def test_a_limit_holds_for_the_sum_of_a_fleet_larger_than_the_limit():
    """Guards against daemons that each keep to a limit which their sum exceeds."""
    fleet = LimitedFleet(daemons=120, endpoints=3, reports=False)
    fleet.run(
        seconds=14.0,
        per_second=150.0,
        events=((2.0, lambda: fleet.name_limit("engine-1", 2.0)),),
    )
    assert fleet.violations() == []


@pytest.mark.parametrize("limit", [0.2, 1.0, 8.0, 60.0])
def test_an_endpoint_gets_about_what_it_takes_whatever_the_limit(limit):
    """Guards against limits that are exceeded, and against capacity left unused."""
    fleet = LimitedFleet(daemons=6, endpoints=1, skew=0.2)
    fleet.run(
        seconds=30.0,
        per_second=80.0,
        events=((2.0, lambda: fleet.name_limit("engine-1", limit)),),
    )
    assert fleet.violations() == []
    served = fleet.received("engine-1", 10.0, 30.0) / 20.0
    assert 0.8 * limit <= served <= 1.1 * limit


@pytest.mark.parametrize("skew", [0.0, 0.4])
def test_limits_hold_while_they_are_lowered_raised_and_lifted(skew):
    """Guards against daemons that go on by a limit the endpoint has changed."""
    fleet = LimitedFleet(daemons=6, endpoints=3, skew=skew)
    changes = ((2.0, 20.0), (10.0, 2.0), (18.0, 40.0), (24.0, None), (28.0, 1.0))
    fleet.run(
        seconds=38.0,
        per_second=60.0,
        events=[
            (at, lambda limit=limit: fleet.name_limit("engine-1", limit))
            for at, limit in changes
        ],
    )
    assert fleet.violations() == []
    assert fleet.received("engine-1", 25.0, 28.0) > 30


def test_limits_hold_while_daemons_restart_join_and_lose_the_store():
    """Guards against permits granted twice when the list of daemons changes."""
    fleet = LimitedFleet(daemons=6, endpoints=2, skew=0.2)
    fleet.run(
        seconds=40.0,
        per_second=80.0,
        events=(
            (2.0, lambda: fleet.name_limit("engine-1", 12.0)),
            (8.0, lambda: fleet.add_daemon("daemon-1")),
            (9.0, lambda: fleet.add_daemon("daemon-2")),
            (12.0, lambda: fleet.add_daemon("daemon-7")),
            (13.0, lambda: fleet.add_daemon("daemon-8")),
            (20.0, lambda: fleet.cut_from_store("daemon-3")),
            (20.0, lambda: fleet.cut_from_store("daemon-4")),
            (20.0, lambda: fleet.cut_from_store("daemon-5")),
            (21.0, lambda: fleet.cut_from_store("daemon-6")),
            (22.0, lambda: fleet.cut_from_store("daemon-7")),
        ),
    )
    assert fleet.violations() == []


def test_an_endpoint_that_starts_again_under_its_name_has_no_limit():
    """Guards against a limit that outlives the process which named it."""
    fleet = LimitedFleet(daemons=4, endpoints=1)
    fleet.run(
        seconds=16.0,
        per_second=30.0,
        events=(
            (2.0, lambda: fleet.name_limit("engine-1", 1.0)),
            (10.0, lambda: fleet.restart_endpoint("engine-1")),
        ),
    )
    assert fleet.violations() == []
    assert fleet.received("engine-1", 12.0, 16.0) > 60


def test_an_endpoint_with_a_new_name_is_limited_by_what_it_names_itself():
    """Guards against limits that are lost or kept when endpoints are replaced."""
    fleet = LimitedFleet(daemons=4, endpoints=1)

    def replace():
        fleet.remove_endpoint("engine-1")
        fleet.add_endpoint("engine-9")
        fleet.name_limit("engine-9", 2.0)

    fleet.run(
        seconds=20.0,
        per_second=30.0,
        events=((2.0, lambda: fleet.name_limit("engine-1", 6.0)), (8.0, replace)),
    )
    assert fleet.violations() == []
    assert fleet.received("engine-9", 12.0, 20.0) >= 12


def test_requests_beyond_the_limits_are_refused_at_once_with_a_time_to_return():
    """Guards against requests that wait for permits which come too late for them."""
    fleet = LimitedFleet(daemons=6, endpoints=2)
    fleet.run(
        seconds=20.0,
        per_second=30.0,
        events=(
            (2.0, lambda: fleet.name_limit("engine-1", 1.0)),
            (2.0, lambda: fleet.name_limit("engine-2", 1.0)),
        ),
    )
    refused = [(reply, wait) for reply, wait in fleet.waits if reply.refusal]
    assert len(refused) > 200
    assert max(wait for _, wait in refused) <= OBJECTIVE_SECONDS / 2 + 0.1
    assert sum(wait for _, wait in refused) / len(refused) < 0.1
    for reply, _ in refused:
        assert (reply.refusal.kind, reply.refusal.ran) == (
            ErrorKind.OVERLOADED,
            Ran.NO,
        )
        assert reply.refusal.retry_after_seconds > 0
