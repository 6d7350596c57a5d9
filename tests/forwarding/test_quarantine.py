"""Endpoints of a failure domain that is cut off, which accept no connections."""

import asyncio
import math

import looptime

from linnetladder.forwarding.coordination.calls import CallFaultKind
from tests.support.forwarding import RecordedReply, Script, broken, head, ready_daemon

CONNECTION_REFUSED = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))


def run_on_virtual_time(coroutine):
    """Run a coroutine on an event loop with virtual time."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def send(daemon, serial):
    reply = RecordedReply()
    await daemon.forwarder.answer(
        head("/fetch/1", attempt_id=f"a{serial}"),
        b"",
        received=daemon.clock.monotonic(),
        reply=reply,
    )
    return reply


def test_requests_are_not_used_to_probe_an_unreachable_endpoint():
    daemon = ready_daemon()
    daemon.calls.reachable = False

    async def scenario():
        daemon.calls.scripts = [CONNECTION_REFUSED]
        assert (await send(daemon, 0)).status == 200
        unreachable_endpoint = daemon.calls.calls[0].instance
        for serial in range(1, 20):
            await asyncio.sleep(0.5)
            daemon.clock.now += 0.5
            daemon.in_force.confirm(daemon.clock.now)
            assert (await send(daemon, serial)).status == 200
        assert unreachable_endpoint not in [
            call.instance for call in daemon.calls.calls[1:]
        ]
        assert daemon.table.endpoints[unreachable_endpoint].ejected_until == math.inf
        daemon.calls.reachable = True
        await asyncio.sleep(1.5)
        daemon.clock.now += 1.5
        assert (
            daemon.table.endpoints[unreachable_endpoint].ejected_until
            <= daemon.clock.now
        )
        assert not daemon.quarantine.quarantined

    run_on_virtual_time(scenario())


def test_unreachable_endpoints_are_tried_when_there_are_no_others():
    daemon = ready_daemon()
    daemon.calls.reachable = False

    async def scenario():
        daemon.calls.scripts = [CONNECTION_REFUSED, CONNECTION_REFUSED]
        assert (await send(daemon, 0)).status == 503
        assert (await send(daemon, 1)).status == 200

    run_on_virtual_time(scenario())
