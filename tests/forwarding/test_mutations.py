"""Mutation tests: with each mechanism of forwarding disabled, some test must fail.

A row of the table gives the mutation and the test module that covers it. The module's
tests pass without the mutation, since they are part of the suite, and at least one of
them must fail with it.
"""

import dataclasses
import math

import aiohttp
import pytest

from linnetladder.coordination import permit_schedule, permit_slots
from linnetladder.forwarding.coordination import (
    account_shares,
    admission,
    attempt_refusals,
    availability,
    bill_flushing,
    bill_replicas,
    bills,
    brittleness,
    budget,
    caller_buffers,
    crash_trials,
    directory,
    endpoint_load,
    endpoint_paces,
    endpoint_pauses,
    escalation_gain,
    evacuations,
    forwarder,
    in_force,
    load_admission,
    memory_account,
    outcomes,
    pace,
    peer_gossip,
    poison,
    quarantine,
    read_groups,
    reading_speeds,
    report_news,
    request_limits,
    rollout_orders,
    rollout_records,
    rollout_schedule,
    rollouts,
    selection,
    sender,
    shared_reads,
    shared_snapshots,
    slot_ledger,
    slot_reservations,
    store_polling,
)
from linnetladder.forwarding.coordination.account_shares import AccountShares
from linnetladder.forwarding.coordination.availability import (
    EndpointAvailability,
    ObstacleReason,
)
from linnetladder.forwarding.coordination.bill_flushing import BillFlusher
from linnetladder.forwarding.coordination.bill_replicas import BillReplicas, HeldBlock
from linnetladder.forwarding.coordination.bills import BillBuffer
from linnetladder.forwarding.coordination.brittleness import Brittleness
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.byte_budget import ByteBudget
from linnetladder.forwarding.coordination.caller_buffers import CallerBuffers
from linnetladder.forwarding.coordination.crash_confirmation import CrashConfirmation
from linnetladder.forwarding.coordination.crash_records import CrashRecords
from linnetladder.forwarding.coordination.crash_trials import CrashTrials
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_paces import EndpointPaces
from linnetladder.forwarding.coordination.endpoint_pauses import EndpointPauses
from linnetladder.forwarding.coordination.escalation_gain import EscalationGain
from linnetladder.forwarding.coordination.evacuations import Evacuations
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.homes import Homes
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.load_admission import LoadAdmission
from linnetladder.forwarding.coordination.memory_account import MemoryAccount
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.pace import PaceMeter
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.peer_paths import PeerPaths
from linnetladder.forwarding.coordination.planned_stop import PlannedStop
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.read_groups import ReadGroups
from linnetladder.forwarding.coordination.reading_speeds import ReadingSpeeds
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.coordination.rollout_orders import OrderBook
from linnetladder.forwarding.coordination.rollout_records import RecordBook
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.selection import Selection
from linnetladder.forwarding.coordination.sender import Sender
from linnetladder.forwarding.coordination.service_demand import ServiceDemand
from linnetladder.forwarding.coordination.shared_secret import SharedSecret
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.slot_reservations import SlotReservations
from linnetladder.forwarding.coordination.sources import StoreSnapshot
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.coordination.store_polling import StorePoller
from linnetladder.forwarding.protocol import daemon_messages, relaying
from linnetladder.forwarding.protocol.daemon_messages import CopiedBills
from linnetladder.forwarding.state import RolloutOrder
from linnetladder.forwarding.transport import (
    PeerSocket,
    body_reader,
    endpoint_calls,
    relay_server,
)
from linnetladder.forwarding.transport.caller_server import HttpReply
from linnetladder.forwarding.transport.endpoint_calls import HttpExchange
from linnetladder.forwarding.transport.guarded_server import (
    GuardedHandler,
    GuardedServer,
)
from linnetladder.platform import PlatformSource, headers, source
from linnetladder.protocol.response_heads import ResponseHeadReader
from linnetladder.transport import responses
from linnetladder.transport.responses import StrictResponseHandler


async def skip_wait(self):
    """Replace a method that waits by one that returns at once."""


def always(value):
    """Return a method that returns a fixed value."""
    return lambda *arguments, **options: value


ERA_ROLLOUTS = "store_eras_rollouts"
CRASHING = "crashing_prompts"
TRIALS = "crash_trials"
CLIENTS = "client_limits"
CUT = "cut_off_daemons"
BRITTLE = "brittle_endpoints"
RELAYING = "relaying"
GAIN = "escalation_gain"
EVACUATED = "evacuations"
HOMES = "homes"
SPEEDS = "reading_speeds"
COLD = "cold_endpoints"
SLOW = "caller_buffers"

