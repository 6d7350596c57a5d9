"""Check a declaration file without contacting the platform."""

from pathlib import Path

from absl import flags
from returns.result import Failure

from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.protocol import Declarations, load_declarations

__all__ = ["COMMAND", "load_declaration_file"]


def load_declaration_file(
    context: Context, arguments: list[str]
) -> Declarations | ExitCode:
    """Load the file named on the command line, or print its problems."""
    if len(arguments) != 1:
        return context.fail("give one declaration file", ExitCode.USAGE)
    loaded = load_declarations(Path(arguments[0]))
    if not isinstance(loaded, Failure):
        return loaded.unwrap()
    problems = loaded.failure()
    if context.format == "json":
        context.print_json({"problems": [str(problem) for problem in problems]})
    for problem in problems:
        context.fail(str(problem), ExitCode.INVALID)
    return ExitCode.INVALID


class CheckCommand(Command):
    """Validate a declaration file; print each problem with its line and path."""

    name = "check"
    summary = "Check a declaration file; nothing is sent anywhere."
    usage = "check FILE"
    needs_platform = False

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Load the file and print its problems or the number of its parts."""
        loaded = load_declaration_file(context, arguments)
        if isinstance(loaded, ExitCode):
            return loaded
        if context.format == "json":
            context.print_json({"problems": [], "parts": len(loaded.parts)})
        context.print(f"{arguments[0]}: {len(loaded.parts)} parts, no problems")
        return ExitCode.OK


COMMAND = CheckCommand()
