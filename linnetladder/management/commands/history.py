"""Show the changes of the configuration."""

import datetime

from absl import flags
from returns.result import Failure

from linnetladder.management.base import Command, Context, ExitCode

__all__ = ["COMMAND", "format_time"]


def format_time(seconds: float) -> str:
    """Format Unix time as UTC date and time."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


class HistoryCommand(Command):
    """Print the revisions that the store keeps."""

    name = "history"
    summary = "Show the changes of the configuration that are kept."
    usage = "history"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Print the revisions, oldest first."""
        read = await context.publisher.read_history()
        if isinstance(read, Failure):
            return context.fail_with_fault(read.failure())
        manifests = read.unwrap()
        if context.format == "json":
            context.print_json(
                [
                    {
                        "revision": manifest.revision,
                        "checkpoint_id": manifest.checkpoint_id,
                        "time_seconds": manifest.time_seconds,
                        "author": manifest.author,
                        "message": manifest.message,
                    }
                    for manifest in manifests
                ]
            )
            return ExitCode.OK
        rows = [
            (m.revision, format_time(m.time_seconds), m.author, m.message)
            for m in manifests
        ]
        context.print_table(("revision", "time", "author", "message"), rows)
        return ExitCode.OK


COMMAND = HistoryCommand()
