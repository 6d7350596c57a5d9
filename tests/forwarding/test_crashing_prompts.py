"""Requests whose prompts share a part that crashes endpoints."""

import pytest

from tests.support.crashing_fleet import CrashingFleet


# Guards against new requests that crash an endpoint each, because of what they share.
@pytest.mark.xfail(strict=True, reason="KNOWN-RED, issue 32")
@pytest.mark.parametrize("seed", [1, 2])
def test_a_part_that_crashed_five_endpoints_reaches_no_more_of_them(seed):
    fleet = CrashingFleet(daemons=6, endpoints=5, seed=seed)
    fleet.run(
        seconds=25.0,
        per_second=15.0,
        events=(
            (5.0, lambda: fleet.send_crashing("bad", per_second=2.0, seconds=20.0)),
        ),
    )
    assert fleet.crash_violations() == []
    assert fleet.unserved_violations(before=5.0) == []
