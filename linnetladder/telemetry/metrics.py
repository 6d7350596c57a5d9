"""Gauges, and closed lists of counters and latency histograms.

Counting updates a dictionary, and recording a latency updates an HDR histogram. The
Prometheus client library builds the text format, and only on a scrape.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["COUNTERS", "LATENCIES", "Metrics"]

PREFIX = "linnetladder_"
LOWEST_LATENCY_MICROSECONDS = 1
HIGHEST_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """The help text of a counter family, and the name of its label if it has one."""

    help: str
    label: str = ""


# The first families are those that tell a congested or late instance from a faulty
# endpoint, since collectors with a size limit only keep the beginning of a scrape.
COUNTERS: dict[str, Family] = {
    "peer_bytes": Family("Bytes exchanged with peers", "direction"),
    "peer_messages": Family("Messages exchanged with peers", "direction"),
    "report_rows_left_out": Family(
        "Rows of endpoints left out of reports to peers or merged", "rows"
    ),
    "platform_bytes": Family("Bytes exchanged with the platform", "direction"),
    "probes": Family("Connections opened to see if an endpoint is alive", "outcome"),
    "late_wakeups": Family("Wake-ups of the event loop that came 0.1 s late or more"),
    "requests": Family("Requests received from callers"),
    "answered": Family("Requests answered whole", "target"),
    "refused": Family("Requests refused", "kind"),
    "refused_ran": Family("Requests refused, by whether they ran", "ran"),
    "clients_refused": Family(
        "Clients refused or disconnected by port and limit", "reason"
    ),
    "attempts": Family("Attempts sent to endpoints", "outcome"),
    "limited_attempts": Family(
        "Attempts sent to endpoints that had named a limit on their requests"
    ),
    "permit_waits": Family("Requests that waited for an endpoint's permit"),
    "request_limits": Family("Changes of endpoints' limits on requests", "change"),
    "paced_attempts": Family("Attempts sent to endpoints that had a pace"),
    "endpoint_paces": Family("Changes of endpoints' paces", "change"),
    "endpoint_pauses": Family("Pauses that endpoints asked for", "answer"),
    "evacuation_refusals": Family(
        "Requests refused since all their endpoints are in evacuated failure domains"
    ),
    "home_refusals": Family(
        "Requests refused since no endpoint is in a region that they may use"
    ),
    "shed": Family("Requests refused on arrival because room was short", "reason"),
    "retries": Family("Attempts after the first"),
    "brittle_rejections": Family(
        "Requests that brittle endpoints turned away", "basis"
    ),
    "slot_reservations": Family("Slots of brittle endpoints asked for", "answer"),
    "crash_trials": Family("Trials of requests that may crash endpoints", "answer"),
    "relayed_calls": Family("Calls to endpoints through peers, or for them", "step"),
    "escalations": Family("Answers replaced by one of a better version"),
    "versions_pulled": Family("Versions pulled because they turned bad"),
    "stream_resumes": Family("Streams resumed after their connection broke"),
    "caller_left": Family("Requests whose caller left before the end"),
    "bills": Family("Bills that stand at the platform"),
    "bill_blocks": Family("Blocks of bills that stand at the platform"),
    "bill_blocks_rewritten": Family(
        "Blocks of bills written again after the store returned from an older copy"
    ),
    "bill_block_retries": Family("Tries at writing a block that had to be repeated"),
    "bill_blocks_copied": Family("Blocks held by peers before they stood"),
    "bills_voided": Family("Bills taken back because no answer was given"),
    "bill_blocks_recovered": Family("Blocks written for an owner that is gone"),
    "bills_unsecured": Family("Answers that ended before their bill was held or stood"),
    "bills_lost": Family("Bills dropped because too many waited"),
    "connections_closed": Family("Answers after which an endpoint closes"),
    "escalations_skipped": Family(
        "Escalations that the budget or endpoints did not allow"
    ),
    "rollout_writes": Family("Steps of roll-outs that were written or tried"),
    "log_lines_dropped": Family("Log lines left out for their rate or their reader"),
    "claims": Family("Claims of non-idempotent requests", "outcome"),
    "poison_crashes": Family("Endpoint crashes put down to a request"),
    "ejections": Family("Endpoints left out after failures"),
    "platform_calls": Family("Calls to the platform", "call"),
    "platform_faults": Family("Failed calls to the platform", "kind"),
    "store_era_changes": Family("Returns of the store from an older copy"),
    "configuration_installs": Family("Revisions put in force"),
    "configuration_regressions": Family("Older or diverging heads that were not taken"),
    "configuration_heals": Family("Heads restored to the platform"),
    "rejected_peers": Family("Peer connections cut off", "reason"),
}

LATENCIES: dict[str, str] = {
    "connect_seconds": "Time to establish a connection to an endpoint",
    "first_byte_seconds": "From a request's arrival to the first byte of its answer",
    "total_seconds": "From a request's arrival to the end of its answer",
    "decision_seconds": "Time spent on choosing a version",
    "slot_seconds": "Time spent waiting for a slot at an endpoint",
    "pace_seconds": "Time for which an endpoint had a pace after its start or return",
    "bill_seconds": "Time an answer's end waited for its bill",
    "platform_seconds": "Time of calls to the platform",
}


class Metrics:
    """The counters, gauges and latency histograms of one process."""

    def __init__(self):
        self.counters: collections.Counter[tuple[str, str]] = collections.Counter()
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self.histograms = {
            name: HdrHistogram(
                LOWEST_LATENCY_MICROSECONDS,
                HIGHEST_LATENCY_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
            for name in LATENCIES
        }
        self.sums: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1, *, label: str = "") -> None:
        """Add to a counter of `COUNTERS`."""
        self.counters[(name, label)] += amount

    def value(self, name: str, *, label: str = "") -> int:
        """Return a counter's value."""
        return self.counters[(name, label)]

    def record(self, name: str, seconds: float) -> None:
        """Record a latency of `LATENCIES`."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        self.histograms[name].record_value(
            max(microseconds, LOWEST_LATENCY_MICROSECONDS)
        )
        self.sums[name] += seconds

    def gauge(self, name: str, help: str, read: Callable[[], float]) -> None:
        """Expose a value that is read on each scrape."""
        self.gauges[name] = (help, read)

    def percentile(self, name: str, percent: float) -> float:
        """Return a latency's percentile in seconds."""
        microseconds = self.histograms[name].get_value_at_percentile(percent)
        return microseconds / MICROSECONDS_PER_SECOND

    def collect(self) -> "Iterable[Metric]":
        """Yield every family, for the Prometheus client library."""
        from prometheus_client.core import GaugeMetricFamily

        yield from self._collect_counters()
        for name, (help, read) in self.gauges.items():
            yield GaugeMetricFamily(PREFIX + name, help, value=read())
        for name, help in LATENCIES.items():
            yield self._summary(name, help)

    def text(self) -> bytes:
        """Return all families in the Prometheus text format.

        The client library is imported on the first scrape, since a daemon that restarts
        can't serve requests while it imports.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def _collect_counters(self) -> "Iterable[Metric]":
        from prometheus_client.core import CounterMetricFamily

        by_name: dict[str, list[tuple[str, int]]] = {}
        for (name, label), value in self.counters.items():
            by_name.setdefault(name, []).append((label, value))
        for name, family in COUNTERS.items():
            labels = [family.label] if family.label else []
            metric = CounterMetricFamily(PREFIX + name, family.help, labels=labels)
            for label, value in by_name.get(name, [] if labels else [("", 0)]):
                metric.add_metric([label] if labels else [], value)
            yield metric

    def _summary(self, name: str, help: str) -> "Metric":
        from prometheus_client.core import SummaryMetricFamily

        histogram = self.histograms[name]
        summary = SummaryMetricFamily(PREFIX + name, help)
        summary.add_metric([], histogram.get_total_count(), self.sums[name])
        for percent in PERCENTILES:
            labels = {"quantile": str(percent / 100)}
            value = self.percentile(name, percent)
            summary.add_sample(PREFIX + name, labels, value)
        return summary
