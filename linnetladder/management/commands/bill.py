"""Show what each client account owes."""

import csv
import sys

from absl import flags
from returns.result import Failure

from linnetladder.coordination.billing.ledger_reading import read_bills
from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.state import Bill

__all__ = ["COMMAND"]

MICRO_UNITS_PER_CURRENCY_UNIT = 1_000_000
TOTALS_COLUMNS = ("account", "requests", "input_tokens", "output_tokens", "price")


class BillCommand(Command):
    """Print the totals of the ledger's bills by client account, or the bills."""

    name = "bill"
    summary = "Show what each client account owes, or every bill with --detail."
    usage = "bill [ACCOUNT]"

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flag that lists every bill."""
        flags.DEFINE_bool("detail", False, "List every bill.", flag_values=values)

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Read the ledger and print totals or bills, optionally of one account."""
        read = await read_bills(context.store)
        if isinstance(read, Failure):
            detail = f"can't read the ledger: {read.failure().detail}"
            return context.fail(detail, ExitCode.UNREACHABLE)
        bills = list(read.unwrap().values())
        if arguments:
            bills = [bill for bill in bills if bill.account == arguments[0]]
        if values.detail:
            _print_bills(context, bills)
        else:
            _print_totals(context, _sum_by_account(bills))
        return ExitCode.OK


def _sum_by_account(bills: list[Bill]) -> list[dict]:
    totals: dict[str, dict] = {}
    for bill in bills:
        account_totals = totals.setdefault(
            bill.account,
            {
                "account": bill.account,
                "requests": 0,
                "input_tokens": 0,
                "output_tokens": 0,
                "price": 0.0,
            },
        )
        account_totals["requests"] += 1
        account_totals["input_tokens"] += bill.input_tokens
        account_totals["output_tokens"] += bill.output_tokens
        account_totals["price"] += bill.price / MICRO_UNITS_PER_CURRENCY_UNIT
    return [totals[account] for account in sorted(totals)]


def _print_totals(context: Context, totals: list[dict]) -> None:
    if context.format == "json":
        context.print_json(totals)
        return
    rows = [
        tuple(account_totals[column] for column in TOTALS_COLUMNS)
        for account_totals in totals
    ]
    if context.format == "csv":
        _print_csv(TOTALS_COLUMNS, rows)
        return
    formatted_rows = [(*row[:-1], f"{row[-1]:.6f}") for row in rows]
    context.print_table(TOTALS_COLUMNS, formatted_rows)


def _print_bills(context: Context, bills: list[Bill]) -> None:
    if context.format == "json":
        context.print_json(bills)
        return
    columns = ("bill_id", "account", "request_key", "target", "price")
    rows = [
        (
            b.bill_id,
            b.account,
            b.request_key,
            b.target,
            b.price / MICRO_UNITS_PER_CURRENCY_UNIT,
        )
        for b in bills
    ]
    if context.format == "csv":
        _print_csv(columns, rows)
    else:
        context.print_table(columns, rows)


def _print_csv(columns: tuple[str, ...], rows: list[tuple]) -> None:
    writer = csv.writer(sys.stdout)
    writer.writerow(columns)
    writer.writerows(rows)


COMMAND = BillCommand()
