"""Fleets with daemons that are cut off from all endpoints, unlike their peers."""

import pytest

from tests.support.endpoint_fleet import EndpointFleet


# Guards against daemons that refuse what their peers could send to an endpoint.
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


# Guards against a failure domain whose daemons only ask each other.
def test_daemons_of_a_failure_domain_are_served_by_those_of_others():
    fleet = EndpointFleet(daemons=30, endpoints=12, desk_share=0.3)
    cut = tuple(f"daemon-{number}" for number in range(1, 31, 3))
    fleet.run(
        seconds=10.0,
        per_second=60.0,
        events=((3.0, lambda: fleet.cut_off(cut, 6.5)),),
    )
    assert {fleet.source.daemons[name].failure_domain for name in cut} == {"east"}
    assert fleet.partition_violations() == []
