"""Brittle services at the sizes of deployments, with more requests than there is room.

The load is a service whose callers send half as much again as its endpoints take, while
its endpoints let none wait and fall over by what they have to turn away.
"""

import asyncio

import pytest

from bench.brittle_checks import find_fall_violations
from tests.support.endpoint_fleet import ANSWER_SECONDS, EVENTS, EndpointFleet

OVERLOAD = 1.5
REJECTIONS_PER_SECOND = 6
BRITTLE_SECONDS = 2.0
STRICT_SECONDS = 5.0
END_SECONDS = 10.0
# Least share of the requests for which there is room that has to be served.
SERVED_SHARE = 0.8


def play(*, service, endpoints, slots, event_seconds=0.04, **options):
    """Play a fleet whose service gets too many requests; return it and the room.

    The room is the number of requests a second that the endpoints can serve.
    """
    sizes = {"endpoints": endpoints, "slots": slots}
    if service == "desk":
        sizes = {"endpoints": 1, "desks": endpoints, "desk_slots": slots}
        sizes["desk_share"] = 1.0
    fleet = EndpointFleet(event_seconds=event_seconds, **sizes, **options)
    room = endpoints * slots / (ANSWER_SECONDS + EVENTS * event_seconds)
    fleet.run(
        seconds=END_SECONDS,
        per_second=OVERLOAD * room,
        events=(
            (
                BRITTLE_SECONDS,
                lambda: fleet.become_brittle(REJECTIONS_PER_SECOND, service=service),
            ),
        ),
    )
    return fleet, room


def check(fleet, room, *, endpoints):
    """Check that endpoints seldom fell and that the room was used."""
    falls = [time for time in fleet.falls if time > STRICT_SECONDS]
    assert find_fall_violations(falls, workers=endpoints) == []
    sent = [a for a in fleet.first_attempts if a.sent_at > STRICT_SECONDS]
    room_seconds = END_SECONDS - STRICT_SECONDS
    assert sum(a.served for a in sent) > SERVED_SHARE * room * room_seconds


# Guards against endpoints that fall over since daemons send by counts that are old, and
# against daemons that prevent it by refusing what there is room for.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("daemons", "endpoints"), [(6, 3), (8, 4), (66, 5), (91, 3)])
def test_brittle_services_of_few_endpoints_stay_up_in_overload(
    daemons, endpoints, seed
):
    fleet, room = play(
        service="desk", daemons=daemons, endpoints=endpoints, slots=6, seed=seed
    )
    check(fleet, room, endpoints=endpoints)


# Guards against the same where each endpoint has slots for a part of the daemons.
@pytest.mark.parametrize(
    ("daemons", "endpoints", "slots", "seed"),
    [(6, 5, 64, 1), (6, 5, 64, 2), (66, 70, 16, 1), (91, 45, 32, 1)],
)
def test_brittle_services_of_many_endpoints_stay_up_in_overload(
    daemons, endpoints, slots, seed
):
    fleet, room = play(
        service="engines",
        daemons=daemons,
        endpoints=endpoints,
        slots=slots,
        event_seconds=0.4,
        seed=seed,
    )
    check(fleet, room, endpoints=endpoints)


# Guards against slots that are granted twice, or by daemons that don't know of the
# brittleness, where daemons start again one group after the other.
@pytest.mark.parametrize(("daemons", "restarted"), [(6, 2), (91, 20)])
def test_brittle_endpoints_stay_up_while_daemons_start_again(daemons, restarted):
    fleet = EndpointFleet(
        daemons=daemons, endpoints=1, desks=3, desk_slots=6, desk_share=1.0
    )

    async def restart():
        names = fleet.random.sample(list(fleet.daemons), restarted)
        await asyncio.gather(*map(fleet.restart_daemon, names))

    restarts = ((STRICT_SECONDS + 0.3 + step, restart) for step in range(4))
    begin = (
        BRITTLE_SECONDS,
        lambda: fleet.become_brittle(REJECTIONS_PER_SECOND, service="desk"),
    )
    fleet.run(seconds=END_SECONDS, per_second=60, events=(begin, *restarts))
    falls = [time for time in fleet.falls if time > STRICT_SECONDS]
    assert find_fall_violations(falls, workers=3) == []