revision_alone = property(lambda self: self.revision)
write_rollout = source.PlatformSource.write_rollout


snapshot_position = StoreSnapshot.position.fget
content_digest = shared_snapshots.content_digest
obstacle = EndpointAvailability.obstacle


def position_read(self, snapshot, heard):
    """Return the position of what a read returned, whatever peers had named."""
    return snapshot.position


def without_evacuations(snapshot):
    """Return a snapshot of the store that lacks evacuated failure domains."""
    return dataclasses.replace(snapshot, evacuated_domains=())


def digest_without_evacuations(snapshot):
    """Return a digest that doesn't cover evacuations."""
    return content_digest(without_evacuations(snapshot))


old_position = property(lambda self: snapshot_position(without_evacuations(self)))


def obstacle_of_available(self, endpoint):
    """Return the obstacle of an endpoint, except for an evacuation."""
    found = obstacle(self, endpoint)
    evacuated = found is not None and found.reason is ObstacleReason.EVACUATED
    return None if evacuated else found


def accepts_if_listed(self, endpoint):
    """Accept a connected call, evacuated or not."""
    accepts = endpoint.listed and not endpoint.leaving
    return accepts and not self.pauses.seconds_left(endpoint)


may_reach = PeerPaths.may_reach
choose_peer = PeerPaths.choose


def allow_peer_in_homes(self, homes, peer):
    """Allow peers of the homes only, not those of the own region."""
    return homes is None or self._region(peer.failure_domain) in homes


def region_or_nothing(self, failure_domain):
    """Return the same for all failure domains without a region."""
    return self.settings.current.regions.get(failure_domain, "")


def homes_of_route(route, account):
    """Return the homes of the route alone."""
    return route.allowed_regions or None


def homes_of_account(route, account):
    """Return the homes of the client account alone."""
    return (account.allowed_regions or None) if account is not None else None


def reached_through_any(self, endpoint, *, homes=None):
    """Count peers of any region as a way to an endpoint."""
    return may_reach(self, endpoint)


def choose_any(self, key, endpoint, *, homes=None):
    """Return a peer of any region."""
    return choose_peer(self, key, endpoint)


def send_if_accepted(self, request, endpoint):
    """Send a connected call whatever the regions of the settings are now."""
    if self._refuse_crashing(request) is not None:
        return False
    return self.availability.still_accepts(endpoint)


def allowed_by_rule(self, inputs):
    """Return endpoints of the homes without those of other versions."""
    allowed = [
        e
        for e in self.directory.pool(inputs.service).endpoints
        if inputs.rule.allows(e)
    ]
    return self._in_homes(allowed, inputs) if inputs.homes is not None else allowed


def release_after_grace(self, records):
    """Accept waiting orders after the grace only."""
    for order in list(self.waiting.values()):
        if not self.in_grace():
            self._accept(order)


def names_alias(self, record, *, known):
    """Match a record by the positions of the order alone."""
    return record.order_position in self.aliases.get(record.service, ())


async def write_over_any_era(self, record):
    """Write without comparing the record's era with the store's."""
    era = self.store.era.current
    return await write_rollout(self, dataclasses.replace(record, era=era))


def copy_without_dropped(self, blocks):
    """Send copies of bills without the numbers of the dropped blocks."""
    return CopiedBills(written=self.written, era=self.era.current, blocks=blocks)


def copy_of_any_era(self, blocks):
    """Claim that the written blocks are in the store in the highest era."""
    return CopiedBills(
        written=self.written, era=99, dropped=list(self.dropped), blocks=blocks
    )


def add_silently(self, bills):
    """Add bills to a written block without making it unwritten."""
    self.bills.update(bills)


def share_at_a_limit(wait, enough_wait, latest_wait):
    """Escalate every response or none, by one limit on the wait."""
    return float(wait < (enough_wait + latest_wait) / 2)


def forget_oldest(self):
    """Forget the oldest suspect, however many crashes it has."""
    self.crash_times.popitem(last=False)


def answer_without_time(self, suspects, *, sent_at=None):
    """Let an answer clear its suspects, whenever its request was sent."""
    for suspect in suspects:
        self._record_answer(suspect, self.clock.monotonic())


def through_peers(self, inputs):
    """Return endpoints that are reached through peers before all others."""
    usable = [e for e in self.allowed(inputs) if e.name not in inputs.tried_endpoints]
    return sorted(usable, key=lambda e: not self.availability.is_unreachable(e))[:1]


async def blame_endpoint(self, request, endpoint, fault, with_parts):
    """Put a failure on the way through a peer down to the endpoint."""
    fault.relay = ""
    await self._record_fault(request, endpoint, fault)


