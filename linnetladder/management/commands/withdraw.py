"""Withdraw a version at once."""

from absl import flags
from returns.result import Failure

from linnetladder.coordination.configuration.publishing import Change
from linnetladder.management.base import (
    Command,
    Context,
    ExitCode,
    define_change_flags,
    report_acknowledgements,
)
from linnetladder.state import VersionRef
from linnetladder.state.versions import Withdrawal

__all__ = ["COMMAND"]


class WithdrawCommand(Command):
    """Withdraw a version at once, so that it receives no new work."""

    name = "withdraw"
    summary = "Withdraw a version, which then receives no new work."
    usage = "withdraw MODEL@VERSION"

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define flags for the author, the reason and the wait."""
        define_change_flags(values)
        flags.DEFINE_string(
            "reason",
            "",
            "Why it is withdrawn, as callers are told.",
            flag_values=values,
        )

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Publish the withdrawal and report where it is in force."""
        ref = VersionRef.parse(arguments[0]) if len(arguments) == 1 else None
        if ref is None or not ref.version:
            return context.fail("give one version as MODEL@VERSION", ExitCode.USAGE)
        withdrawal = Withdrawal(ref, values.reason, values.author)
        change = Change(
            author=values.author, message=f"withdraw {ref}: {values.reason}"
        )
        published = await context.publisher.withdraw(withdrawal, change)
        if isinstance(published, Failure):
            return context.fail_with_fault(published.failure())
        return await report_acknowledgements(context, values, published.unwrap())


COMMAND = WithdrawCommand()
