"""Requests around a planned stop of a real daemon, at any moment of its grace."""

import asyncio
import signal
import time

import pytest

from bench.fleet_site import GRACE_SECONDS
from linnetladder.errors import ErrorKind, Ran
from tests.support.forwarding import RecordedReply, Script, head, ready_daemon
from tests.support.wire_site import WireSite, answer_bytes, read_answer

KINDS = ("stream", "fetch", "save")
WORK_SECONDS = 1.5
EVENTS = 5
# When bodies are complete, in seconds after the signal, and when new requests are sent.
BODY_ENDS = (0.5, 1.0, 1.5, 2.0, 2.2, 2.4, 2.7, 3.5, 4.5, 5.5, 6.0, 6.5, 6.9, 7.3)
INTERVAL_SECONDS = 0.2
# The last requests begin this long after the signal, while the daemon takes them.
LAST_BEGIN_SECONDS = 2.0
ROUTE_TIMEOUT_SECONDS = 6.0
# Requests that are complete by then are to be served: new ones until load balancers
# have taken the daemon out of service, and bodies that began before as long as there is
# time for an answer.
IN_TIME_SECONDS = {"new": 2.0, "kept": 2.0, "body": 5.0}
BODY_PIECES = 10
BODY_PIECE = b"x" * 40
# A request that is sent later than this must not be cut, however long it takes.
LATEST_CUT_SECONDS = 3.0
LAST_SIXTH_SECONDS = GRACE_SECONDS * 5 / 6
# A connection may close without an answer this long after a request's last byte, if the
# request was not passed on.
LOSS_SLACK_SECONDS = 0.2


async def answer(request, writer):
    """Answer after some work; the events of a stream come one after the other."""
    kind = request.path.split("/")[1]
    events = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
    if kind != "stream":
        await asyncio.sleep(WORK_SECONDS)
        writer.write(
            answer_bytes(request.attempt, b"done", framing="length", streams=False)
        )
        await writer.drain()
        return True
    whole = answer_bytes(
        request.attempt, b"".join(events), framing="length", streams=True
    )
    head, _, _ = whole.partition(b"\r\n\r\n")
    writer.write(head + b"\r\n\r\n")
    for event in events:
        await asyncio.sleep(WORK_SECONDS / EVENTS)
        writer.write(event)
        await writer.drain()
    return True


class Caller:
    """Sends requests to one daemon around its stop and keeps what came back."""

    def __init__(self, site):
        self.site = site
        self.address = ("127.0.0.1", site.ports["daemon-1"]["front"])
        self.outcomes = {}
        self.stopped_at = None

    def since_stop(self):
        return time.monotonic() - self.stopped_at

    async def request(self, kind, attempt, *, ends=None, connection=None):
        """Send a request, with a body that is complete at a time after the signal."""
        status, complete = 0, False
        sent = None
        if ends is not None:
            begins = min(ends / 2, LAST_BEGIN_SECONDS)
            await asyncio.sleep(begins - self.since_stop())
        began = self.since_stop()
        try:
            reader, writer = connection or await asyncio.open_connection(*self.address)
            pieces = BODY_PIECES if ends is not None else 1
            size = pieces * len(BODY_PIECE)
            writer.write(self.site.request_head(kind, attempt, body_bytes=size))
            step = 0.0 if ends is None else max(ends - self.since_stop(), 0) / pieces
            for _ in range(pieces):
                await asyncio.sleep(step)
                writer.write(BODY_PIECE)
                await writer.drain()
            sent = self.since_stop()
            status, _, complete = await read_answer(reader)
        except ConnectionError:
            # The daemon has closed the connection, or listens no longer.
            writer = None
        ended = self.since_stop()
        is_timed_out = ended - began >= ROUTE_TIMEOUT_SECONDS
        self.outcomes[attempt] = (kind, sent, ended, status, is_timed_out, complete)
        if writer is not None and connection is None:
            writer.close()
        return status, complete

    async def repeat(self, kind, *, kept):
        """Send requests until the process is gone, on kept connections or new ones."""
        number = 0
        while self.since_stop() < GRACE_SECONDS:
            connection = None
            try:
                if kept:
                    connection = await asyncio.open_connection(*self.address)
                complete = True
                while complete and self.since_stop() < GRACE_SECONDS:
                    number += 1
                    name = f"{kind}-{'kept' if kept else 'new'}-{number}"
                    sent = asyncio.ensure_future(
                        self.request(kind, name, connection=connection)
                    )
                    if not kept:
                        self.tasks.append(sent)
                        break
                    _, complete = await sent
            except ConnectionError:
                # Nothing listens any more.
                pass
            await asyncio.sleep(INTERVAL_SECONDS)

    async def run(self):
        self.stopped_at = time.monotonic()
        self.tasks = [
            asyncio.ensure_future(self.repeat(kind, kept=kept))
            for kind in KINDS
            for kept in (True, False)
        ]
        self.tasks += [
            asyncio.ensure_future(self.request(kind, f"{kind}-body-{end}", ends=end))
            for kind in KINDS
            for end in BODY_ENDS
        ]
        self.site.process_manager.send("daemon-1", signal.SIGTERM)
        await asyncio.to_thread(self.site.process_manager.wait, "daemon-1")
        ended = self.since_stop()
        done, pending = await asyncio.wait(self.tasks, timeout=3.0)
        assert not pending
        return ended


