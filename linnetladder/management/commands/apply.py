"""Apply a declaration file."""

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
from linnetladder.management.commands.plan import make_plan, print_plan

__all__ = ["COMMAND"]


class ApplyCommand(Command):
    """Publish a declaration file as the next revision."""

    name = "apply"
    summary = "Apply a declaration file; with --wait, until it is in force everywhere."
    usage = "apply FILE"

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define flags for the author, the message and the wait."""
        define_change_flags(values)
        flags.DEFINE_string("message", "", "Why it is changed.", flag_values=values)

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Publish the changes, if any, and report where they are in force."""
        plan = await make_plan(context, arguments)
        if isinstance(plan, ExitCode):
            return plan
        print_plan(context, plan)
        if plan.is_empty:
            if plan.head.manifest is None:
                return ExitCode.OK
            return await report_acknowledgements(context, values, plan.head.manifest)
        change = Change(
            author=values.author, message=values.message or f"apply {arguments[0]}"
        )
        published = await context.publisher.publish(plan, change)
        if isinstance(published, Failure):
            return context.fail_with_fault(published.failure())
        return await report_acknowledgements(context, values, published.unwrap())


COMMAND = ApplyCommand()