async def confirm_always(self, endpoint):
    """Take each endpoint that refuses connections for crashed."""
    return True


def mean_gap(self):
    self.measured = True
    return sum(self.gaps) / len(self.gaps)


def echo_latest_report(self, receivers):
    """Echo the last report received, even if it came after the read began."""
    return [
        (
            self.received_reports[receiver.instance][-1][1],
            self.received_reports[receiver.instance][-1][2],
        )
        for receiver in receivers
        if receiver.instance in self.received_reports
    ]


def confirm_any_digest(self, digest, echoes):
    """Accept any peer's report as a confirmation as of now."""
    self.confirmed_at = self.clock.monotonic()
    return self.confirmed_at


def confirm_now(self, table, *, began):
    self.confirmed_at = self.clock.monotonic()
    if table is not None:
        self.table = table
    return True


def every_slot(members):
    """Give each daemon all slots."""
    return dict.fromkeys(members, tuple(range(permit_slots.CYCLE_SLOTS)))


def find_incarnation(self, name, incarnation):
    """Find an endpoint only if it is the process that is known here."""
    endpoint = self.directory.table.endpoints.get(name)
    same = endpoint is not None and endpoint.incarnation == incarnation
    return endpoint if same else None


def skip_permit(self):
    """Go on to the next permit without recording that this one is used."""
    self.next_permit = self._first_own(self.next_permit + 1)


def any_pause(self, endpoint):
    """Return a pause of any incarnation."""
    return self.pauses.get(endpoint.name)


def load_without_tokens(self, request, endpoint, model):
    """Record the load of a request as if it occupied no memory."""
    return self.loads.begin(endpoint, model=model, tokens=0)


def same_share(share, relative_use):
    """Return the same share of requests for each account."""
    return share


def pass_head(self, data):
    """Pass a head on as it is."""
    self.complete = True
    return data


