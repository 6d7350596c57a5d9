"""Requests whose prompts share a part that crashes endpoints."""

import asyncio

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.poison import (
    SETTLING_SECONDS,
    part_suspects,
)
from linnetladder.forwarding.protocol.daemon_messages import PartFinding
from linnetladder.forwarding.state import Prompt, PromptPart
from tests.support.forwarding import (
    ManualClock,
    Script,
    broken,
    head,
    ready_daemon,
    report,
)

CRASH = Script(fault=broken())


def prompt(*shared, own="own"):
    """Return a prompt with some shared parts and one of its own."""
    parts = tuple(PromptPart(part, 400) for part in (*shared, own))
    return Prompt(input_tokens=400 * len(parts), output_tokens=80, parts=parts)


def suspect(*shared):
    """Return the name of the last shared part of a prompt."""
    return part_suspects(prompt(*shared))[-1]


def engines(daemon, number):
    """Give a daemon more engines to send to."""
    for serial in range(number):
        daemon.source.endpoints[f"more-{serial}"] = report(f"more-{serial}")
    assert daemon.read()


def crash_with(daemon, shared, *, serial, crashes=1):
    """Send a request under which endpoints crash, which are not listed again."""
    daemon.calls.reachable = False
    sent = len(daemon.calls.calls)
    daemon.answer(
        head(attempt_id=f"a{serial}", prompt=prompt(*shared)),
        *[CRASH] * crashes,
        *[Script(fault=broken(kind="connect", ran=False))] * 9,
        body=str(serial).encode(),
    )
    for call in daemon.calls.calls[sent : sent + crashes]:
        del daemon.source.endpoints[call.instance]
    assert daemon.read()


def crashing_daemon(*, crashes=3, **options):
    """Return a daemon that saw endpoints crash on requests with the part ``bad``."""
    daemon = ready_daemon(**options)
    engines(daemon, 6)
    for serial in range(crashes):
        crash_with(daemon, ("style", "bad"), serial=serial)
    daemon.calls.reachable = True
    daemon.clock.now += SETTLING_SECONDS
    return daemon


def is_refused(daemon, *shared):
    return daemon.crashes.refuse(part_suspects(prompt(*shared))) is not None


def test_the_part_is_refused_as_not_run_with_the_time_at_which_to_return():
    daemon = crashing_daemon()
    sent = len(daemon.calls.calls)
    reply = daemon.answer(
        head(attempt_id="b", prompt=prompt("style", "bad")), body=b"b"
    )
    assert reply.refusal.kind is ErrorKind.SUSPECTED_POISON
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert reply.refusal.retry_after_seconds > 500
    assert len(daemon.calls.calls) == sent


def test_requests_with_the_other_parts_are_served():
    daemon = crashing_daemon()
    reply = daemon.answer(head(attempt_id="b", prompt=prompt("style", "good")))
    assert reply.status == 200


def test_crashes_of_one_request_are_not_put_down_to_its_parts():
    daemon = ready_daemon()
    for endpoint in ("engine-1:1", "engine-2:1", "engine-3:1"):
        for name in (*part_suspects(prompt("style", "session")), "one-request"):
            daemon.crashes.learn(name, endpoint)
    assert daemon.crashes.refuse(("one-request",)) is not None
    assert not is_refused(daemon, "style", "session")


# Guards against innocent requests that are refused because they were in flight.
def test_crashes_that_a_part_explains_count_against_no_other_request():
    daemon = crashing_daemon()
    innocent = head("/fetch/1")
    for endpoint in list(daemon.crashes.crash_times[suspect("style", "bad")])[:2]:
        daemon.crashes.learn("innocent", endpoint)
    assert daemon.crashes.refuse(("innocent",)) is None
    assert daemon.answer(innocent).status == 200


# Guards against common parts that are refused since poison requests have them, too.
def test_a_part_with_recent_answers_is_never_refused():
    daemon = ready_daemon()
    engines(daemon, 6)
    daemon.answer(head(attempt_id="ok", prompt=prompt("style", "s")))
    for serial in range(4):
        crash_with(daemon, ("style", f"s{serial}"), serial=serial)
    assert not is_refused(daemon, "style", "s9")


def test_a_sound_part_that_turns_bad_is_refused_once_its_answers_are_old():
    daemon = ready_daemon()
    engines(daemon, 6)
    daemon.answer(head(attempt_id="ok", prompt=prompt("style", "s")))
    for _ in range(7):
        daemon.clock.now += 1.0
        assert daemon.read()
    for serial in range(3):
        crash_with(daemon, ("style", f"s{serial}"), serial=serial)
    assert is_refused(daemon, "style", "s9")


