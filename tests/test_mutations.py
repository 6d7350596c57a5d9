"""Mutation tests: the checks must detect that a mechanism is disabled.

Each scenario runs twice: with the code unchanged, which must violate no guarantee, and
with one mechanism disabled, which must violate the guarantee that the mechanism keeps.
"""

import asyncio

import pytest
from returns.result import Success

from linnetladder.coordination.attempts.poison import PoisonRegistry
from linnetladder.coordination.attempts.runner import AttemptRunner
from linnetladder.coordination.billing import completion
from linnetladder.coordination.billing.completion import Completion
from linnetladder.coordination.billing.copies import PeerBillCopier
from linnetladder.coordination.cascades.policies import POLICIES, AlwaysBest
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.routing.entry import EntryChecks
from linnetladder.coordination.routing.router import Router
from linnetladder.errors import Ran
from linnetladder.protocol.engines import AnswerCheck
from linnetladder.state import Endpoint, Snapshot
from linnetladder.state.snapshot import decode_manifest
from linnetladder.transport.caller_server import CallerServer
from proof import Rules, check_history
from tests.support.memory import run_virtual
from tests.support.site import LocalSite, declarations_text
from tests.support.world import ALLOWED, World


def find_violated_guarantees(scenario, *, text: str = "") -> set[str]:
    async def run():
        world = World()
        await world.start(text)
        await scenario(world)
        await world.settle()
        return check_history(world.history, Rules(allowed=ALLOWED))

    return {violation.guarantee for violation in run_virtual(run())}


async def same_order_at_two_daemons(world):
    world.submit("a", daemon="daemon-1", kind="order")
    world.submit("a", daemon="daemon-2", kind="order")
    await asyncio.sleep(2)


async def order_whose_reply_is_lost(world):
    for name in ("desk-1", "desk-2"):
        world.fakes[name].faults.append("lose_reply")
    world.submit("a", daemon="daemon-1", kind="order")
    await asyncio.sleep(2)


async def refusal_after_a_run(world):
    for name in ("engine-1", "engine-2", "engine-3"):
        world.fakes[name].faults.extend(["crossed"] * 4)
    world.submit("a", daemon="daemon-1")
    await asyncio.sleep(2)


async def named_request_refused_after_a_run(world):
    world.submit("a", daemon="daemon-1", kind="order")
    await asyncio.sleep(2)
    world.submit("a", daemon="daemon-2", kind="order", deadline_seconds=0)
    await asyncio.sleep(2)


async def named_request_at_a_daemon_that_has_just_started(world):
    world.submit("a", daemon="daemon-1")
    await asyncio.sleep(2)
    await world.stop("daemon-1")
    await world.start_daemon("daemon-1")
    world.submit("a", daemon="daemon-1")


async def kill_in_an_outage(world):
    world.set_platform_down(True)
    world.submit("a", daemon="daemon-1")
    await asyncio.sleep(2)
    world.kill("daemon-1")
    await world.start_daemon("daemon-1")


async def same_request_at_two_daemons(world):
    world.submit("a", daemon="daemon-1")
    world.submit("a", daemon="daemon-2")
    await asyncio.sleep(2)


async def outage_beyond_the_deadline(world):
    world.cut_links.update(world.names)
    for member in world.members.values():
        for link in tuple(member.core.peers.links.values()):
            link.close("cut")
    world.set_platform_down(True)
    world.submit("a", daemon="daemon-1", deadline_seconds=3)
    await asyncio.sleep(30)


async def withdrawal(world):
    await world.withdraw("small@1")
    for _ in range(12):
        await asyncio.sleep(1)
        for name in world.names:
            world.submit(f"a{world.now}", daemon=name)


async def session_at_all_daemons(world):
    world.submit("a", daemon="daemon-1", session="s")
    await asyncio.sleep(1)
    for number in range(12):
        name = world.names[number % 3]
        world.submit(f"b{number}", daemon=name, session="s", named=False)
        await asyncio.sleep(1)


async def departure(world):
    world.leave("engine-1")
    for number in range(30):
        await asyncio.sleep(0.3)
        world.submit(f"a{number}", daemon="daemon-1")


async def request_that_crashes(world):
    for fake in world.fakes.values():
        fake.crashing_keys.add("a")
    for number in range(12):
        world.submit("a", daemon=world.names[number % 3])
        await asyncio.sleep(4)


async def model_that_is_not_allowed(world):
    for number in range(6):
        world.submit(f"a{number}", daemon="daemon-1", account="cheap")
        await asyncio.sleep(0.5)


async def store_restored_from_an_older_state(world):
    await world.withdraw("small@2")
    await asyncio.sleep(3)
    old = world.store.get("linnetladder/config/history/0000000001").value
    world.store.transact([], [("linnetladder/live/head", old, 0)], [])
    await asyncio.sleep(5)


async def no_claim(self, context):
    return None


def bill_id_of_submission(*, account, request_key):
    bill_id_of_submission.serial += 1
    return f"{account}/{request_key}/{bill_id_of_submission.serial}"


bill_id_of_submission.serial = 0


async def copy_nothing(self, block):
    return True


async def always_not_run(self, context, refusal):
    return Ran.NO


