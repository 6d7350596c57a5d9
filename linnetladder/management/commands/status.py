"""Show the daemons, their state and the revision each has."""

import asyncio

import aiohttp
from absl import flags
from returns.result import Failure

from linnetladder.coordination.membership.registration import DaemonRecord, list_daemons
from linnetladder.management.base import Command, Context, ExitCode

__all__ = ["COMMAND"]

ASK_SECONDS = 2.0


async def ask(session: aiohttp.ClientSession, record: DaemonRecord) -> dict | None:
    """Return a daemon's own status, or ``None`` if it gives none."""
    url = f"http://{record.operations_address}/status"
    try:
        async with asyncio.timeout(ASK_SECONDS):
            async with session.get(url) as response:
                return await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None


class StatusCommand(Command):
    """Ask the platform for the daemons and each daemon for its state."""

    name = "status"
    summary = "Show the daemons, their state and the revision each has."
    usage = "status"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """List, ask and print."""
        listed = await list_daemons(context.store)
        if isinstance(listed, Failure):
            detail = f"the daemons can't be listed: {listed.failure().detail}"
            return context.fail(detail, ExitCode.UNREACHABLE)
        records = listed.unwrap()
        async with aiohttp.ClientSession() as session:
            answers = await asyncio.gather(*(ask(session, r) for r in records))
        found = dict(zip((r.instance for r in records), answers, strict=True))
        if context.format == "json":
            context.print_json(
                [{"record": r, "status": found[r.instance]} for r in records]
            )
        else:
            rows = [_row(record, found[record.instance]) for record in records]
            columns = (
                "instance",
                "failure domain",
                "state",
                "revision",
                "confirmed",
                "in flight",
                "not ready because",
            )
            context.print_table(columns, rows)
        silent = [name for name, answer in found.items() if answer is None]
        return ExitCode.INCOMPLETE if silent else ExitCode.OK


def _row(record: DaemonRecord, answer: dict | None) -> tuple:
    if answer is None:
        return (
            record.instance,
            record.failure_domain,
            "no answer",
            record.revision,
            "",
            "",
            "",
        )
    return (
        record.instance,
        record.failure_domain,
        answer["state"],
        answer["revision"],
        f"{answer['confirmed_seconds_ago']} s ago",
        answer["requests_in_flight"],
        "; ".join(answer["reasons"]),
    )


COMMAND = StatusCommand()
