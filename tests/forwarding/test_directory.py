"""Endpoints that leave, lapse during an outage of the registry, or come back."""

import pytest

from tests.support.forwarding import ready_daemon, report


def usable_names(daemon, service="engines"):
    pool = daemon.directory.pool(service)
    members = pool.endpoints if pool is not None else ()
    return sorted(e.name for e in members if e.listed and not e.leaving)


def test_an_endpoint_with_a_removed_entry_is_unused_after_the_next_read():
    daemon = ready_daemon()
    daemon.clock.now += 1.35
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_endpoints_whose_entries_lapsed_in_an_outage_stay_in_use_for_the_grace_period():
    daemon = ready_daemon()
    daemon.source.down = True
    daemon.clock.now += 6.0
    assert not daemon.read()
    daemon.source.down = False
    lapsed = daemon.source.endpoints.pop("engine-1")
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)
    daemon.clock.now += 1.3
    daemon.source.endpoints["engine-1"] = lapsed
    assert daemon.read()
    daemon.clock.now += 2.1
    assert daemon.read()
    assert usable_names(daemon) == ["engine-1", "engine-2", "engine-3"]


def test_an_endpoint_still_missing_after_the_grace_period_is_dropped():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    del daemon.source.endpoints["engine-1"]
    for _ in range(4):
        assert daemon.read()
        daemon.clock.now += 1.3
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_an_entry_removed_after_the_outage_is_dropped_at_once():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    assert daemon.read()
    daemon.clock.now += 0.5
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_the_directory_is_unsettled_until_the_grace_of_lapsed_entries_ends():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert not daemon.directory.is_settled
    for _ in range(6):
        daemon.clock.now += 0.4
        assert daemon.read()
    assert daemon.directory.is_settled


def test_a_leaving_mark_is_never_undone_for_the_same_incarnation():
    daemon = ready_daemon()
    daemon.source.endpoints["engine-1"] = report("engine-1", leaving=True)
    assert daemon.read()
    daemon.source.endpoints["engine-1"] = report("engine-1")
    assert daemon.read()
    assert "engine-1" not in usable_names(daemon)


def test_an_endpoint_restarted_under_its_name_replaces_the_old_one():
    daemon = ready_daemon()
    daemon.source.endpoints["engine-1"] = report("engine-1", leaving=True)
    assert daemon.read()
    daemon.source.endpoints["engine-1"] = report(
        "engine-1", incarnation="2", address="10.0.0.9:81"
    )
    assert daemon.read()
    found = daemon.table.endpoints["engine-1"]
    assert (found.incarnation, found.address) == ("2", "10.0.0.9:81")
    assert "engine-1" in usable_names(daemon)


@pytest.mark.parametrize("gap", [1.25, 1.35, 2.0])
def test_a_normal_interval_between_reads_is_not_an_outage(gap):
    daemon = ready_daemon()
    daemon.clock.now += gap
    daemon.source.endpoints.clear()
    assert daemon.read()
    assert usable_names(daemon) == []
