"""While room is short, accounts that use more than their share are refused first."""

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.account_shares import OTHERS
from linnetladder.forwarding.coordination.room import ServiceTimes
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from linnetladder.forwarding.state import RequestKind
from tests.support.forwarding import MemorySource, head, ready_daemon, route, table
from tests.support.loaded_fleet import ACCOUNTS, LoadedFleet

HEAVY, *USUAL = ACCOUNTS
BEGAN = 2.0
SETTLED = 6.0
ENDED = 14.0


# Guards against an account that takes the room of all others.
def test_one_account_sending_ten_times_its_usual_does_not_crowd_out_others():
    fleet = LoadedFleet()
    fleet.run(
        *(fleet.load(0.2, first=0.1, last=ENDED, account=name) for name in ACCOUNTS),
        fleet.load(1.8, first=BEGAN, last=ENDED, account=HEAVY),
    )
    for name in USUAL:
        assert fleet.served_share(BEGAN, ENDED, account=name) >= 0.9
    assert fleet.served_per_second(SETTLED, ENDED) >= 0.9 * fleet.capacity
    heavy = fleet.served_per_second(SETTLED, ENDED, account=HEAVY)
    assert heavy >= 0.25 * fleet.capacity


# Guards against room that stays unused because of a share.
def test_one_account_gets_what_others_leave():
    fleet = LoadedFleet()
    fleet.run(
        fleet.load(0.03, first=0.1, last=ENDED, account=USUAL[0]),
        fleet.load(4.0, first=BEGAN, last=ENDED, account=HEAVY),
    )
    assert fleet.served_per_second(SETTLED, ENDED) >= 0.9 * fleet.capacity
    assert fleet.served_share(BEGAN, ENDED, account=USUAL[0]) >= 0.95


# Guards against accounts that get more because they have sent first, or by chance.
@pytest.mark.parametrize("times", [4, 10])
def test_burst_of_equal_accounts_is_shared_equally(times):
    fleet = LoadedFleet()
    fleet.run(
        *(
            fleet.load(times / 4, first=BEGAN, last=30.0, account=name)
            for name in ACCOUNTS
        )
    )
    rates = [fleet.served_per_second(SETTLED, 30.0, account=a) for a in ACCOUNTS]
    mean = sum(rates) / len(rates)
    assert all(rate == pytest.approx(mean, rel=0.1) for rate in rates)


def short_daemon():
    """Return a daemon whose desks have a wait of 1.1 s, and two accounts."""
    accounts = (("studio", "key-1"), ("press", "key-2"), ("radio", "key-3"))
    routes = (
        route("fetch", kind=RequestKind.IDEMPOTENT),
        route("urgent", kind=RequestKind.IDEMPOTENT, priority=0),
    )
    source = MemorySource(table=table(accounts=accounts, routes=routes))
    daemon = ready_daemon(source=source)
    daemon.loads.daemons = 2
    daemon.peers.room.times["desk"] = ServiceTimes(held=1.0, answers=20)
    daemon.loads.learn("daemon-2", {"desk-1": (16, 0.0), "desk-2": (16, 0.0)})
    return daemon


def use(daemon, **seconds):
    daemon.peers.shares.learn("daemon-2", [("desk", a, s) for a, s in seconds.items()])


def test_account_over_twice_its_share_is_refused_as_not_run():
    """Guards against a shortage that all accounts bear alike."""
    daemon = short_daemon()
    use(daemon, studio=30.0, press=5.0, radio=5.0)
    refusal = daemon.answer(head("/fetch/1")).refusal
    assert (refusal.kind, refusal.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    assert refusal.retry_after_seconds > 0
    assert daemon.metrics.value("shed", label="share") == 1
    assert daemon.answer(head("/fetch/1", key="key-2")).status == 200
    assert daemon.answer(head("/urgent/1")).status == 200


def test_account_over_its_share_is_admitted_while_there_is_room():
    """Guards against shares that act although nobody waits."""
    daemon = short_daemon()
    use(daemon, studio=30.0, press=5.0, radio=5.0)
    daemon.loads.learn("daemon-2", {"desk-1": (15, 0.0), "desk-2": (15, 0.0)})
    assert daemon.answer(head("/fetch/1")).status == 200


def test_account_alone_or_within_twice_its_share_is_admitted():
    """Guards against refusals of an account that nobody else suffers from."""
    daemon = short_daemon()
    use(daemon, studio=30.0)
    assert daemon.answer(head("/fetch/1")).status == 200
    daemon.clock.now += 0.2
    use(daemon, studio=30.0, press=15.0, radio=15.0)
    assert daemon.answer(head("/fetch/1")).status == 200


def test_use_is_reported_while_endpoints_are_full():
    """Guards against accounts that divide their requests among daemons."""
    daemon = short_daemon()
    for number in range(3):
        daemon.answer(head("/fetch/1", attempt_id=f"a{number}"))
    for number in range(6):
        daemon.peers.shares.note_admitted("desk", f"account-{number}", 0.1)
    datagram = encode_message(daemon.peers.build(), secret=b"secret")
    report = decode_message(datagram, secret=b"secret").report
    uses = {account: use for _, account, use in report.uses}
    assert uses["studio"] == pytest.approx(3.0, abs=0.01)
    assert uses[OTHERS] == pytest.approx(0.3, abs=0.01)
    assert len(uses) == 5
    daemon.clock.now += 4.0
    assert daemon.peers.build().report.uses == []
