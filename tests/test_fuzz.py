"""Stateful fuzzing of several daemons on virtual time against the guarantees.

Hypothesis derives the examples from the state machine's source, docstrings and names
included, unless FUZZ_EXAMPLES is set. Any edit of the class changes the examples.
"""

import asyncio
import os

import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from proof import Rules, check_history
from tests.support.world import ALLOWED, World

DAEMONS = st.sampled_from(["daemon-1", "daemon-2", "daemon-3"])
ENGINES = st.sampled_from(["engine-1", "engine-2", "engine-3"])
ENDPOINTS = st.sampled_from(["engine-1", "engine-2", "engine-3", "desk-1", "desk-2"])
ACCOUNTS = st.sampled_from(["studio", "cheap"])
FAULTS = st.sampled_from(
    [
        "busy",
        "crash",
        "crossed",
        "cut",
        "lose_reply",
        "silent_after",
        "silent_before",
        "wrong_version",
    ]
)
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "30"))
DERANDOMIZED = "FUZZ_EXAMPLES" not in os.environ


class FaultyWorld(RuleBasedStateMachine):
    """Requests, resubmissions and faults of every kind, in any order."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.world = World()
        self.keys: list[tuple[str, str, str]] = []
        self.serial = 0

    def run(self, work) -> None:
        self.loop.run_until_complete(work)

    @initialize()
    def start(self):
        self.run(self.world.start())

    @rule(
        daemon=DAEMONS,
        account=ACCOUNTS,
        kind=st.sampled_from(["chat", "stream", "order"]),
        named=st.booleans(),
    )
    def submit(self, daemon, account, kind, named):
        self.serial += 1
        key = f"k{self.serial}"
        if named:
            self.keys.append((key, account, kind))
        self.run(self._submit(key, daemon, account, kind, named))

    @rule(daemon=DAEMONS, which=st.integers(0, 50))
    def submit_again(self, daemon, which):
        if self.keys:
            key, account, kind = self.keys[which % len(self.keys)]
            self.run(self._submit(key, daemon, account, kind, True))

    @rule(daemon=DAEMONS, session=st.sampled_from(["s1", "s2"]))
    def submit_in_session(self, daemon, session):
        self.serial += 1
        key = f"k{self.serial}"
        self.run(self._submit(key, daemon, "studio", "chat", False, session))

    @rule(seconds=st.sampled_from([0.001, 0.05, 0.3, 2.0, 8.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(endpoint=ENDPOINTS, fault=FAULTS)
    def order_fault(self, endpoint, fault):
        self.world.fakes[endpoint].faults.append(fault)

    @rule(which=st.integers(0, 50))
    def make_deadly(self, which):
        if self.keys:
            for fake in self.world.fakes.values():
                if fake.versions:
                    fake.crashing_keys.add(self.keys[which % len(self.keys)][0])

    @rule(down=st.booleans())
    def platform(self, down):
        self.world.set_platform_down(down)

    @rule(daemon=DAEMONS, count=st.integers(1, 3))
    def lose_replies(self, daemon, count):
        self.world.members[daemon].store.lost_replies = count

    @rule(daemon=DAEMONS)
    def late_write(self, daemon):
        self.world.members[daemon].store.late_writes = 1

    @rule(daemon=DAEMONS)
    def cut_links(self, daemon):
        self.world.cut_links.add(daemon)

    @rule(daemon=DAEMONS)
    def heal_links(self, daemon):
        self.world.cut_links.discard(daemon)

    @rule(daemon=DAEMONS)
    def kill(self, daemon):
        self.run(self._kill(daemon))

    @rule(daemon=DAEMONS)
    def shut_down(self, daemon):
        self.run(self._replace(daemon))

    @rule(version=st.sampled_from(["small@1", "small@2"]))
    def withdraw(self, version):
        self.run(self.world.withdraw(version))

    @rule(engine=ENGINES)
    def leave(self, engine):
        self.run(self._leave(engine))

    def teardown(self):
        self.run(self.world.settle())
        violations = check_history(self.world.history, Rules(allowed=ALLOWED))
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.run(asyncio.wait(pending, timeout=5))
        self.loop.close()
        asyncio.set_event_loop(None)
        assert violations == [], violations

    async def _submit(self, key, daemon, account, kind, named, session=""):
        self.world.submit(
            key,
            daemon=daemon,
            account=account,
            kind=kind,
            named=named,
            session=session,
        )
        await asyncio.sleep(0)

    async def _kill(self, daemon):
        self.world.kill(daemon)
        await asyncio.sleep(0)
        await self.world.start_daemon(daemon)

    async def _replace(self, daemon):
        await self.world.stop(daemon)
        await self.world.start_daemon(daemon)

    async def _leave(self, engine):
        self.world.leave(engine)


FaultyWorld.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=30,
    deadline=None,
    derandomize=DERANDOMIZED,
    database=None,
    print_blob=True,
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
TestFaultyWorld = FaultyWorld.TestCase
