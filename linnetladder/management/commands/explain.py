"""Explain a decision receipt, or a request from the logs."""

from pathlib import Path

from absl import flags

from linnetladder.coordination.routing.explaining import (
    ExplainedReceipt,
    explain_receipt,
)
from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.management.commands.history import format_time
from linnetladder.telemetry.timelines import (
    TimelineEntry,
    build_timeline,
    read_log_lines,
)

__all__ = ["COMMAND"]

# Fields that are not printed as name=value: shown elsewhere in the line, or omitted.
SEPARATE_FIELDS = frozenset(
    ("time", "instance", "event", "level", "request", "attempts")
)


class ExplainCommand(Command):
    """Verify a receipt and replay its decision, or print a request's log timeline."""

    name = "explain"
    summary = (
        "Verify a receipt and run its decision again, or tell from log files what"
        " happened to a request."
    )
    usage = "explain RECEIPT | explain --logs=FILE[,FILE...] REQUEST"
    needs_platform = False

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that names the log files."""
        flags.DEFINE_list(
            "logs",
            [],
            "Log files of the daemons, in which to look for a request's id.",
            flag_values=values,
        )

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Explain the receipt or the request in the arguments."""
        if values.logs:
            return _explain_from_logs(context, values.logs, arguments)
        if len(arguments) != 1:
            return context.fail("give one receipt", ExitCode.USAGE)
        if not values.platform_urls:
            detail = "set --platform_urls or LINNETLADDER_PLATFORM_URLS"
            return context.fail(detail, ExitCode.USAGE)
        return await _explain_receipt(context, arguments[0])


async def _explain_receipt(context: Context, receipt: str) -> ExitCode:
    keys = await context.read_signing_keys()
    if not keys.keys:
        detail = "can't read the signing keys from the platform"
        return context.fail(detail, ExitCode.UNREACHABLE)
    explained = await explain_receipt(receipt, keys=keys, publisher=context.publisher)
    if explained is None:
        detail = "the receipt was not signed by this system"
        return context.fail(detail, ExitCode.NOT_VERIFIED)
    if context.format == "json":
        context.print_json({"receipt": explained.receipt, "replay": explained.replay})
    else:
        _print_receipt(context, explained)
    return ExitCode.OK


def _explain_from_logs(
    context: Context, files: list[str], arguments: list[str]
) -> ExitCode:
    if len(arguments) != 1:
        return context.fail("give the id of one request", ExitCode.USAGE)
    try:
        lines = read_log_lines(Path(name) for name in files)
    except OSError as error:
        return context.fail(f"can't read the logs: {error}", ExitCode.NOT_FOUND)
    timeline = build_timeline(lines, arguments[0])
    if timeline is None:
        detail = f"none of {len(lines)} log lines is about request {arguments[0]!r}"
        return context.fail(detail, ExitCode.NOT_FOUND)
    if context.format == "json":
        context.print_json(timeline)
        return ExitCode.OK
    for entry in timeline.entries:
        _print_timeline_entry(context, entry)
    return ExitCode.OK


def _print_timeline_entry(context: Context, entry: TimelineEntry) -> None:
    line = entry.line
    marker = "=>" if entry.deciding else "  "
    fields = ", ".join(
        f"{name}={value}" for name, value in line.items() if name not in SEPARATE_FIELDS
    )
    context.print(
        f"{marker} {format_time(line['time'])} ({entry.age:.3f} s before the end)"
        f" {line.get('instance')}: {line.get('event')}: {fields}"
    )
    for attempt in line.get("attempts", ()):
        context.print(f"       {attempt}")


def _print_receipt(context: Context, explained: ExplainedReceipt) -> None:
    receipt = explained.receipt
    rows = [
        ("request", receipt.request_id),
        ("time", format_time(receipt.time_seconds)),
        ("revision", receipt.revision),
        ("outcome", f"refused: {receipt.refused}" if receipt.refused else "answered"),
    ]
    if receipt.inputs is not None:
        rows.append(("client account", receipt.inputs.account))
        rows.append(("requested", receipt.inputs.wanted))
        rows.append(("request kind", receipt.inputs.request_kind))
        if receipt.inputs.pin:
            rows.append(("session pinned to", receipt.inputs.pin))
    if receipt.chosen:
        rows.append(("chosen", receipt.chosen))
    if receipt.detail:
        rows.append(("detail", receipt.detail))
    if receipt.node:
        rows.append(("deciding node", receipt.node))
    rows.extend(
        ("rejected", f"{candidate}: {reason}")
        for candidate, reason in receipt.rejected_candidates
    )
    rows.extend(
        ("attempt", f"{record.endpoint}, {record.target}: {record.outcome}")
        for record in receipt.trials
    )
    rows.append(("replayed decision", explained.replay))
    context.print("the signature is valid")
    context.print_table(("", ""), rows)


COMMAND = ExplainCommand()
