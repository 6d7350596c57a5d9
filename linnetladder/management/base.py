"""Base class of the commands, with shared flags, platform access and output."""

import abc
import asyncio
import enum
import getpass
import os
import sys

import orjson
import uvloop
from absl import flags
from returns.result import Failure
from rich.console import Console
from rich.table import Table

from linnetladder.conf import ENVIRONMENT_PREFIX
from linnetladder.coordination.configuration.live_state import KEY_PREFIX
from linnetladder.coordination.configuration.publishing import (
    Publisher,
    PublishFault,
    PublishFaultKind,
)
from linnetladder.state import KeyRing, SystemClock
from linnetladder.state.signing import signing_key_from_json
from linnetladder.telemetry import Metrics
from linnetladder.transport import EtcdKeyValue

__all__ = ["Command", "Context", "ExitCode"]

DEFAULT_TIMEOUT_SECONDS = 5.0


class ExitCode(enum.IntEnum):
    """The exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    RACE = 4
    UNREACHABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_FOUND = 7
    INCOMPLETE = 8
    NOT_VERIFIED = 9


EXIT_CODES_BY_FAULT_KIND = {
    PublishFaultKind.RACE: ExitCode.RACE,
    PublishFaultKind.UNREACHABLE: ExitCode.UNREACHABLE,
    PublishFaultKind.UNKNOWN_OUTCOME: ExitCode.UNKNOWN_OUTCOME,
    PublishFaultKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


class Context:
    """The platform's key-value store and the output of one command run."""

    def __init__(self, *, store: EtcdKeyValue, format: str):
        self.store = store
        self.clock = SystemClock()
        self.publisher = Publisher(store=store, clock=self.clock)
        self.format = format
        self.console = Console(highlight=False, soft_wrap=True)

    def print(self, text: str) -> None:
        """Print a line of text unless the output format is JSON."""
        if self.format != "json":
            self.console.print(text, markup=False)

    def print_table(self, columns: tuple[str, ...], rows: list[tuple]) -> None:
        """Print a table as text."""
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self.console.print(table)

    def print_json(self, document: object) -> None:
        """Print a document as JSON."""
        content = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        sys.stdout.write(content.decode() + "\n")

    def fail(self, message: str, code: ExitCode) -> ExitCode:
        """Print an error to standard error and return the exit code."""
        print(f"linnetladder: {message}", file=sys.stderr)
        return code

    def fail_with_fault(self, fault: PublishFault) -> ExitCode:
        """Print a fault to standard error and return the exit code for its kind."""
        return self.fail(
            f"{fault.kind}: {fault.detail}", EXIT_CODES_BY_FAULT_KIND[fault.kind]
        )

    async def read_signing_keys(self) -> KeyRing:
        """Return the signing keys in the store, none if it can't be read."""
        listed = await self.store.list_prefix(KEY_PREFIX)
        if isinstance(listed, Failure):
            return KeyRing()
        records = listed.unwrap()
        return KeyRing(keys=tuple(signing_key_from_json(r.value) for r in records))


class Command(abc.ABC):
    """One command of the tool."""

    name: str
    summary: str
    usage: str
    needs_platform = True

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of this command; none by default."""
        del values

    @abc.abstractmethod
    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Run the command and return the exit code."""

    def execute(self, arguments: list[str]) -> int:
        """Parse the command line and run the command."""
        values = flags.FlagValues()
        self._define_shared_flags(values)
        self.define_flags(values)
        positional = values([self.name, *arguments])[1:]
        if values.help:
            print(f"linnetladder {self.usage}\n\n{self.summary}\n{values.get_help()}")
            return ExitCode.OK
        if self.needs_platform and not values.platform_urls:
            print(
                "linnetladder: set --platform_urls or LINNETLADDER_PLATFORM_URLS",
                file=sys.stderr,
            )
            return ExitCode.USAGE
        return uvloop.run(self._run(values, positional))

    async def _run(self, values: flags.FlagValues, arguments: list[str]) -> int:
        store = EtcdKeyValue(
            urls=tuple(values.platform_urls),
            timeout_seconds=values.timeout_seconds,
            clock=SystemClock(),
            metrics=Metrics(),
        )
        try:
            context = Context(store=store, format=values.format)
            return await self.run(context, values, arguments)
        finally:
            await store.close()
            await asyncio.sleep(0)

    def _define_shared_flags(self, values: flags.FlagValues) -> None:
        urls = os.environ.get(ENVIRONMENT_PREFIX + "PLATFORM_URLS", "")
        flags.DEFINE_list(
            "platform_urls",
            [url for url in urls.split(",") if url],
            "URLs of the platform's key-value service. "
            f"[{ENVIRONMENT_PREFIX}PLATFORM_URLS]",
            flag_values=values,
        )
        flags.DEFINE_float(
            "timeout_seconds",
            DEFAULT_TIMEOUT_SECONDS,
            "Time limit of one call to the platform.",
            flag_values=values,
        )
        flags.DEFINE_enum(
            "format", "text", ["text", "json", "csv"], "Output.", flag_values=values
        )
        flags.DEFINE_bool("help", False, "Print this help.", flag_values=values)


def define_change_flags(values: flags.FlagValues) -> None:
    """Define the flags of commands that change the configuration."""
    flags.DEFINE_string(
        "author",
        os.environ.get("USER") or getpass.getuser(),
        "Who makes the change.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait", False, "Wait until the change is in force.", flag_values=values
    )
    flags.DEFINE_float(
        "wait_seconds", 30.0, "How long to wait at most.", flag_values=values
    )


async def report_acknowledgements(
    context: Context, values: flags.FlagValues, manifest
) -> ExitCode:
    """Report an accepted revision; with ``--wait`` or as JSON, where it is in force.

    The exit code is ``INCOMPLETE`` if a daemon lacks the revision after the wait.
    """
    seconds = values.wait_seconds if values.wait else 0.0
    wait_result = await context.publisher.wait_in_force(manifest, seconds=seconds)
    if isinstance(wait_result, Failure):
        return context.fail_with_fault(wait_result.failure())
    acknowledgements = wait_result.unwrap()
    acknowledged = [record.instance for record in acknowledgements.acknowledged]
    outstanding = [record.instance for record in acknowledgements.outstanding]
    if context.format == "json":
        context.print_json(
            {
                "revision": manifest.revision,
                "checkpoint_id": manifest.checkpoint_id,
                "in_force": acknowledged,
                "not_in_force": outstanding,
            }
        )
    context.print(f"revision {manifest.revision} is accepted")
    if values.wait:
        context.print(f"in force on: {', '.join(acknowledged) or 'no daemon'}")
        if outstanding:
            context.print(f"not in force on: {', '.join(outstanding)}")
            return ExitCode.INCOMPLETE
    return ExitCode.OK