def test_a_stream_that_breaks_long_after_its_first_event_incriminates_no_part():
    daemon = ready_daemon()
    engines(daemon, 6)
    daemon.calls.reachable = False
    for serial in range(3):
        attempt = asyncio.run(open_attempt(daemon, serial))
        daemon.sender.record_events(*attempt, 1)
        daemon.clock.now += 2.0
        asyncio.run(daemon.sender.record_broken_response(*attempt, CRASH.fault))
    assert daemon.crashes.crashes(suspect("style", "s")) == 0


async def open_attempt(daemon, serial):
    """Return a request and its attempt, which has begun."""
    admitted = daemon.forwarder.admission.admit(
        head(attempt_id=f"a{serial}", prompt=prompt("style", "s")),
        str(serial).encode(),
        received=daemon.clock.monotonic(),
    )
    request = admitted.unwrap()
    opened = await daemon.sender.open(request, model="", resume_after="")
    return request, opened.unwrap()


# Guards against a request that is sent after its part was found, since it had waited.
def test_a_call_whose_part_was_found_while_it_connected_is_not_sent():
    daemon = ready_daemon()
    daemon.answer(head(attempt_id="a", prompt=prompt("style", "bad")))
    call = daemon.calls.calls[0]
    assert call.may_send()
    daemon.clock.now += 60.0
    daemon.crashes.learn_finding(PartFinding(suspect("style", "bad"), False, 0.0))
    assert not call.may_send()


def test_a_daemon_learns_of_parts_from_a_peer_however_long_ago_they_were_found():
    clock = ManualClock()
    first = crashing_daemon(name="daemon-1", clock=clock)
    clock.now += 200.0
    second = ready_daemon(name="daemon-2", clock=clock)
    second.peers.apply(first.peers.build())
    assert is_refused(second, "style", "bad")


def test_an_answer_at_one_daemon_clears_a_part_at_all():
    clock = ManualClock()
    first = crashing_daemon(name="daemon-1", clock=clock)
    second = ready_daemon(name="daemon-2", clock=clock)
    second.crashes.learn_answer(part_suspects(prompt("style", "bad")))
    second.peers.apply(first.peers.build())
    assert not is_refused(second, "style", "bad")
    first.peers.apply(second.peers.build())
    assert not is_refused(first, "style", "bad")


# Guards against findings that daemons tell each other for as long as there are answers.
def test_a_cleared_part_is_told_for_a_few_seconds_only():
    clock = ManualClock()
    first, second = (ready_daemon(name=name, clock=clock) for name in ("d-1", "d-2"))
    part = suspect("style")
    first.crashes.learn(part, "engine-1:1")
    for _ in range(20):
        first.crashes.learn_answer((part,))
        second.crashes.learn_answer((part,))
        first.peers.apply(second.peers.build())
        second.peers.apply(first.peers.build())
        clock.now += 0.5
    assert first.crashes.export_findings() == []
    assert second.crashes.export_findings() == []


def test_a_part_is_tried_again_when_its_finding_has_expired():
    daemon = crashing_daemon()
    daemon.clock.now += 700.0
    assert not is_refused(daemon, "style", "bad")


# Guards against parts that nobody remembers once all daemons were started again.
def test_a_daemon_that_starts_after_all_others_ended_reads_the_part_from_the_store():
    first = crashing_daemon()
    asyncio.run(first.crash_records.write_changes())
    (record,) = first.source.crashing_parts.values()
    assert record.part == suspect("style", "bad")
    second = ready_daemon(name="daemon-2", source=first.source, clock=first.clock)
    assert is_refused(second, "style", "bad")


def test_a_part_is_recorded_once_and_by_a_daemon_that_saw_a_crash():
    first = crashing_daemon()
    second = ready_daemon(name="daemon-2", source=first.source, clock=first.clock)
    second.peers.apply(first.peers.build())
    asyncio.run(second.crash_records.write_changes())
    assert first.source.crashing_parts == {}
    asyncio.run(first.crash_records.write_changes())
    assert set(first.source.crashing_parts) == {suspect("style", "bad")}
    assert first.read()
    revision = first.source.revision
    asyncio.run(first.crash_records.write_changes())
    assert first.source.revision == revision


def test_a_record_that_an_answer_refutes_is_deleted():
    first = crashing_daemon()
    asyncio.run(first.crash_records.write_changes())
    assert first.source.crashing_parts
    second = ready_daemon(name="daemon-2", source=first.source, clock=first.clock)
    second.crashes.learn_answer(part_suspects(prompt("style", "bad")))
    assert second.read()
    asyncio.run(second.crash_records.write_changes())
    assert first.source.crashing_parts == {}
