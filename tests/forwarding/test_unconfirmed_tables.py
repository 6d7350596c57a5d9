"""Configurations that can't be read at all, which confirm none before them."""

import dataclasses

import pytest

from linnetladder.platform.source import CONFIGURATION_KEY
from tests.forwarding.test_platform import run_with_store
from tests.forwarding.test_unreadable_configuration import CONFIGURATION
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    head,
    ready_daemon,
    table,
)


# Guards against the version before counting as confirmed by reads of one that can't be
# read, so that what the newer one withdraws stays in use.
@pytest.mark.parametrize("value", [b"{", b'{"Version": null}', None])
def test_an_unreadable_configuration_confirms_none_before_it(value):
    async def work(server, store, source):
        server.put(CONFIGURATION_KEY, CONFIGURATION)
        assert (await source.read()).unwrap().table_problem == ""
        if value is None:
            server.remove(CONFIGURATION_KEY)
        else:
            server.put_bytes(CONFIGURATION_KEY, value)
        snapshot = (await source.read()).unwrap()
        assert snapshot.table_problem
        assert snapshot.table.version == 8
        server.put(CONFIGURATION_KEY, CONFIGURATION | {"Version": 9})
        snapshot = (await source.read()).unwrap()
        assert (snapshot.table_problem, snapshot.table.version) == ("", 9)

    run_with_store(work)


# Guards against the same where a read, a peer, or the wait for a change confirms it.
def test_nothing_confirms_a_table_whose_successor_is_unreadable():
    daemon = ready_daemon()
    digest = daemon.snapshots.digest
    confirmed_at = daemon.in_force.confirmed_at
    daemon.source.table_problem = "the value is not JSON"
    daemon.clock.now += 1.0
    assert daemon.read()
    daemon.poller.on_peer_confirmation(daemon.clock.now)
    assert daemon.in_force.confirmed_at == confirmed_at
    assert daemon.snapshots.digest != digest
    assert daemon.in_force.count_problems() == 1
    assert daemon.answer(head("/fetch/1")).status == 200
    daemon.clock.now += daemon.holder.bounds.revoke - 1.0
    reply = daemon.answer(head("/fetch/2"))
    assert reply.status == 503
    assert "the value is not JSON" in reply.refusal.detail
    started = LocalDaemon(source=MemorySource())
    started.source.table_problem = "the value is not JSON"
    assert started.read()
    reply = started.answer(head("/fetch/3"))
    assert reply.status == 503
    assert "the value is not JSON" in reply.refusal.detail
    daemon.source.table_problem = ""
    assert daemon.read()
    assert daemon.answer(head("/fetch/4")).status == 200
    assert daemon.in_force.count_problems() == 0


# Guards against a change that can't be read and confirms what was before it.
def test_the_wait_for_a_change_returns_no_table_that_has_a_successor():
    async def work(server, store, source):
        server.put(CONFIGURATION_KEY, CONFIGURATION)
        await source.read()
        server.put_bytes(CONFIGURATION_KEY, b"{")
        assert (await source.wait_for_table()).unwrap() is None
        server.put(CONFIGURATION_KEY, CONFIGURATION | {"Version": 9})
        assert (await source.wait_for_table()).unwrap().version == 9

    run_with_store(work)


# Guards against a withdrawn key that outlives its bound where revocation isn't strict.
def test_without_strict_revocation_an_unreadable_successor_ends_credentials_too():
    daemon = ready_daemon()
    bounds = dataclasses.replace(daemon.holder.bounds, strict_revocation=False)
    daemon.holder.current = dataclasses.replace(daemon.holder.current, bounds=bounds)
    daemon.source.down = True
    daemon.clock.now += daemon.holder.bounds.revoke
    assert daemon.answer(head("/fetch/1")).status == 200
    daemon.source.down = False
    daemon.source.table_problem = "the value is not JSON"
    assert daemon.read()
    assert daemon.answer(head("/fetch/2")).status == 503
    daemon.source.table, daemon.source.table_problem = table(2), ""
    assert daemon.read()
    assert daemon.answer(head("/fetch/3")).status == 200
