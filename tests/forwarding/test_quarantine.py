"""The pattern of a failure domain that is cut off: its endpoints take no connection."""

import asyncio
import math

import looptime

from linnetladder.forwarding.coordination.calls import CallFaultKind
from tests.support.forwarding import RecordedReply, Script, broken, head, ready_daemon

REFUSED = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))


def run(work):
    """Run work on virtual time."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(work)
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


def test_requests_do_not_find_out_whether_a_dead_endpoint_is_back():
    daemon = ready_daemon()
    daemon.calls.reachable = False

    async def scenario():
        daemon.calls.scripts = [REFUSED]
        assert (await send(daemon, 0)).status == 200
        dead = daemon.calls.calls[0].instance
        for serial in range(1, 20):
            await asyncio.sleep(0.5)
            daemon.clock.now += 0.5
            daemon.in_force.confirm(None, read_began=daemon.clock.now)
            assert (await send(daemon, serial)).status == 200
        assert dead not in [call.instance for call in daemon.calls.calls[1:]]
        assert daemon.table.endpoints[dead].ejected_until == math.inf
        daemon.calls.reachable = True
        await asyncio.sleep(1.5)
        daemon.clock.now += 1.5
        assert daemon.table.endpoints[dead].ejected_until <= daemon.clock.now
        assert not daemon.quarantine.inside

    run(scenario())


def test_dead_endpoints_are_tried_when_there_are_no_others():
    daemon = ready_daemon()
    daemon.calls.reachable = False

    async def scenario():
        daemon.calls.scripts = [REFUSED, REFUSED]
        assert (await send(daemon, 0)).status == 503
        assert (await send(daemon, 1)).status == 200

    run(scenario())
