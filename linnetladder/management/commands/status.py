"""Show the daemons, their state and the revision each has."""

import asyncio

import aiohttp
from absl import flags
from returns.result import Failure

from linnetladder.coordination.membership.registration import DaemonRecord, list_daemons
from linnetladder.management.base import Command, Context, ExitCode

__all__ = ["COMMAND"]

STATUS_TIMEOUT_SECONDS = 2.0


async def fetch_status(
    session: aiohttp.ClientSession, record: DaemonRecord
) -> dict | None:
    """Return a daemon's ``/status`` document, or ``None`` if the request fails."""
    url = f"http://{record.operations_address}/status"
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
            async with session.get(url) as response:
                return await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None


class StatusCommand(Command):
    """List the daemons that are registered and request each one's status."""

    name = "status"
    summary = "Show the daemons, their state and the revision each has."
    usage = "status"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Print the daemons; return ``INCOMPLETE`` if one can't be reached."""
        listed = await list_daemons(context.store)
        if isinstance(listed, Failure):
            detail = f"can't list the daemons: {listed.failure().detail}"
            return context.fail(detail, ExitCode.UNREACHABLE)
        records = listed.unwrap()
        async with aiohttp.ClientSession() as session:
            statuses = await asyncio.gather(
                *(fetch_status(session, r) for r in records)
            )
        status_by_instance = dict(
            zip((r.instance for r in records), statuses, strict=True)
        )
        if context.format == "json":
            context.print_json(
                [
                    {"record": r, "status": status_by_instance[r.instance]}
                    for r in records
                ]
            )
        else:
            rows = [
                _build_row(record, status_by_instance[record.instance])
                for record in records
            ]
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
        unreachable = [
            name
            for name, daemon_status in status_by_instance.items()
            if daemon_status is None
        ]
        return ExitCode.INCOMPLETE if unreachable else ExitCode.OK


def _build_row(record: DaemonRecord, daemon_status: dict | None) -> tuple:
    if daemon_status is None:
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
        daemon_status["state"],
        daemon_status["revision"],
        f"{daemon_status['confirmed_seconds_ago']} s ago",
        daemon_status["requests_in_flight"],
        "; ".join(daemon_status["reasons"]),
    )


COMMAND = StatusCommand()
