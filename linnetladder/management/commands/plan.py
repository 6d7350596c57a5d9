"""Show what applying a declaration file would change."""

from absl import flags
from returns.result import Failure

from linnetladder.coordination.configuration.publishing import Plan
from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.management.commands.check import load_declaration_file

__all__ = ["COMMAND", "make_plan", "print_plan"]


async def make_plan(context: Context, arguments: list[str]) -> Plan | ExitCode:
    """Return the plan for a declaration file, or print why there is none."""
    loaded = load_declaration_file(context, arguments)
    if isinstance(loaded, ExitCode):
        return loaded
    planned = await context.publisher.plan(loaded.parts, reinstate=loaded.reinstate)
    if isinstance(planned, Failure):
        return context.fail_with_fault(planned.failure())
    return planned.unwrap()


def print_plan(context: Context, plan: Plan) -> None:
    """Print the parts that a plan adds, removes or changes."""
    revision = plan.head.manifest.revision if plan.head.manifest else 0
    if plan.is_empty:
        context.print(f"no change to revision {revision}")
        return
    context.print(f"changes to revision {revision}:")
    for change in plan.changes:
        context.print(f"  {change.action:<7}{change.name}")


class PlanCommand(Command):
    """Compare a declaration file with the current revision."""

    name = "plan"
    summary = "Show what applying a declaration file would change."
    usage = "plan FILE"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Print the plan for the file."""
        plan = await make_plan(context, arguments)
        if isinstance(plan, ExitCode):
            return plan
        if context.format == "json":
            revision = plan.head.manifest.revision if plan.head.manifest else 0
            context.print_json({"revision": revision, "changes": plan.changes})
        print_plan(context, plan)
        return ExitCode.OK


COMMAND = PlanCommand()
