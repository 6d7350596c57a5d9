"""Fleets of daemons before endpoints that crash on a part of prompts."""

import pytest

from tests.support.endpoint_fleet import EndpointFleet


# Guards against new requests that crash an endpoint each, because of what they share.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_part_that_crashed_five_endpoints_reaches_no_more_of_them(seed):
    fleet = EndpointFleet(daemons=6, endpoints=5, seed=seed)
    fleet.run(
        seconds=25.0,
        per_second=15.0,
        events=(
            (5.0, lambda: fleet.send_crashing("bad", per_second=2.0, seconds=20.0)),
        ),
    )
    assert fleet.crash_violations() == []
    assert fleet.unserved_violations(before=5.0) == []


# Guards against a first part that is known only by the sessions that follow it.
def test_a_first_part_that_crashes_endpoints_is_found_whatever_follows_it():
    fleet = EndpointFleet(daemons=6, endpoints=5)
    sessions = [f"s{number}" for number in range(60)]
    fleet.run(
        seconds=15.0,
        per_second=15.0,
        events=(
            (
                3.0,
                lambda: fleet.send_crashing(
                    "bad", per_second=2.0, seconds=11.0, sessions=sessions
                ),
            ),
        ),
    )
    assert fleet.crash_violations() == []
    assert fleet.unserved_violations(before=3.0) == []


# Guards against daemons that start again and know nothing of parts found before.
def test_daemons_that_start_again_one_by_one_still_refuse_the_part():
    fleet = EndpointFleet(daemons=6, endpoints=5)
    restarts = [
        (9.0 + number, lambda number=number: fleet.restart_daemon(f"daemon-{number}"))
        for number in range(1, 7)
    ]
    fleet.run(
        seconds=20.0,
        per_second=15.0,
        events=(
            (3.0, lambda: fleet.send_crashing("bad", per_second=4.0, seconds=16.0)),
            *restarts,
        ),
    )
    assert fleet.crash_violations() == []
