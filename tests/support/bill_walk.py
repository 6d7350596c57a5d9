"""A random history of bills, deaths, outages and drills, without a network."""

import asyncio
import random

from tests.support.bills import add_bill, address, billed
from tests.support.forwarding import (
    ManualClock,
    MemorySource,
    ready_daemon,
    table,
)

DAEMON_NAMES = ("d1", "d2", "d3")
# A drill returns from a copy of up to this many steps, and a step takes up to a second.
MAXIMUM_COPY_STEPS = 6
MAXIMUM_OUTAGE_STEPS = 5
# After a death no other follows for this long, so that an owner and all holders of its
# bills never die within the time in which these are written.
DEATH_INTERVAL_SECONDS = 40.0


class BillWalk:
    """Three daemons, of which each holds the bills of both others.

    ``answered`` are the bills whose answers have ended. No datagram is lost.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.source = MemorySource(table=table())
        self.answered = []
        self.incarnations = dict.fromkeys(DAEMON_NAMES, 0)
        self.daemons = {}
        self.died_at = -DEATH_INTERVAL_SECONDS
        self.outage_steps = 0
        self.rewind_after_outage = False
        self.drills = 0
        self.deaths = 0
        for name in DAEMON_NAMES:
            self.start(name)
        self.source.copy()

    def start(self, name):
        self.incarnations[name] += 1
        incarnation = f"{name}-{self.incarnations[name]}"
        daemon = ready_daemon(
            name=name, incarnation=incarnation, source=self.source, clock=self.clock
        )
        daemon.bills.on_bill = lambda copied: self.deliver(
            daemon, daemon.peers.build_bill_copy(copied)
        )
        self.daemons[name] = daemon

    def deliver(self, sender, message):
        for daemon in self.daemons.values():
            if daemon is not sender:
                daemon.peers.apply(message)

    def send_round(self, daemon):
        message = daemon.peers.build()
        message.copied_bills = daemon.bills.copies()
        self.deliver(daemon, message)

    def listed(self):
        return tuple(
            address(name, incarnation=f"{name}-{number}")
            for name, number in self.incarnations.items()
        )

    def step(self):
        """Do one random thing and let up to a second pass."""
        daemon = self.random.choice(list(self.daemons.values()))
        actions = {
            self.answer: 40,
            self.send_round: 15,
            self.flush: 15,
            self.recover: 10,
            self.read: 10,
            self.lose_reply: 3,
            self.begin_outage: 2,
            self.drill: 2,
            self.die: 5,
            self.leave: 1,
        }
        [action] = self.random.choices(list(actions), list(actions.values()))
        action(daemon)
        self.clock.now += self.random.random()
        self.source.copy()
        del self.source.copies[:-MAXIMUM_COPY_STEPS]
        if self.outage_steps:
            self.outage_steps -= 1
            if not self.outage_steps:
                self.end_outage()

    def answer(self, daemon):
        attempt_id = f"a{len(self.answered)}"
        add_bill(daemon, attempt_id)
        self.answered.append(attempt_id)

    def flush(self, daemon):
        asyncio.run(daemon.bills.flush())

    def recover(self, daemon):
        if not self.source.down:
            daemon.era.observe(self.source.era)
            asyncio.run(daemon.bill_replicas.recover_orphans(self.listed()))

    def read(self, daemon):
        if not self.source.down:
            daemon.era.observe(self.source.era)

    def lose_reply(self, daemon):
        self.source.lose_replies += 1

    def begin_outage(self, daemon):
        self.source.down = True
        self.outage_steps = self.random.randint(1, MAXIMUM_OUTAGE_STEPS)
        self.rewind_after_outage = self.random.random() < 0.5

    def end_outage(self):
        self.source.down = False
        if self.rewind_after_outage:
            self.drill(None)

    def drill(self, daemon):
        if not self.source.down:
            self.drills += 1
            self.source.rewind(self.random.randint(1, len(self.source.copies)))

    def may_stop(self):
        return self.clock.now - self.died_at > DEATH_INTERVAL_SECONDS

    def die(self, daemon):
        """Kill a daemon, often around a drill, and start its next incarnation."""
        if self.may_stop():
            self.replace(daemon)
            if self.random.random() < 0.7:
                self.begin_outage(daemon)
                self.rewind_after_outage = True

    def leave(self, daemon):
        """Have a daemon write its bills and exit."""
        if self.may_stop() and not self.source.down:
            asyncio.run(daemon.bill_flusher.flush_before_exit(seconds=1.0))
            self.replace(daemon)

    def replace(self, daemon):
        self.died_at = self.clock.now
        self.deaths += 1
        down = self.source.down
        self.source.down = False
        self.start(daemon.holder.current.instance)
        self.source.down = down

    def settle(self):
        """Let the store stay, all daemons read it, and all bills be written."""
        self.source.down, self.source.lose_replies = False, 0
        for daemon in self.daemons.values():
            self.read(daemon)
            self.send_round(daemon)
        self.clock.now += 6.0
        for daemon in self.daemons.values():
            self.flush(daemon)
            self.recover(daemon)

    def missing(self):
        """Return bills that are not in the ledger, and those that should not be."""
        ledger = billed(self.source)
        return set(self.answered) - ledger.keys(), ledger.keys() - set(self.answered)

    def run(self, steps):
        """Walk and settle every few hundred steps; assert that no bill is missing."""
        for number in range(1, steps + 1):
            self.step()
            if number % 250 == 0 or number == steps:
                self.settle()
                assert self.missing() == (set(), set()), f"step {number}"
