"""Daemons that exchange bills through a store in memory."""

import asyncio
import types

import looptime

from linnetladder.forwarding.coordination.bills import merge_blocks
from linnetladder.forwarding.coordination.sources import DaemonAddress
from tests.support.forwarding import (
    ManualClock,
    MemorySource,
    head,
    ready_daemon,
    table,
)


def address(name, domain="east", incarnation=""):
    """Return the address of a daemon, by default of its first incarnation."""
    return DaemonAddress(
        instance=name,
        incarnation=incarnation or f"{name}-1",
        failure_domain=domain,
        host="10.0.0.1",
        port=1,
    )


def fleet(source=None):
    """Return a store, a clock and two daemons that know each other."""
    source, clock = source or MemorySource(table=table()), ManualClock()
    daemons = [
        ready_daemon(name=name, source=source, clock=clock) for name in ("d1", "d2")
    ]
    for daemon in daemons:
        daemon.peers.update_daemons((address("d1"), address("d2")))
    return source, clock, daemons


def billed(source):
    """Return the bills in the ledger by attempt id."""
    return merge_blocks(list(source.blocks.values()))


def run_request(daemon, attempt_id):
    """Answer one request."""
    assert daemon.answer(head("/fetch/1", attempt_id=attempt_id)).status == 200


def add_bill(daemon, attempt_id):
    """Add the bill of a request without running it."""
    request = types.SimpleNamespace(
        head=head("/fetch/1", attempt_id=attempt_id),
        account_name="studio",
        service="desk",
    )
    daemon.bills.add(request, model="", events=0)


def send_report(sender, receiver):
    """Deliver a report with bills."""
    message = sender.peers.build()
    message.copied_bills = sender.bills.copies()
    receiver.peers.apply(message)


def run_virtual(work):
    """Run a coroutine in virtual time."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


class SlowSource(MemorySource):
    """A store that takes some time to write each block."""

    seconds = 0.01

    async def write_bills(self, *, incarnation, name, content):
        await asyncio.sleep(self.seconds)
        return await super().write_bills(
            incarnation=incarnation, name=name, content=content
        )
