"""Messages between daemons, each in one signed datagram.

A report holds its sender's state as far as it fits, so the next report makes up for a
lost one. It is sent as arrays of integers and of indexes into a list of names, which
is a third of the size of objects with named fields.
Messages are signed with a secret from the platform's store. A receiver ignores reports
whose sequence number is not above that of the sender's last one.
"""

import dataclasses
import hashlib
import hmac
import math
import typing
import zlib
from collections.abc import Sequence

import orjson
import pydantic

from linnetladder.forwarding.state import Position

__all__ = [
    "CopiedBills",
    "DaemonMessage",
    "PartFinding",
    "DaemonReport",
    "decode_message",
    "encode_message",
    "sign",
    "sign_again",
    "verify",
]

SIGNATURE_BYTES = 16
MAXIMUM_DATAGRAM_BYTES = 60_000
# Resolution of the numbers in reports.
BACKLOG_UNITS_PER_SECOND = 1_000
AGE_UNITS_PER_SECOND = 10
READ_AGE_UNITS_PER_SECOND = 100
UNITS_PER_COUNT = 100
UNITS_PER_REQUEST = 1_000
LIMIT_AGE_UNITS_PER_SECOND = 100
# Rows of loads whose name has this prefix hold other sums: the index of what they are
# about and a number follow. Daemons of versions that know no such rows read them as
# the load of an endpoint that does not exist.
SUMS_PREFIX = "#"
TOKENS_ROW = "#tokens"
DEMAND_ROW = "#demand"
URGENT_DEMAND_ROW = "#urgent"
HELD_ROW = "#held"
UNITS_PER_DEMAND = 100
HELD_UNITS_PER_SECOND = 1_000
SENT_ROW = "#sent"
SPEED_ROW = "#speed"
SPEED_UNITS_PER_SECOND = 1_000_000_000
BRITTLE_ROW = "#brittle"
# The service's name follows.
USE_ROW = "#use "
USE_UNITS_PER_SECOND = 100
SENT_UNITS_PER_SECOND = 100
# Number of counts in a row of outcomes.
OUTCOME_COUNTS = 9


