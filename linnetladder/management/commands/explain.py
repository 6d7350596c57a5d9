"""Explain a decision receipt."""

from absl import flags

from linnetladder.coordination.routing.explaining import (
    ExplainedReceipt,
    explain_receipt,
)
from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.management.commands.history import format_time

__all__ = ["COMMAND"]


class ExplainCommand(Command):
    """Verify a receipt and run its decision again."""

    name = "explain"
    summary = "Verify a receipt and run its decision again at its revision."
    usage = "explain RECEIPT"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Print what was decided and on what grounds."""
        if len(arguments) != 1:
            return context.fail("give one receipt", ExitCode.USAGE)
        keys = await context.read_keys()
        if not keys.keys:
            detail = "the signing keys can't be read from the platform"
            return context.fail(detail, ExitCode.UNREACHABLE)
        explained = await explain_receipt(
            arguments[0], keys=keys, publisher=context.publisher
        )
        if explained is None:
            detail = "the receipt was not signed by this system"
            return context.fail(detail, ExitCode.NOT_VERIFIED)
        if context.format == "json":
            context.print_json(
                {"receipt": explained.receipt, "replay": explained.replay}
            )
        else:
            _print(context, explained)
        return ExitCode.OK


def _print(context: Context, explained: ExplainedReceipt) -> None:
    receipt = explained.receipt
    rows = [
        ("request", receipt.request_id),
        ("time", format_time(receipt.time_seconds)),
        ("revision", receipt.revision),
        ("outcome", f"refused: {receipt.refused}" if receipt.refused else "answered"),
    ]
    if receipt.inputs is not None:
        rows.append(("client account", receipt.inputs.account))
        rows.append(("asked for", receipt.inputs.wanted))
        rows.append(("kind of request", receipt.inputs.request_kind))
        if receipt.inputs.pin:
            rows.append(("session pinned to", receipt.inputs.pin))
    if receipt.chosen:
        rows.append(("chosen", receipt.chosen))
    if receipt.detail:
        rows.append(("detail", receipt.detail))
    if receipt.node:
        rows.append(("node that decided", receipt.node))
    rows.extend(
        ("rejected", f"{candidate}: {reason}")
        for candidate, reason in receipt.rejected_candidates
    )
    rows.extend(
        ("attempt", f"{trial.endpoint}, {trial.target}: {trial.outcome}")
        for trial in receipt.trials
    )
    rows.append(("decision made again", explained.replay))
    context.print("the signature is valid")
    context.print_table(("", ""), rows)


COMMAND = ExplainCommand()