MUTATIONS = [
    (
        "snapshots_echo",
        SharedSnapshots,
        "echoes",
        echo_latest_report,
        "shared_snapshots",
    ),
    (
        "snapshots_content",
        SharedSnapshots,
        "confirm",
        confirm_any_digest,
        "shared_snapshots",
    ),
    ("pace_median_gap", PaceMeter, "_median_gap", mean_gap, "pace"),
    ("pace_short_streams", pace, "MINIMUM_GAPS", 9, "pace"),
    ("rollout_peer_report_wait", rollouts, "PEER_REPORT_WAIT_SECONDS", 0.0, "rollouts"),
    ("rollout_order_lag", rollouts, "ORDER_LAG_SECONDS", -3.0, "rollouts"),
    ("rollout_activation_delay", rollouts, "ACTIVATION_DELAY_SECONDS", 0.0, "rollouts"),
    (
        "rollout_detection",
        RolloutController,
        "_detect_bad_target",
        always(None),
        "rollouts",
    ),
    ("rollout_suspects", RolloutController, "_is_suspect", always(False), "rollouts"),
    ("rollout_ramp_start", rollouts, "RAMP_START_FRACTION", 0.2, "rollouts"),
    ("rollout_ramp_share", rollout_schedule, "RAMP_SESSION_SHARE", 1.0, "rollouts"),
    (
        "rollout_peer_reports",
        RolloutController,
        "add_bad_targets",
        always(None),
        "rollouts",
    ),
    ("era_same_order", OrderBook, "_is_same", always(False), ERA_ROLLOUTS),
    ("era_earlier_order", OrderBook, "_is_earlier", always(False), ERA_ROLLOUTS),
    ("era_grace", rollout_orders, "RESTORE_GRACE_SECONDS", 0.0, ERA_ROLLOUTS),
    ("era_grace_end", rollout_orders, "RESTORE_GRACE_SECONDS", 99.0, ERA_ROLLOUTS),
    ("era_peer_accepted", OrderBook, "release", release_after_grace, ERA_ROLLOUTS),
    ("era_adopted_identity", OrderBook, "adopt_identity", always(None), ERA_ROLLOUTS),
    ("era_named_order", OrderBook, "names", names_alias, ERA_ROLLOUTS),
    ("era_identity", RolloutOrder, "identity", revision_alone, ERA_ROLLOUTS),
    ("era_lost_record", RecordBook, "lost_record", always(None), ERA_ROLLOUTS),
    ("era_record_rank", rollout_records, "_is_behind", always(False), ERA_ROLLOUTS),
    ("era_newer_order", RecordBook, "shows_newer_order", always(False), ERA_ROLLOUTS),
    (
        "era_new_step",
        RolloutController,
        "_awaits_restoration",
        always(False),
        ERA_ROLLOUTS,
    ),
    (
        "era_conditional_write",
        source.PlatformSource,
        "write_rollout",
        write_over_any_era,
        ERA_ROLLOUTS,
    ),
    ("slowness", Outcomes, "add_duration", always(None), "rollouts"),
    ("holders_timeout", peer_gossip, "HOLDER_TIMEOUT_SECONDS", math.inf, "bills"),
    ("holders_draining", PeerGossip, "_is_alive", always(True), "bills"),
    ("bills_durable", BillFlusher, "ensure_durable", skip_wait, "bills"),
    (
        "bills_few_holders",
        bill_flushing,
        "FEW_HOLDERS_FLUSH_INTERVAL_SECONDS",
        60.0,
        "bills",
    ),
    ("bills_recovered", BillReplicas, "_write", skip_wait, "bills"),
    ("bills_copied", BillBuffer, "copies", lambda self: None, "bills"),
    ("bills_dropped", BillBuffer, "_copied", copy_without_dropped, "bills"),
    ("bills_third_holder", bill_flushing, "EXTRA_HOLDERS", 0, "bills"),
    ("bills_regained", BillFlusher, "on_store_regained", always(None), "bills"),
    ("bills_held_late", HeldBlock, "add", add_silently, "bills"),
    ("bills_rewritten", BillBuffer, "restart", always(None), "bill_eras"),
    ("bills_rewritten_soon", BillFlusher, "on_era", always(None), "bill_eras"),
    ("bills_retained", bills, "RETENTION_SECONDS", -1.0, "bill_eras"),
    ("bills_bounded", BillBuffer, "_retain", always(None), "bill_eras"),
    ("bills_era", BillBuffer, "_copied", copy_of_any_era, "bill_eras"),
    ("bills_rechecked", BillBuffer, "recheck", always(None), "bill_eras"),
    ("copies_rewritten", BillReplicas, "restart", always(None), "bill_eras"),
    ("bills_handed_over", bill_flushing, "RETENTION_SECONDS", -1.0, "bill_eras"),
    ("copies_passed_on", BillReplicas, "orphan_copies", always([]), "bill_eras"),
    ("copies_retained", bill_replicas, "RETENTION_SECONDS", -1.0, "bill_eras"),
    ("lapse_grace", directory, "LAPSE_GRACE_SECONDS", 0.0, "directory"),
    ("peer_reads", EndpointDirectory, "learn_reads", always(None), "directory"),
    ("peer_reads_gaps", directory, "GAP_EXCESS_SECONDS", 60.0, "directory"),
    ("gone_entries", EndpointDirectory, "_is_gone", always(False), "store_era"),
    ("era_grace", directory, "LAPSE_GRACE_SECONDS", 0.0, "store_era"),
    ("configuration_order", TableInForce, "confirm_read", confirm_now, "admission"),
    ("configuration_version", TableInForce, "note_version", always(None), "store_era"),
    ("configuration_doubt", in_force, "ERA_DOUBT_SECONDS", 0.0, "store_era"),
    ("strict_revocation", TableInForce, "refuse_stale", always(None), "admission"),
    ("absence_margin", in_force, "ABSENCE_MARGIN_SECONDS", -60.0, "admission"),
    ("retry_budget", RetryBudget, "spend", always(True), "attempts"),
    ("retry_limits", Sender, "may_retry", always(True), "attempts"),
    ("planned_stop", PlannedStop, "allows", always(True), "planned_stop"),
    ("completion", rollouts, "COMPLETION_EVIDENCE", 1e9, "rollouts"),
    ("poison", poison, "CRASHES_BEFORE_REFUSAL", 99, "attempts"),
    ("poison_parts", poison, "CRASHES_BEFORE_PART_REFUSAL", 99, CRASHING),
    ("poison_before_call", CrashTrials, "refuse", always(None), CRASHING),
    ("poison_expiry", poison, "NEW_PART_PAUSES_SECONDS", (20.0,), CRASHING),
    ("poison_answers", CrashLog, "_is_refuted", always(False), CRASHING),
    ("poison_clearance", CrashLog, "_tell_cleared", always(None), CRASHING),
    ("poison_explained", CrashLog, "_is_explained", always(False), CRASHING),
    ("poison_whole", poison, "CRASHES_OF_CAUSE", 99, TRIALS),
    ("poison_day", poison, "CRASH_EXPIRY_SECONDS", 600.0, TRIALS),
    ("poison_forgotten", CrashLog, "_forget_one", forget_oldest, TRIALS),
    ("poison_sent", CrashLog, "learn_answer", answer_without_time, TRIALS),
    ("trials_one", CrashTrials, "_grant", always(True), TRIALS),
    ("trials_end", CrashTrials, "_end", always(None), TRIALS),
    ("trials_new_part", poison, "NEW_PART_PAUSES_SECONDS", (600.0,), TRIALS),
    ("trials_wait", crash_trials, "TRIAL_WAIT_SHARE", 0.0, TRIALS),
    ("trials_news", crash_trials, "NEWS_SECONDS", 0.0, TRIALS),
    ("trials_arbiters", crash_trials, "TRIES", 0, TRIALS),
    ("trials_pauses", CrashLog, "_failed_trials", always(0), TRIALS),
    ("trials_outage", CrashLog, "_is_outage", always(False), TRIALS),
    ("trials_joint", poison, "JOINT_TRIAL_SECONDS", 0.0, TRIALS),
    ("poison_late", sender, "CRASH_AFTER_FIRST_EVENT_SECONDS", 60.0, CRASHING),
    ("poison_findings", PeerGossip, "_findings", always([]), CRASHING),
    ("poison_records", CrashRecords, "update", always(None), CRASHING),
    ("peer_paths", EndpointAvailability, "is_reached_by_peers", always(False), CUT),
    ("peer_paths_first", Selection, "eligible", through_peers, CUT),
    ("peer_restarts", PeerPaths, "_still_counts", always(True), CUT),
    ("pace_returned", EndpointPaces, "note_domain_returned", always(None), COLD),
    ("read_groups", ReadGroups, "reader", always(None), "shared_reads"),
    ("read_failures", ReadGroups, "note_failure", always(None), "shared_reads"),
    ("read_timeout", shared_reads, "ANSWER_TIMEOUT_SECONDS", 5.0, "shared_reads"),
    ("read_group_size", read_groups, "GROUP_SIZE", 99, "shared_reads"),
    ("peer_failures", PeerPaths, "peer_failed", always(None), CUT),
    ("peer_endpoints", PeerPaths, "endpoint_failed", always(None), CUT),
    ("peer_draining", PeerPaths, "_is_usable", always(True), CUT),
    ("peer_at_once", Sender, "_may_try_through_peer", always(False), CUT),
    ("peer_blame", Sender, "_record_relayed_fault", blame_endpoint, CUT),
    ("peer_confirmation", CrashConfirmation, "confirm", confirm_always, CUT),
    ("check_others", quarantine.Quarantine, "_check_others_soon", always(None), CUT),
    ("relay_signature", relaying, "_sign", always("x"), CUT),
    ("relay_headers", relay_server, "RELAY_HEADERS", frozenset(), RELAYING),
    ("brittle_full", SlotReservations, "seconds_until_room", always(0.0), BRITTLE),
    ("brittle_slots", SlotReservations, "_own_slots", always(2), BRITTLE),
    ("brittle_account", slot_ledger.SlotAccount, "in_use", always(0), BRITTLE),
    ("brittle_learning", slot_ledger, "LEARNING_SHARE", 1.0, BRITTLE),
    ("brittle_unsure", slot_ledger, "LEARNING_SECONDS", 9.0, BRITTLE),
    ("brittle_rejections", slot_ledger, "REJECTION_SHARE", 2.0, BRITTLE),
    ("brittle_ceiling", slot_ledger, "CEILING_SECONDS", 0.0, BRITTLE),
    ("brittle_ended", SlotReservations, "tell_arbiters", always(None), BRITTLE),
    ("brittle_pause", slot_reservations, "REJECTION_PAUSE_SECONDS", 0.0, BRITTLE),
    ("brittle_given_up", slot_reservations, "GIVEN_UP_SECONDS", 0.0, BRITTLE),
    ("brittle_news", Brittleness, "learn_report", always(None), BRITTLE),
    ("brittle_expiry", brittleness, "SERVICE_EXPIRY_SECONDS", 60.0, BRITTLE),
    ("brittle_header", headers, "SERVER_BRITTLE", "Unknown", BRITTLE),
    ("escalation_reserve", budget, "MAXIMUM_RESERVED_RETRIES", -99.0, "streams"),
    ("escalation_tolerance", EscalationGain, "learn_answer", always(None), GAIN),
    ("escalation_learned", Forwarder, "_learn_escalation", always(None), GAIN),
    ("escalation_share", budget, "RESERVED_SHARE", 99.0, "escalation_gain"),
    ("gain_short", EscalationGain, "is_short", always(False), GAIN),
    ("gain_share", escalation_gain, "_escalated_share", share_at_a_limit, GAIN),
    ("gain_rank", EscalationGain, "_rank", always(0.5), GAIN),
    ("gain_hysteresis", escalation_gain, "ENOUGH_WAIT_SHARE", 0.25, GAIN),
    ("gain_held", escalation_gain, "HELD_TOKEN_WEIGHT", 1.0, GAIN),
    ("gain_equal", escalation_gain, "GOLDEN_RATIO", 0.0, GAIN),
    ("gain_holders", Selection, "is_held", always(False), GAIN),
    ("fallback", Forwarder, "_fall_back", always(False), GAIN),
    ("fallback_attempt", sender, "_is_last_for_fallback", always(False), GAIN),
    ("fallback_time", sender, "FALLBACK_TIME_FACTOR", 0.0, GAIN),
    ("clients_memory", MemoryAccount, "fits", always(True), CLIENTS),
    ("clients_read_ahead", MemoryAccount, "take_read_ahead", always(True), CLIENTS),
    ("clients_garbage", memory_account, "COLLECTION_SHARE", 99.0, CLIENTS),
    ("clients_stalled", body_reader, "STALLED_SECONDS", 99.0, CLIENTS),
    ("clients_times", GuardedServer, "check_times", always(None), CLIENTS),
    ("clients_heads", GuardedHandler, "_exceeds_head_limit", always(False), CLIENTS),
    ("clients_room", GuardedServer, "_make_room", always(False), CLIENTS),
    ("callers_bounds", CallerBuffers, "_tolerated_seconds", always(math.inf), SLOW),
    ("callers_stalled", caller_buffers, "STALLED_SECONDS", 0.0, SLOW),
    ("callers_alone", caller_buffers, "CALLER_STALLED_SECONDS", 60.0, SLOW),
    ("callers_progress", HttpReply, "_unacknowledged_bytes", always(0), SLOW),
    ("callers_read_ahead", HttpExchange, "read_ahead_bytes", always(0), SLOW),
    ("urgency", sender, "urgency", always(5), "streams"),
    ("quarantine", quarantine.Quarantine, "eject", always(None), "quarantine"),
    ("untried_endpoints", Selection, "candidates", None, "attempts"),
    ("signature", daemon_messages, "sign", always(b"x" * 16), "peer_gossip"),
    ("era_from_peers", StoreEra, "observe", always(True), "store_era"),
    ("era_peers", peer_gossip, "PEER_GRACE_SECONDS", -1.0, "store_era"),
    ("era_read_jitter", store_polling, "ERA_READ_JITTER_SECONDS", 0.0, "store_era"),
    (
        "era_registration",
        store_polling,
        "REGISTRATION_RETRY_SECONDS",
        0.0,
        "store_era",
    ),
    (
        "era_of_record",
        PlatformSource,
        "_is_of_ended_era",
        always(False),
        "platform",
    ),
    ("era_secret", SharedSecret, "_request_check", always(None), "platform"),
    ("secret_regained", SharedSecret, "on_store_regained", always(None), "platform"),
    ("secret_before", PeerSocket, "_previous_is_valid", always(False), "peer_gossip"),
    ("report_order", PeerGossip, "_accept_if_newer", always(True), "peer_gossip"),
    ("report_budget", ByteBudget, "spend", always(True), "reports"),
    ("report_news", report_news, "NEWS_SECONDS", -1.0, "reports"),
    ("report_own_rows", outcomes, "OWN_ROWS_PER_GROUP", 0, "reports"),
    ("report_rotation", PeerGossip, "record_sent", always(None), "reports"),
    ("limits_permits", RequestLimits, "may_send", always(True), "request_limits"),
    ("limits_taken", RequestLimits, "take", always(True), "request_limits"),
    ("limits_waits", sender, "PERMIT_WAIT_SHARE", 0.0, "request_limits"),
    ("limits_reported", RequestLimits, "learn_report", always(None), "request_limits"),
    ("limits_news", request_limits, "NEWS_SECONDS", -1.0, "request_limits"),
    ("limits_unlisted", peer_gossip, "MEMBER_TTL_SECONDS", -1.0, "request_limits"),
    ("limits_clock", request_limits, "CLOCK_STEP_SECONDS", 1e9, "request_limits"),
    ("limits_escalation", Sender, "can_send_now", always(True), "request_limits"),
    ("limits_expiry", permit_schedule, "LIFETIME_SECONDS", 9.0, "request_limits"),
    ("limits_rate", permit_schedule, "MINIMUM_RATE", 9.0, "request_limits"),
    ("limits_size", request_limits, "MAXIMUM_PER_SECOND", 1e300, "request_limits"),
    ("limits_decimals", request_limits, "LIMIT_DECIMALS", 9, "request_limits"),
    ("limits_lines", request_limits, "LOG_INTERVAL_SECONDS", 0.0, "request_limits"),
    ("cold_paces", EndpointPaces, "pace_of", always(None), COLD),
    ("cold_ceiling", EndpointPaces, "_ceiling", always(None), COLD),
    ("cold_sustained", endpoint_paces, "SUSTAINED_SHARE", 1.0, COLD),
    ("cold_lifetime", request_limits, "PERMIT_LIFETIME_SECONDS", 1.0, COLD),
    ("cold_slots", request_limits, "assign_slots", every_slot, COLD),
    ("cold_unknown", request_limits, "UNKNOWN_SHARE", 1.0, COLD),
    ("cold_entries", EndpointPaces, "note_registered", always(None), COLD),
    ("cold_answers", headers, "COLD", "X-None", COLD),
    ("cold_answers_learnt", EndpointPaces, "learn_head", always(None), COLD),
    ("cold_returns", EndpointPaces, "note_returned", always(None), COLD),
    ("cold_reports", EndpointPaces, "learn_report", always(None), COLD),
    ("cold_growth", endpoint_paces, "GROWTH_FACTOR", 1.0, COLD),
    ("cold_reduction", endpoint_paces, "REDUCTION_FACTOR", 1.0, COLD),
    ("cold_steps", endpoint_paces, "STEP_SECONDS", 0.0, COLD),
    ("cold_reserved", permit_slots.SlotSchedule, "_use_next", skip_permit, COLD),
    ("cold_connection", RequestLimits, "still_permitted", always(True), COLD),
    ("cold_first_read", EndpointPaces, "_reads_begin", always(False), COLD),
    ("cold_presumed", EndpointPaces, "note_ejected", always(None), COLD),
    ("cold_paused", EndpointPaces, "note_paused", always(None), COLD),
    ("cold_other_life", EndpointPaces, "_find", find_incarnation, COLD),
    ("leaving_read", headers, "SERVER_LEAVING", "X-None", "endpoint_notices"),
    (
        "leaving_kept",
        EndpointDirectory,
        "mark_leaving",
        always(None),
        "endpoint_notices",
    ),
    ("pauses_read", headers, "RETRY_AFTER", "X-None", "endpoint_notices"),
    ("pauses_kept", EndpointPauses, "_record", always(None), "endpoint_notices"),
    (
        "pauses_exclude",
        EndpointAvailability,
        "is_excluded",
        always(False),
        "endpoint_notices",
    ),
    (
        "pauses_on_connection",
        EndpointAvailability,
        "still_accepts",
        always(True),
        "endpoint_notices",
    ),
    ("pauses_incarnation", EndpointPauses, "_pause", any_pause, "endpoint_notices"),
    ("pauses_slow_start", endpoint_pauses, "SLOW_START_END", 1, "endpoint_notices"),
    (
        "pauses_huge",
        endpoint_pauses,
        "MAXIMUM_PAUSE_SECONDS",
        math.inf,
        "endpoint_notices",
    ),
    ("pauses_waited", sender, "PAUSE_REASONS", frozenset(), "endpoint_notices"),
    (
        "pauses_named",
        attempt_refusals,
        "TIMED_REASONS",
        frozenset(),
        "endpoint_notices",
    ),
    (
        "endless_framing",
        responses,
        "MAXIMUM_FRAMING_BYTES",
        math.inf,
        "endless_bytes",
    ),
    ("heads_unread", ResponseHeadReader, "feed", pass_head, "peer_answers"),
    ("ends_any", StrictResponseHandler, "_fail_body", always(None), "transport"),
    ("endless_events", forwarder, "MAXIMUM_EVENT_BYTES", math.inf, "endless_bytes"),
    (
        "withdrawn_unsent",
        endpoint_calls.EndpointConnector,
        "connect",
        aiohttp.TCPConnector.connect,
        "transport",
    ),
    ("shares_over", AccountShares, "is_over", always(False), "account_shares"),
    ("shares_reported", AccountShares, "export", always([]), "account_shares"),
    ("shares_learned", AccountShares, "learn", always(None), "account_shares"),
    ("shares_equal", load_admission, "share_for", same_share, "account_shares"),
    ("shares_factor", account_shares, "OVERUSE_FACTOR", 1.0, "account_shares"),
    ("load_admission", LoadAdmission, "refuse", always(None), "load_admission"),
    ("load_heard", load_admission, "MINIMUM_HEARD", 0.0, "load_admission"),
    ("load_margin", load_admission, "CLEAR_MARGIN", 0.3, "load_admission"),
    ("load_spread", load_admission, "retry_after", always(1.0), "load_admission"),
    ("load_shedding", LoadAdmission, "_end_shedding", always(None), "load_admission"),
    ("load_demand", ServiceDemand, "learn", always(None), "load_admission"),
    ("load_full", LoadAdmission, "is_full", always(False), "load_admission"),
    ("load_herd", Selection, "_all_are_full", always(False), "load_admission"),
    ("room_selection", EndpointRoom, "fits", always(True), "room"),
    ("room_reported", PeerGossip, "_token_rows", always([]), "room"),
    ("room_in_use", Sender, "begin_load", load_without_tokens, "room"),
    ("evacuated", Evacuations, "is_evacuated", always(False), EVACUATED),
    (
        "evacuated_obstacle",
        EndpointAvailability,
        "obstacle",
        obstacle_of_available,
        EVACUATED,
    ),
    (
        "evacuated_excluded",
        availability,
        "EXCLUDING",
        availability.EXCLUDING - {ObstacleReason.EVACUATED},
        EVACUATED,
    ),
    (
        "evacuated_on_connection",
        EndpointAvailability,
        "still_accepts",
        accepts_if_listed,
        EVACUATED,
    ),
    ("evacuated_held", evacuations, "REWRITE_SECONDS", 0.0, EVACUATED),
    ("evacuated_held_end", evacuations, "REWRITE_SECONDS", 99.0, EVACUATED),
    ("evacuated_confirmed", Evacuations, "confirm", always(None), EVACUATED),
    (
        "evacuated_digest",
        shared_snapshots,
        "content_digest",
        digest_without_evacuations,
        EVACUATED,
    ),
    ("evacuated_position", StoreSnapshot, "position", old_position, EVACUATED),
    ("evacuated_reads", StorePoller, "_position_of", position_read, EVACUATED),
    (
        "evacuated_refusal",
        attempt_refusals,
        "_is_all_evacuated",
        always(False),
        EVACUATED,
    ),
    ("homes_endpoints", Homes, "allow_endpoint", always(True), HOMES),
    ("homes_peers", Homes, "allow_peer", always(True), HOMES),
    ("homes_own_region", Homes, "allow_peer", allow_peer_in_homes, HOMES),
    ("homes_unknown", Homes, "_region", region_or_nothing, HOMES),
    ("homes_of_routes", admission, "homes_of", homes_of_account, HOMES),
    ("homes_of_accounts", admission, "homes_of", homes_of_route, HOMES),
    ("homes_reached", PeerPaths, "may_reach", reached_through_any, HOMES),
    ("homes_chosen", PeerPaths, "choose", choose_any, HOMES),
    ("homes_on_connection", Sender, "_may_send", send_if_accepted, HOMES),
    ("homes_versions", Selection, "allowed", allowed_by_rule, HOMES),
    ("told_at_once", PeerSocket, "send_loads_soon", always(None), "long_prompts"),
    ("told_of_long", endpoint_load, "LONG_PROMPT_SECONDS", 0.0, "long_prompts"),
    ("peer_speeds", ReadingSpeeds, "learn_report", always(None), SPEEDS),
    ("first_steps", reading_speeds, "FIRST_STEP", 0.04, SPEEDS),
    ("own_speeds", reading_speeds, "SUFFICIENT_ANSWERS", 10**6, SPEEDS),
    ("peer_loads", selection.EndpointLoads, "learn", always(None), "peer_gossip"),
]


