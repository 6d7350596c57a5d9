"""Endpoints get no more requests than the limit that they name for all daemons."""

import pytest

from tests.support.limited_fleet import LimitedFleet


@pytest.mark.xfail(strict=True, reason="KNOWN-RED, issue 24")
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


@pytest.mark.xfail(strict=True, reason="KNOWN-RED, issue 24")
def test_a_limit_holds_for_the_sum_of_a_fleet_larger_than_the_limit():
    """Guards against daemons that each keep to a limit which their sum exceeds."""
    fleet = LimitedFleet(daemons=120, endpoints=3, reports=False)
    fleet.run(
        seconds=14.0,
        per_second=150.0,
        events=((2.0, lambda: fleet.name_limit("engine-1", 2.0)),),
    )
    assert fleet.violations() == []