@dataclasses.dataclass(slots=True, kw_only=True)
class CopiedBills:
    """Copies of bills that a peer keeps in case their owner fails.

    ``blocks`` maps the number of a block to its bills by attempt id. The owner has
    written all blocks up to ``written`` to the store in its ``era``, except those in
    ``dropped``, which it does not have any more. A bill is a tuple of client account,
    service, model, prompt tokens and events.
    """

    written: int
    blocks: dict[int, dict[str, tuple[str, str, str, int, int]]]
    era: int | None = None
    dropped: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PartFinding:
    """What is known of a part of prompts.

    ``sound`` is true if a request with it was answered ``age`` seconds ago, and false
    if it crashes endpoints and last did so ``age`` seconds ago.
    """

    part: str
    sound: bool
    age: float


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonReport:
    """The state that one daemon reports; it replaces the previous report.

    The lists hold tuples:

    * ``loads``: endpoint or group, requests in flight, backlog in seconds
    * ``outcomes``: endpoint or group, route, decayed counts of attempts by outcome
    * ``crashes``: a suspect, endpoint that crashed with it in flight, age in seconds
    * ``bad_targets``: service, revision of the order whose target version is bad
    * ``leaving``: endpoint, incarnation
    * ``limits``: endpoint, incarnation, limit on its requests a second or ``None``,
      age in seconds
    * ``tokens``: endpoint, tokens that requests in flight occupy there; only in reports
      with ``loads``
    * ``paces``: endpoint, incarnation, requests a second, seconds for which it stays
      cold, age of the evidence in seconds
    * ``demand``: service with little room, requests a second that callers send for it
      and that are not urgent, urgent ones, and for how many seconds a request holds a
      slot, 0 if unknown; only in reports with ``loads``
    * ``uses``: service that is full, account, decayed seconds of endpoints' time; only
      in reports with ``loads``
    * ``speeds``: model, seconds in which it reads one token; only in reports with
      ``loads``
    * ``brittle``: service whose endpoints fall over if they turn more than a number of
      requests away in a second, and that number; only in reports with ``loads``

    ``sent_at`` is the sender's Unix time in a report with ``demand``, otherwise 0.

    ``loads`` and ``outcomes`` are ``None`` in a report of news only; then the previous
    ones stay. ``reading`` is the digest of the sender's last read of the store, and
    ``echoes`` identifies the peers' reports that it had received when that content was
    last confirmed. ``reads`` gives the period in which the sender read the store, or
    had its content confirmed, without a gap: the seconds since it began and since the
    last read. ``findings`` tells of parts of prompts that crash endpoints or don't.
    ``draining`` is set once the sender is shutting down. ``paces`` are told in reports
    that hold nothing else.
    """

    loads: list[tuple[str, int, float]] | None
    outcomes: list[tuple[str, str, tuple[float, ...]]] | None
    crashes: list[tuple[str, str, float]]
    bad_targets: list[tuple[str, int]]
    leaving: list[tuple[str, str]]
    draining: bool = False
    reading: int = 0
    echoes: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    reads: tuple[float, float] | None = None
    limits: list[tuple[str, str, float | None, float]] = dataclasses.field(
        default_factory=list
    )
    findings: list[PartFinding] = dataclasses.field(default_factory=list)
    tokens: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    paces: list[tuple[str, str, float, float, float]] = dataclasses.field(
        default_factory=list
    )
    demand: list[tuple[str, float, float, float]] = dataclasses.field(
        default_factory=list
    )
    sent_at: float = 0.0
    uses: list[tuple[str, str, float]] = dataclasses.field(default_factory=list)
    speeds: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    brittle: list[tuple[str, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonMessage:
    """A message from one daemon to its peers.

    ``position`` is the newest position of the store that the sender has seen; peers
    have to read up to it. ``configuration_version`` is the newest version of the
    configuration that it knows of. ``copied_bills`` is only sent to the peers that keep
    copies of the sender's bills.
    """

    instance: str
    incarnation: str
    sequence: int
    position: Position
    configuration_version: int = 0
    report: DaemonReport | None = None
    copied_bills: CopiedBills | None = None


# Name index, requests in flight, backlog.
_LoadRow = tuple[pydantic.NonNegativeInt, int, int]
# Name index, route index, counts without trailing zeros.
_OutcomeRow = tuple[pydantic.NonNegativeInt, pydantic.NonNegativeInt, list[int]]
# Names and the fields of a report in their order.
_ReportArray = tuple[
    list[str],
    list[_LoadRow] | None,
    list[_OutcomeRow] | None,
    list[tuple[str, pydantic.NonNegativeInt, pydantic.NonNegativeInt]],
    list[tuple[str, int]],
    list[tuple[str, str]],
    bool,
    int,
    list[tuple[int, int]],
    tuple[int, int] | None,
]
# Endpoint, incarnation, limit, age.
_LimitRow = tuple[str, str, int | None, pydantic.NonNegativeInt]
# Part, whether it is sound, age.
_FindingRow = tuple[str, bool, pydantic.NonNegativeInt]
# Endpoint, incarnation, pace, time for which it stays cold, age.
_PaceRow = tuple[
    str,
    str,
    pydantic.NonNegativeInt,
    pydantic.NonNegativeInt,
    pydantic.NonNegativeInt,
]
# The fields of a message in their order.
_MessageArray = tuple[
    str, str, int, tuple[int, int], int, _ReportArray | None, CopiedBills | None
]
# Limits, findings and paces follow only where there are some, so that messages without
# any can be read by daemons of versions that know none.
_MESSAGE_ADAPTER = pydantic.TypeAdapter(
    _MessageArray
    | tuple[*typing.get_args(_MessageArray), list[_LimitRow]]
    | tuple[*typing.get_args(_MessageArray), list[_LimitRow], list[_FindingRow]]
    | tuple[
        *typing.get_args(_MessageArray),
        list[_LimitRow],
        list[_FindingRow],
        list[_PaceRow],
    ]
)


def encode_message(message: DaemonMessage, *, secret: bytes) -> bytes:
    """Return a message as a signed datagram."""
    array = (
        message.instance,
        message.incarnation,
        message.sequence,
        (message.position.era, message.position.revision),
        message.configuration_version,
        _report_array(message.report) if message.report is not None else None,
        _copied_fields(message.copied_bills) if message.copied_bills else None,
    )
    if message.report is not None:
        array += _optional_fields(message.report)
    content = zlib.compress(orjson.dumps(array, option=orjson.OPT_NON_STR_KEYS))
    return sign(content, secret) + content


def decode_message(datagram: bytes, *, secret: bytes) -> DaemonMessage | None:
    """Return the message, or ``None`` if its signature or format is invalid."""
    signature, content = datagram[:SIGNATURE_BYTES], datagram[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, sign(content, secret)):
        return None
    try:
        # The limit bounds the memory that a small datagram can expand to.
        plain = zlib.decompressobj().decompress(content, MAXIMUM_DATAGRAM_BYTES * 10)
        array = _MESSAGE_ADAPTER.validate_json(plain)
        instance, incarnation, sequence, position, version, *contents = array
        report, copied_bills, *optional_fields = contents
        report = _report(report) if report is not None else None
        if report is not None:
            _add_optional_fields(report, *optional_fields)
        return DaemonMessage(
            instance=instance,
            incarnation=incarnation,
            sequence=sequence,
            position=Position(*position),
            configuration_version=version,
            report=report,
            copied_bills=copied_bills,
        )
    except (zlib.error, pydantic.ValidationError, IndexError):
        return None


def sign_again(datagram: bytes, *, secret: bytes) -> bytes:
    """Return a signed datagram with its signature replaced by that of a secret."""
    content = datagram[SIGNATURE_BYTES:]
    return sign(content, secret) + content


def _copied_fields(copied: CopiedBills) -> dict:
    """Return the fields that differ from their defaults."""
    fields = {"written": copied.written, "blocks": copied.blocks}
    if copied.era is not None:
        fields["era"] = copied.era
    if copied.dropped:
        fields["dropped"] = copied.dropped
    return fields


def _report_array(report: DaemonReport) -> tuple:
    names: dict[str, int] = {}

    def index(name: str) -> int:
        return names.setdefault(name, len(names))

    loads = report.loads
    if loads is not None:
        loads = [
            (index(name), in_flight, round(backlog * BACKLOG_UNITS_PER_SECOND))
            for name, in_flight, backlog in loads
        ]
        loads += [
            (index(kind), index(name), units) for kind, name, units in _sums(report)
        ]
    outcomes = report.outcomes
    if outcomes is not None:
        outcomes = [
            (index(name), index(route), _count_units(counts))
            for name, route, counts in outcomes
        ]
    crashes = [
        (fingerprint, index(endpoint), round(age * AGE_UNITS_PER_SECOND))
        for fingerprint, endpoint, age in report.crashes
    ]
    reads = report.reads
    if reads is not None:
        reads = [round(age * READ_AGE_UNITS_PER_SECOND) for age in reads]
    return (
        list(names),
        loads,
        outcomes,
        crashes,
        report.bad_targets,
        report.leaving,
        report.draining,
        report.reading,
        report.echoes,
        reads,
    )


def _report(array: _ReportArray) -> DaemonReport:
    names, loads, outcomes, crashes, bad_targets, leaving, *rest = array
    draining, reading, echoes, reads = rest
    if reads is not None:
        began, latest = reads
        reads = (began / READ_AGE_UNITS_PER_SECOND, latest / READ_AGE_UNITS_PER_SECOND)
    sums = []
    if loads is not None:
        sums = [
            (names[kind], names[_index(name)], units)
            for kind, name, units in loads
            if names[kind].startswith(SUMS_PREFIX)
        ]
        loads = [
            (names[name], in_flight, backlog / BACKLOG_UNITS_PER_SECOND)
            for name, in_flight, backlog in loads
            if not names[name].startswith(SUMS_PREFIX)
        ]
    if outcomes is not None:
        outcomes = [
            (names[name], names[route], _counts(units))
            for name, route, units in outcomes
        ]
    return DaemonReport(
        loads=loads,
        outcomes=outcomes,
        crashes=[
            (fingerprint, names[endpoint], age / AGE_UNITS_PER_SECOND)
            for fingerprint, endpoint, age in crashes
        ],
        bad_targets=bad_targets,
        leaving=leaving,
        draining=draining,
        reading=reading,
        echoes=echoes,
        reads=reads,
        tokens=[(name, units) for kind, name, units in sums if kind == TOKENS_ROW],
        speeds=[
            (model, units / SPEED_UNITS_PER_SECOND)
            for kind, model, units in sums
            if kind == SPEED_ROW
        ],
        brittle=[
            (service, units / UNITS_PER_REQUEST)
            for kind, service, units in sums
            if kind == BRITTLE_ROW
        ],
        demand=_demand(sums),
        uses=[
            (kind.removeprefix(USE_ROW), account, units / USE_UNITS_PER_SECOND)
            for kind, account, units in sums
            if kind.startswith(USE_ROW)
        ],
        sent_at=max(
            (n / SENT_UNITS_PER_SECOND for kind, _, n in sums if kind == SENT_ROW),
            default=0.0,
        ),
    )


def _sums(report: DaemonReport) -> list[tuple[str, str, int]]:
    """Return the rows of sums: kind, name, units."""
    rows = [(TOKENS_ROW, name, tokens) for name, tokens in report.tokens]
    rows += [
        (SPEED_ROW, model, round(seconds * SPEED_UNITS_PER_SECOND))
        for model, seconds in report.speeds
    ]
    rows += [
        (BRITTLE_ROW, service, round(limit * UNITS_PER_REQUEST))
        for service, limit in report.brittle
    ]
    if report.demand:
        sent_at = round(report.sent_at * SENT_UNITS_PER_SECOND)
        rows.append((SENT_ROW, report.demand[0][0], sent_at))
    for service, account, seconds in report.uses:
        units = round(seconds * USE_UNITS_PER_SECOND)
        rows.append((f"{USE_ROW}{service}", account, units))
    for service, rate, urgent, held in report.demand:
        rows.append((DEMAND_ROW, service, round(rate * UNITS_PER_DEMAND)))
        if urgent > 0:
            rows.append((URGENT_DEMAND_ROW, service, round(urgent * UNITS_PER_DEMAND)))
        if held > 0:
            rows.append((HELD_ROW, service, round(held * HELD_UNITS_PER_SECOND)))
    return rows


def _demand(
    sums: list[tuple[str, str, int]],
) -> list[tuple[str, float, float, float]]:
    units = {(kind, service): number for kind, service, number in sums}
    return [
        (
            service,
            number / UNITS_PER_DEMAND,
            units.get((URGENT_DEMAND_ROW, service), 0) / UNITS_PER_DEMAND,
            units.get((HELD_ROW, service), 0) / HELD_UNITS_PER_SECOND,
        )
        for (kind, service), number in units.items()
        if kind == DEMAND_ROW
    ]


def _index(index: int) -> int:
    """Return an index into the names; a negative one is of no daemon's making."""
    if index < 0:
        raise IndexError(index)
    return index


def _optional_fields(report: DaemonReport) -> tuple:
    """Return the encoded limits, findings and paces, as far as there are any."""
    if report.paces:
        return (
            _limit_rows(report.limits),
            _finding_rows(report.findings),
            _pace_rows(report.paces),
        )
    if report.findings:
        return _limit_rows(report.limits), _finding_rows(report.findings)
    return (_limit_rows(report.limits),) if report.limits else ()


def _add_optional_fields(
    report: DaemonReport,
    limits: Sequence[_LimitRow] = (),
    findings: Sequence[_FindingRow] = (),
    paces: Sequence[_PaceRow] = (),
) -> None:
    report.limits = _limits(limits)
    report.paces = [
        (
            name,
            incarnation,
            units / UNITS_PER_REQUEST,
            cold / LIMIT_AGE_UNITS_PER_SECOND,
            age / LIMIT_AGE_UNITS_PER_SECOND,
        )
        for name, incarnation, units, cold, age in paces
    ]
    report.findings = [
        PartFinding(part, sound, age / AGE_UNITS_PER_SECOND)
        for part, sound, age in findings
    ]


def _finding_rows(findings: list[PartFinding]) -> list[_FindingRow]:
    """Return rows of findings; ages are rounded up, so that none gets younger."""
    return [
        (f.part, f.sound, math.ceil(f.age * AGE_UNITS_PER_SECOND)) for f in findings
    ]


def _pace_rows(paces: list[tuple[str, str, float, float, float]]) -> list[_PaceRow]:
    """Return rows of paces; times are rounded up, so that no evidence gets younger."""
    return [
        (
            name,
            incarnation,
            round(per_second * UNITS_PER_REQUEST),
            math.ceil(max(cold, 0.0) * LIMIT_AGE_UNITS_PER_SECOND),
            math.ceil(max(age, 0.0) * LIMIT_AGE_UNITS_PER_SECOND),
        )
        for name, incarnation, per_second, cold, age in paces
    ]


def _limit_rows(
    limits: list[tuple[str, str, float | None, float]],
) -> list[tuple[str, str, int | None, int]]:
    return [
        (
            name,
            incarnation,
            None if per_second is None else round(per_second * UNITS_PER_REQUEST),
            max(round(age * LIMIT_AGE_UNITS_PER_SECOND), 0),
        )
        for name, incarnation, per_second, age in limits
    ]


def _limits(
    rows: Sequence[_LimitRow],
) -> list[tuple[str, str, float | None, float]]:
    return [
        (
            name,
            incarnation,
            None if units is None else units / UNITS_PER_REQUEST,
            age / LIMIT_AGE_UNITS_PER_SECOND,
        )
        for name, incarnation, units, age in rows
    ]


def _count_units(counts: tuple[float, ...]) -> list[int]:
    units = [round(count * UNITS_PER_COUNT) for count in counts]
    while units and units[-1] == 0:
        units.pop()
    return units


def _counts(units: list[int]) -> tuple[float, ...]:
    missing = OUTCOME_COUNTS - len(units)
    return tuple(unit / UNITS_PER_COUNT for unit in units) + (0.0,) * missing


def sign(content: bytes, secret: bytes) -> bytes:
    """Return the signature of a datagram's content, which precedes it."""
    return hashlib.blake2s(content, key=secret, digest_size=SIGNATURE_BYTES).digest()


def verify(datagram: bytes, secrets: Sequence[bytes]) -> bool:
    """Return whether a datagram is signed with one of some secrets."""
    signature, content = datagram[:SIGNATURE_BYTES], datagram[SIGNATURE_BYTES:]
    return any(
        hmac.compare_digest(signature, sign(content, secret)) for secret in secrets
    )
