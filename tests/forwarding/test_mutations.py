"""Take each mechanism of forwarding out in turn and see a test notice.

Each row names what is changed and the tests that hold it; they pass as the product is,
since they are part of the suite, and one of them must fail with the change.
"""

import math

import pytest

from linnetladder.forwarding.coordination import (
    bill_upkeep,
    directory,
    forwarder,
    in_force,
    pace,
    peer_news,
    poison,
    quarantine,
    rollout_schedule,
    rollouts,
    selection,
    sender,
)
from linnetladder.forwarding.coordination.bill_upkeep import BillUpkeep
from linnetladder.forwarding.coordination.bills import BillBuffer, HeldBills
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.pace import PaceMeter
from linnetladder.forwarding.coordination.peer_news import PeerNews
from linnetladder.forwarding.coordination.rollouts import Rollouts
from linnetladder.forwarding.coordination.selection import Selection
from linnetladder.forwarding.coordination.sender import Sender
from linnetladder.forwarding.coordination.shared_readings import SharedReadings
from linnetladder.forwarding.protocol import daemon_messages


async def at_once(self):
    """Stand in for a wait that is left out."""


def always(value):
    """Return a method that gives a fixed answer."""
    return lambda *arguments, **options: value


def mean_gap(self):
    self.measured = True
    return sum(self.gaps) / len(self.gaps)


def any_report(self, receivers):
    """Echo the last report heard, whenever it came."""
    return [
        (self.heard[receiver.instance][-1][1], self.heard[receiver.instance][-1][2])
        for receiver in receivers
        if receiver.instance in self.heard
    ]


def newest_sent(self, digest, echoes):
    """Take any peer's word for the present moment."""
    self.confirmed_at = self.clock.monotonic()
    return self.confirmed_at


def confirm_now(self, table, *, read_began):
    self.confirmed_at = self.clock.monotonic()
    if table is not None:
        self.table = table
    return True


MUTATIONS = [
    ("readings_echo", SharedReadings, "echoes", any_report, "shared_readings"),
    ("readings_content", SharedReadings, "confirm", newest_sent, "shared_readings"),
    ("pace_middle_gap", PaceMeter, "_median_gap", mean_gap, "pace"),
    ("pace_short_answers", pace, "MINIMUM_GAPS", 9, "pace"),
    ("rollout_hearing", rollouts, "HEARING_SECONDS", 0.0, "rollouts"),
    ("rollout_lag", rollouts, "ORDER_LAG_SECONDS", -3.0, "rollouts"),
    ("rollout_ahead", rollouts, "AHEAD_SECONDS", 0.0, "rollouts"),
    ("rollout_verdict", Rollouts, "_judge", always(None), "rollouts"),
    ("rollout_suspects", Rollouts, "_is_suspect", always(False), "rollouts"),
    ("rollout_first_half", rollouts, "RAMP_FROM", 0.2, "rollouts"),
    ("rollout_part", rollout_schedule, "RAMP_SHARE", 1.0, "rollouts"),
    ("rollout_news", Rollouts, "learn_bad", always(None), "rollouts"),
    ("slowness", Outcomes, "add_time", always(None), "rollouts"),
    ("holders_silence", peer_news, "HOLDER_SILENCE_SECONDS", math.inf, "bills"),
    ("holders_draining", PeerNews, "_is_alive", always(True), "bills"),
    ("bills_secured", BillUpkeep, "secure", at_once, "bills"),
    ("bills_few_holders", bill_upkeep, "FEW_HOLDERS_SECONDS", 60.0, "bills"),
    ("bills_recovered", HeldBills, "_write", at_once, "bills"),
    ("bills_copied", BillBuffer, "copies", lambda self: None, "bills"),
    ("lapse_grace", directory, "LAPSE_GRACE_SECONDS", 0.0, "directory"),
    ("never_back", TableInForce, "confirm", confirm_now, "admission"),
    ("strict_revocation", TableInForce, "refuse_stale", always(None), "admission"),
    ("absence", in_force, "ABSENCE_MARGIN_SECONDS", -60.0, "admission"),
    ("retry_budget", RetryBudget, "spend", always(True), "attempts"),
    ("repeat_once", Sender, "may_retry", always(True), "attempts"),
    ("poison", poison, "CRASHES_BEFORE_REFUSAL", 99, "attempts"),
    ("reserve", forwarder, "ESCALATION_RESERVE_RETRIES", -99.0, "streams"),
    ("urgency", sender, "urgency", always(5), "streams"),
    ("quarantine", quarantine.Quarantine, "eject", always(None), "quarantine"),
    ("untried", Selection, "candidates", None, "attempts"),
    ("signature", daemon_messages, "_sign", always(b"x" * 16), "news"),
    ("news_in_order", PeerNews, "_is_newest", always(True), "news"),
    ("peer_loads", selection.EndpointLoads, "learn", always(None), "news"),
]


def all_listed(self, inputs):
    """Offer endpoints that were tried already as well."""
    pool = self.directory.pool(inputs.service)
    return [e for e in pool.endpoints if e.listed and not e.leaving]


class Quiet:
    """Keep what a nested run of tests would report."""

    def __init__(self):
        self.failed = 0

    def pytest_runtest_logreport(self, report):
        self.failed += report.failed


def failures(module, capsys):
    """Run a module's tests and return how many fail, one at most."""
    quiet = Quiet()
    path = __file__.replace("test_mutations.py", f"test_{module}.py")
    arguments = ["-q", "-x", "-p", "no:cacheprovider", "--no-header", path]
    pytest.main(arguments, plugins=[quiet])
    capsys.readouterr()
    return quiet.failed


@pytest.mark.parametrize("module", sorted({mutation[4] for mutation in MUTATIONS}))
def test_nothing_fails_without_a_change(capsys, module):
    assert failures(module, capsys) == 0


@pytest.mark.parametrize(
    ("name", "owner", "attribute", "value", "module"),
    MUTATIONS,
    ids=[mutation[0] for mutation in MUTATIONS],
)
def test_a_mechanism_that_is_missing_is_noticed(
    monkeypatch, capsys, name, owner, attribute, value, module
):
    monkeypatch.setattr(owner, attribute, value if value is not None else all_listed)
    assert failures(module, capsys), f"nothing in test_{module}.py notices {name}"
