"""Fleets of daemons before brittle endpoints."""

import pytest

from bench.brittle_checks import find_fall_violations
from tests.support.endpoint_fleet import EndpointFleet


# Guards against endpoints that fall over since each daemon tries its luck with each.
@pytest.mark.parametrize(("daemons", "endpoints", "rate"), [(6, 5, 130), (30, 12, 300)])
def test_brittle_endpoints_are_not_made_to_fall_over(daemons, endpoints, rate):
    fleet = EndpointFleet(daemons=daemons, endpoints=endpoints, slots=8)
    fleet.run(
        seconds=12.0,
        per_second=rate,
        events=((2.0, lambda: fleet.become_brittle(6)),),
    )
    falls = [time for time in fleet.falls if time > 5.0]
    assert find_fall_violations(falls, workers=endpoints) == []
    answered = [sound.served for sound in fleet.sound if sound.sent_at > 5.0]
    assert sum(answered) > 0.4 * len(answered)