def lost_requests(outcomes, ran, stopped_at):
    """Return the requests that were lost, by the rules for a planned stop."""
    lost = []
    for attempt, outcome in sorted(outcomes.items()):
        _, sent, ended, status, is_timed_out, complete = outcome
        if (status and complete) or sent is None or is_timed_out:
            continue
        run = ran.get(attempt)
        if run is None:
            if ended - sent > LOSS_SLACK_SECONDS:
                lost.append((attempt, "not passed on", sent, ended, status))
            continue
        at_work_until = run.received_at - stopped_at + WORK_SECONDS
        is_allowed = sent <= LATEST_CUT_SECONDS and at_work_until >= LAST_SIXTH_SECONDS
        if not is_allowed:
            lost.append((attempt, "passed on", sent, ended, status))
    return lost


def wrongly_refused(outcomes, ran):
    """Return requests that may not be repeated, were refused as not run, and ran."""
    return [
        attempt
        for attempt, (kind, _, _, status, _, _) in outcomes.items()
        if kind == "save" and status in (429, 503) and attempt in ran
    ]


# Guards against requests whose bodies are complete late in the grace, or that come then
# on kept and new connections, being passed on and cut at its end without an answer.
def test_no_request_is_passed_on_in_a_planned_stop_and_cut_at_its_end(tmp_path):
    async def scenario():
        site = WireSite(folder=tmp_path, daemons=1, answer=answer)
        try:
            await site.start()
            await site.wait_until_ready()
            caller = Caller(site)
            ended = await caller.run()
            return caller.outcomes, site.ran(), caller.stopped_at, ended
        finally:
            await site.stop()

    outcomes, ran, stopped_at, ended = asyncio.run(scenario())
    served = [a for a, o in outcomes.items() if o[3] == 200 and o[5]]
    print(len(outcomes), "requests,", len(ran), "ran,", len(served), "served", ended)
    assert lost_requests(outcomes, ran, stopped_at) == []
    assert wrongly_refused(outcomes, ran) == []
    # A request of a kept connection that was not passed on has crossed its close.
    in_time = [
        attempt
        for attempt, outcome in outcomes.items()
        if outcome[1] is not None
        and outcome[1] < IN_TIME_SECONDS[attempt.split("-")[1]]
    ]
    assert {a for a in in_time if "-kept-" not in a or a in ran} <= set(served)
    assert ended < GRACE_SECONDS


# Guards against a request that is cut at the daemon's end, or told that it has not run
# though it may have, and against attempts that the end would cut.
@pytest.mark.parametrize("ran", [False, True])
@pytest.mark.parametrize("kind", ["fetch", "save"])
def test_requests_in_progress_at_the_end_are_answered(kind, ran):
    daemon = ready_daemon()

    async def scenario():
        reply = RecordedReply()
        opened = asyncio.Event()

        async def wait_for_ever(*arguments):
            opened.set()
            await asyncio.Event().wait()

        # A request that ran waits for its answer, the other one for an endpoint.
        if ran:
            daemon.sender.calls.open = wait_for_ever
        else:
            daemon.sender._choose_slot = wait_for_ever
        answering = asyncio.ensure_future(
            daemon.forwarder.answer(
                head(f"/{kind}/1"),
                b"",
                received=daemon.clock.monotonic(),
                reply=reply,
            )
        )
        await opened.wait()
        daemon.planned_stop.ends_at = daemon.clock.monotonic()
        daemon.forwarder.end_requests()
        await answering
        return reply

    reply = asyncio.run(scenario())
    refusal = reply.refusal
    expected = (ErrorKind.DRAINING, Ran.NO)
    if ran:
        expected = (ErrorKind.ENDPOINT_FAILED, Ran.UNKNOWN)
    assert (refusal.kind, refusal.ran) == expected


# Guards against refusing what there is time for, and passing on what there is not.
@pytest.mark.parametrize(
    ("seconds_left", "longest", "status"),
    [(5.0, None, 503), (5.0, 4.0, 200), (5.0, 6.0, 503), (60.0, 6.0, 200)],
)
def test_the_time_that_is_left_decides_over_a_request(seconds_left, longest, status):
    daemon = ready_daemon()
    daemon.planned_stop.ends_at = daemon.clock.monotonic() + seconds_left
    if longest is not None:
        daemon.planned_stop.learn_duration("save", longest)
    reply = daemon.answer(head("/save/1"), Script(chunks=(b"done",)))
    assert reply.status == status