def include_tried(self, inputs):
    """Include endpoints that were already tried."""
    pool = self.directory.pool(inputs.service)
    return [e for e in pool.endpoints if e.listed and not e.leaving]


class FailureCounter:
    """Pytest plugin that counts the failures of a nested run."""

    def __init__(self):
        self.failed = 0

    def pytest_runtest_logreport(self, report):
        self.failed += report.failed


def count_failures(module, capsys):
    """Run a module's tests until one fails and return the number of failures."""
    failure_counter = FailureCounter()
    path = __file__.replace("test_mutations.py", f"test_{module}.py")
    arguments = ["-q", "-x", "-p", "no:cacheprovider", "--no-header", path]
    pytest.main(arguments, plugins=[failure_counter])
    capsys.readouterr()
    return failure_counter.failed


@pytest.mark.parametrize("module", sorted({mutation[4] for mutation in MUTATIONS}))
def test_modules_pass_without_a_mutation(capsys, module):
    assert count_failures(module, capsys) == 0


@pytest.mark.parametrize(
    ("name", "owner", "attribute", "value", "module"),
    MUTATIONS,
    ids=[mutation[0] for mutation in MUTATIONS],
)
def test_each_mutation_is_detected(
    monkeypatch, capsys, name, owner, attribute, value, module
):
    monkeypatch.setattr(owner, attribute, value if value is not None else include_tried)
    assert count_failures(module, capsys), f"nothing in test_{module}.py notices {name}"
