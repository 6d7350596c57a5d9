"""Daemons that send long prompts to the same endpoint at almost the same time.

Reports come every 0.4 s, and a prompt of the largest model takes a second to read. An
endpoint that looked idle to several daemons got a prompt of each within one interval.
"""

import asyncio
import contextlib

import looptime
import pytest

from linnetladder.forwarding.coordination.endpoint_load import LONG_PROMPT_SECONDS
from linnetladder.forwarding.daemon_variables import PeerSettings
from tests.forwarding.test_long_sessions import prompt_head
from tests.forwarding.test_reports import connect, fleet_source
from tests.support.forwarding import LocalDaemon, ready_daemon
from tests.support.memory import LoopClock

SMALL_FLEET = 8
LARGE_FLEET = 88
# Between two regular rounds of reports.
SETTLED_SECONDS = 2.1
BUDGET = PeerSettings().report_bytes_per_second


class PeerLink(asyncio.DatagramTransport):
    """Counts bytes and delivers datagrams to the daemons in ``sockets``."""

    def __init__(self, *, sockets):
        super().__init__()
        self.sockets = sockets
        self.bytes_sent = 0

    def sendto(self, data, addr=None):
        self.bytes_sent += len(data)
        if addr[0] in self.sockets:
            self.sockets[addr[0]].datagram_received(data, addr)


def play(fleet, work):
    """Run ``work`` with two daemons of a fleet that send reports to each other."""
    loop = looptime.new_event_loop()

    async def run():
        source, clock = fleet_source(daemons=fleet, endpoints=12), LoopClock()
        sockets, daemons, tasks = {}, [], []
        for number in range(2):
            daemon = LocalDaemon(name=f"daemon-{number}", source=source, clock=clock)
            assert await daemon.poller.read_once()
            peer_socket = sockets[f"daemon-{number}"] = connect(daemon)
            peer_socket.transport = PeerLink(sockets=sockets)
            daemon.loads.daemons = 2
            daemon.loads.on_long_prompt = peer_socket.send_loads_soon
            daemons.append(daemon)
        for peer_socket in sockets.values():
            tasks.append(asyncio.create_task(peer_socket.run()))
        await asyncio.sleep(SETTLED_SECONDS)
        await work(daemons, sockets)
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    asyncio.set_event_loop(loop)
    loop.run_until_complete(run())


def send_prompt(daemon, *, seconds):
    """Send a prompt that takes some seconds to read to the first endpoint."""
    endpoint = next(iter(daemon.table.endpoints.values()))
    tokens = round(seconds / daemon.loads.token_seconds("large"))
    daemon.loads.begin(endpoint, model="large", tokens=tokens)
    return endpoint.name


def test_peers_know_of_a_long_prompt_before_the_next_report():
    """Guards against an endpoint that gets a long prompt of each daemon at once."""

    async def work(daemons, sockets):
        sender, receiver = daemons
        name = send_prompt(sender, seconds=1.0)
        await asyncio.sleep(0.11)
        backlog = receiver.loads.backlog_of(receiver.table.endpoints[name])
        assert backlog == pytest.approx(1.0, rel=0.01)

    play(SMALL_FLEET, work)


def test_a_short_prompt_waits_for_the_next_report():
    """Guards against a report for each request."""

    async def work(daemons, sockets):
        before = sockets["daemon-0"].transport.bytes_sent
        for _ in range(20):
            send_prompt(daemons[0], seconds=LONG_PROMPT_SECONDS / 2)
        await asyncio.sleep(0.01)
        assert sockets["daemon-0"].transport.bytes_sent == before

    play(SMALL_FLEET, work)


@pytest.mark.parametrize("fleet", [SMALL_FLEET, LARGE_FLEET])
def test_many_long_prompts_keep_to_the_budget(fleet):
    """Guards against reports that grow with the load, when links are busiest."""

    async def work(daemons, sockets):
        before = sockets["daemon-0"].transport.bytes_sent
        for _ in range(200):
            send_prompt(daemons[0], seconds=1.0)
            await asyncio.sleep(0.05)
        rate = (sockets["daemon-0"].transport.bytes_sent - before) / 10.0
        assert rate <= BUDGET * 1.1

    play(fleet, work)


def test_a_doubtful_answer_is_kept_when_the_engine_with_its_part_is_busy():
    """Guards against escalations into a queue because some other engine is idle.

    With many engines one of them is always idle. The prompts of the largest model
    still go where their part is kept, as long as reading it again takes longer.
    """
    daemon = ready_daemon()
    daemon.loads.speeds.learn_report("peer", [("large", 90e-6)])
    request = daemon.forwarder.admission.admit(
        prompt_head("s1", shared=20_000, own=4_000), b"", received=daemon.clock.now
    ).unwrap()
    inputs = daemon.sender.selection_inputs(request, "large")
    home = daemon.selection.choose(inputs)
    assert daemon.forwarder.sizing_inputs(request).wait == 0.0
    daemon.loads.backlog[home.name] = 1.5
    assert daemon.selection.choose(inputs) is home
    assert daemon.forwarder.sizing_inputs(request).wait == 1.5
