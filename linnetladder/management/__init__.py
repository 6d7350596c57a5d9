"""The operators' command-line tool ``linnetladder COMMAND [flags] [arguments]``.

Each command is a module of `linnetladder.management.commands`. It returns one of the
codes of `ExitCode`, which the reference page lists.
"""

import importlib
import sys

from absl import flags

from linnetladder.management.base import Command, ExitCode

__all__ = ["COMMANDS", "Command", "ExitCode", "main"]

COMMANDS = (
    "check",
    "plan",
    "apply",
    "get",
    "history",
    "withdraw",
    "status",
    "explain",
    "explain-route",
    "bill",
    "rotate-key",
)


def load_command(name: str) -> Command:
    """Import the module of a command and return the command."""
    module_name = f"linnetladder.management.commands.{name.replace('-', '_')}"
    return importlib.import_module(module_name).COMMAND


def overview() -> str:
    """Return the usage text with a summary of each command."""
    lines = ["linnetladder COMMAND [flags] [arguments]", "", "Commands:"]
    for name in COMMANDS:
        lines.append(f"  {name:<14}{load_command(name).summary}")
    lines.extend(["", "linnetladder COMMAND --help tells more about each."])
    return "\n".join(lines)


def main() -> None:
    """Run the tool from the command line."""
    raise SystemExit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(overview())
        return ExitCode.OK if arguments else ExitCode.USAGE
    name, *command_arguments = arguments
    if name not in COMMANDS:
        print(f"linnetladder: command {name!r} does not exist", file=sys.stderr)
        print(overview(), file=sys.stderr)
        return ExitCode.USAGE
    command = load_command(name)
    try:
        return command.execute(command_arguments)
    except flags.Error as error:
        print(f"linnetladder {name}: {error}", file=sys.stderr)
        return ExitCode.USAGE
