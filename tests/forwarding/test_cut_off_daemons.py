"""Daemons that are cut off from all endpoints, while peers still reach them."""

import pytest

from tests.support.endpoint_fleet import EndpointFleet


# Guards against daemons that refuse what their peers could send to an endpoint.
@pytest.mark.xfail(strict=True, reason="KNOWN-RED, issue 32")
@pytest.mark.parametrize("refuses", [False, True])
def test_callers_of_daemons_without_a_way_to_endpoints_are_served(refuses):
    fleet = EndpointFleet(daemons=6, endpoints=5, desk_share=0.4)
    cut = ("daemon-2", "daemon-3", "daemon-5")
    fleet.run(
        seconds=16.0,
        per_second=25.0,
        events=((3.0, lambda: fleet.cut_off(cut, 12.0, refuses=refuses)),),
    )
    assert fleet.partition_violations() == []
