"""Fleets whose callers send more than endpoints can serve.

Goodput is what is served by its deadline, a second, over what endpoints can serve.
"""

import functools

import pytest

from tests.support.loaded_fleet import LoadedFleet

BEGAN = 2.0
# Reports of the load have arrived by then, and what was admitted before has ended.
SETTLED = 8.0
ENDED = 14.0
# What daemons know is this much older in the tests of stale reports.
STALE_SECONDS = 2.0


def run_load(times, *, urgent=0.0, tries=1, kill_at=None, ended=ENDED, **options):
    """Return a fleet that got a multiple of what it can serve, then a little."""
    fleet = LoadedFleet(**options)
    callers = [
        fleet.load(0.7, first=0.1, last=BEGAN),
        fleet.load(times, first=BEGAN, last=ended, tries=tries, pause=0.05),
        fleet.load(0.5, first=ended, last=ended + 6.0),
    ]
    if urgent:
        callers.append(fleet.load(urgent, first=BEGAN, last=ended, urgent=True))
    events = [(kill_at, lambda: fleet.kill(0.1))] if kill_at else []
    fleet.run(*callers, events=events)
    return fleet


@functools.cache
def goodput(times, **options):
    fleet = run_load(times, **options)
    return fleet.served_per_second(SETTLED, ENDED) / fleet.capacity


# Guards against bursts in which engines work on what ends at its deadline.
@pytest.mark.parametrize("prompt_tokens", [0, 1_000, 33_000])
def test_burst_of_up_to_ten_times_the_capacity_keeps_the_goodput(prompt_tokens):
    rates = [goodput(times, prompt_tokens=prompt_tokens) for times in (1, 2, 4, 10)]
    assert min(rates) >= 0.9 * max(rates)
    assert max(rates) >= 0.9


# Guards against refusals by an estimate although there is time.
def test_burst_that_can_be_served_by_its_deadline_is_admitted_whole():
    fleet = LoadedFleet()
    fleet.run(
        fleet.load(0.5, first=0.1, last=10.0),
        fleet.load(1.6, first=3.0, last=5.0),
    )
    assert not fleet.chosen(refused=True)
    assert all(sent.served for sent in fleet.sent)


# Guards against refusals of what one daemon's callers send at once.
def test_burst_at_one_of_many_daemons_is_admitted_whole():
    fleet = LoadedFleet(daemons=30)
    for name in list(fleet.daemons)[1:]:
        fleet.idle.add(name)
    fleet.run(fleet.load(4.0, first=2.0, last=2.6))
    assert len(fleet.sent) > 60
    assert all(sent.served for sent in fleet.sent)


# Guards against urgent requests refused, or late behind others.
@pytest.mark.parametrize("times", [1, 2, 4, 10])
def test_burst_leaves_urgent_requests_in_time(times):
    fleet = run_load(times, urgent=0.4)
    assert fleet.served_share(BEGAN, ENDED, urgent=True) >= 0.95


# Guards against refusals after the load that caused them.
@pytest.mark.parametrize("times", [2, 10])
def test_burst_is_forgotten_three_seconds_after_its_end(times):
    fleet = run_load(times)
    after = [sent for sent in fleet.sent if sent.at >= ENDED + 3.0]
    assert len(after) > 30
    assert all(sent.served for sent in after)


# Guards against callers that return at once and keep others from being served.
def test_clients_that_retry_at_once_do_not_lower_the_goodput():
    fleet = run_load(4, tries=4)
    assert sum(sent.tries for sent in fleet.sent) > 1.5 * len(fleet.sent)
    assert fleet.served_per_second(SETTLED, ENDED) >= 0.9 * fleet.capacity


# Guards against a fleet in which each daemon knows few requests of its own.
def test_services_with_few_slots_before_many_daemons_keep_the_goodput():
    fleet = run_load(4, daemons=89)
    assert fleet.served_per_second(10.0, ENDED) >= 0.9 * fleet.capacity


# Guards against decisions by reports that are late, and by those of lost daemons.
@pytest.mark.parametrize("daemons", [6, 89])
def test_daemons_killed_and_stale_reports_keep_the_goodput(daemons):
    fleet = run_load(
        4, daemons=daemons, kill_at=13.0, ended=20.0, report_seconds=STALE_SECONDS
    )
    assert fleet.served_per_second(14.0, 20.0) >= 0.9 * fleet.capacity