async def always_retry(self, context, fault, attempt):
    return attempt < 3


def never_void(self, bill, durable):
    return None


async def follow_any_revision(self, record, *, read_started):
    fetched = await self._fetch(decode_manifest(record.value))
    if isinstance(fetched, Success):
        self.snapshot = fetched.unwrap()


def accept_when_leaving(self, now):
    return self.listed


SCENARIOS = [
    (same_order_at_two_daemons, Router, "_claim", no_claim, "at most once"),
    (
        order_whose_reply_is_lost,
        AttemptRunner,
        "_may_retry",
        always_retry,
        "at most once",
    ),
    (
        refusal_after_a_run,
        Completion,
        "_resolve_ran",
        always_not_run,
        "not run is true",
    ),
    (
        named_request_refused_after_a_run,
        Completion,
        "_resolve_ran",
        always_not_run,
        "not run is true",
    ),
    (
        named_request_at_a_daemon_that_has_just_started,
        Completion,
        "_resolve_ran",
        always_not_run,
        "not run is true",
    ),
    (kill_in_an_outage, PeerBillCopier, "copy", copy_nothing, "billed exactly once"),
    (
        same_request_at_two_daemons,
        completion,
        "bill_id",
        bill_id_of_submission,
        "billed exactly once",
    ),
    (
        outage_beyond_the_deadline,
        Completion,
        "_void",
        never_void,
        "billed exactly once",
    ),
    (
        withdrawal,
        ConfigurationInForce,
        "install",
        lambda self, snapshot: (
            bool(self.snapshot) or setattr(self, "snapshot", snapshot) or True
        ),
        "withdrawn version",
    ),
    (
        departure,
        Endpoint,
        "accepts_work",
        accept_when_leaving,
        "leaving endpoint",
    ),
    (
        request_that_crashes,
        PoisonRegistry,
        "add_crash",
        lambda self, crash: False,
        "two crashes at most",
    ),
    (
        store_restored_from_an_older_state,
        ConfigurationInForce,
        "apply_head",
        follow_any_revision,
        "in force, never reverts",
    ),
]


@pytest.mark.parametrize(
    ("scenario", "owner", "name", "mutant", "guarantee"),
    SCENARIOS,
    ids=[f"{entry[0].__name__}-{entry[2]}" for entry in SCENARIOS],
)
def test_checker_detects_disabled_mechanism(
    monkeypatch, scenario, owner, name, mutant, guarantee
):
    assert find_violated_guarantees(scenario) == set()
    monkeypatch.setattr(owner, name, mutant)
    assert guarantee in find_violated_guarantees(scenario)


def test_checker_detects_ignored_session_token(monkeypatch):
    text = declarations_text().replace(
        'small: {stable: "1"}', 'small: {stable: "1", candidate: "2", share: 0.5}'
    )
    assert find_violated_guarantees(session_at_all_daemons, text=text) == set()
    monkeypatch.setattr(EntryChecks, "_check_session", lambda self, context: None)
    violated = find_violated_guarantees(session_at_all_daemons, text=text)
    assert "session keeps version" in violated


def test_checker_detects_disallowed_version(monkeypatch):
    assert find_violated_guarantees(model_that_is_not_allowed) == set()

    def view_as_studio(self, account, view=Snapshot.view):
        return view(self, "studio" if account == "cheap" else account)

    monkeypatch.setattr(Snapshot, "view", view_as_studio)
    monkeypatch.setitem(POLICIES, "target_on_average", AlwaysBest())
    assert find_violated_guarantees(model_that_is_not_allowed) & {
        "allowed version",
        "billed exactly once",
    }


async def status_of_crossed_answer() -> int:
    site = LocalSite(engine_count=1)
    await site.start()
    try:
        site.engines[0].faults["crossed_body"] = 1
        return (await site.chat("whose answer is this")).status
    finally:
        await site.stop()


def test_unchecked_answer_reaches_the_caller(monkeypatch):
    assert asyncio.run(status_of_crossed_answer()) != 200
    monkeypatch.setattr(AnswerCheck, "_identity_fault", lambda self, document: None)
    assert asyncio.run(status_of_crossed_answer()) == 200


async def stream_over_a_shutdown() -> bytes:
    site = LocalSite()
    await site.start()
    try:
        for engine in site.engines:
            engine.token_seconds = 0.05
        daemon = site.daemons[0]
        request = asyncio.ensure_future(site.chat("x" * 60, stream=True))
        await site.wait_for(lambda: daemon.parts.callers.active_requests > 0)
        await daemon.stop()
        site.daemons.remove(daemon)
        return (await asyncio.gather(request, return_exceptions=True))[0]
    finally:
        await site.stop()


def is_whole(reply) -> bool:
    return not isinstance(reply, Exception) and reply.body.endswith(b"[DONE]\n\n")


def test_shutdown_without_waiting_cuts_a_stream(monkeypatch):
    assert is_whole(asyncio.run(stream_over_a_shutdown()))

    async def no_wait(self, *, seconds):
        return True

    monkeypatch.setattr(CallerServer, "wait_idle", no_wait)
    assert not is_whole(asyncio.run(stream_over_a_shutdown()))
