"""Ask a forwarding daemon where a request would go now, without sending it."""

import asyncio
import sys
from pathlib import Path

import aiohttp
from absl import flags

from linnetladder.forwarding.protocol.route_questions import (
    EXPLAIN_ROUTE_PATH,
    RouteQuestionError,
    decode_explanation,
    encode_question,
)
from linnetladder.forwarding.state.explanations import (
    EndpointExplanation,
    RouteExplanation,
)
from linnetladder.management.base import Command, Context, ExitCode

__all__ = ["COMMAND"]

STANDARD_INPUT = "-"
EXIT_CODES_BY_STATUS = {400: ExitCode.USAGE, 404: ExitCode.NOT_FOUND}


class ExplainRouteCommand(Command):
    """Print a daemon's explanation of where a request would go."""

    name = "explain-route"
    summary = (
        "Ask a forwarding daemon where a request would go now and why, without"
        " sending it."
    )
    usage = "explain-route --daemon=HOST:PORT [flags] ROUTE"
    needs_platform = False

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags that describe the request."""
        texts = {
            "daemon": "Address of the daemon's metrics port, as HOST:PORT.",
            "account": "Name of the caller's client account.",
            "key_file": "File with the caller's key, - for standard input.",
            "model": "Model that the caller names; by default the daemon chooses.",
            "session": "Id of the prompt's part that its session's requests share.",
        }
        counts = {
            "input_tokens": "Tokens of the whole prompt.",
            "output_tokens": "Tokens of the expected answer.",
            "shared_tokens": "Tokens of the part that its session's requests share.",
            "common_tokens": "Tokens before that part, which other sessions share too.",
        }
        for name, text in texts.items():
            flags.DEFINE_string(name, "", text, flag_values=values)
        for name, text in counts.items():
            flags.DEFINE_integer(name, 0, text, flag_values=values)
        flags.DEFINE_float(
            "deadline_seconds",
            None,
            "Time that the caller allows for the request.",
            flag_values=values,
        )

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Ask the daemon and print its answer."""
        if len(arguments) != 1 or not values.daemon:
            detail = "give --daemon=HOST:PORT and the name of one route"
            return context.fail(detail, ExitCode.USAGE)
        try:
            question = _build_question(values, arguments[0])
        except OSError as error:
            return context.fail(f"can't read the key: {error}", ExitCode.NOT_FOUND)
        except RouteQuestionError as problem:
            return context.fail(str(problem), ExitCode.USAGE)
        try:
            status, content = await _ask(
                values.daemon, question, seconds=values.timeout_seconds
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            detail = f"can't reach the daemon at {values.daemon}: {error!r}"
            return context.fail(detail, ExitCode.UNREACHABLE)
        if status != 200:
            detail = f"the daemon answered {status}: {content.decode(errors='replace')}"
            code = EXIT_CODES_BY_STATUS.get(status, ExitCode.FAILED)
            return context.fail(detail, code)
        try:
            explanation = decode_explanation(content)
        except RouteQuestionError as problem:
            detail = f"the daemon's answer can't be read: {problem}"
            return context.fail(detail, ExitCode.FAILED)
        if context.format == "json":
            context.print_json(explanation)
        else:
            _print_explanation(context, explanation)
        return ExitCode.OK


def _build_question(values: flags.FlagValues, route: str) -> dict[str, object]:
    names = (
        "account",
        "model",
        "session",
        "input_tokens",
        "output_tokens",
        "shared_tokens",
        "common_tokens",
        "deadline_seconds",
    )
    fields = {"route": route, **{name: values[name].value for name in names}}
    if values.key_file:
        fields["credential"] = _read_key(values.key_file)
    return encode_question(fields)


def _read_key(name: str) -> str:
    """Return the key in a file, so that it is not in the list of processes."""
    if name == STANDARD_INPUT:
        return sys.stdin.read().strip()
    return Path(name).read_text("utf-8").strip()


async def _ask(
    address: str, question: dict[str, object], *, seconds: float
) -> tuple[int, bytes]:
    """Return the status and the body of the daemon's answer."""
    url = f"http://{address}{EXPLAIN_ROUTE_PATH}"
    async with (
        asyncio.timeout(seconds),
        aiohttp.ClientSession() as session,
        session.post(url, json=question) as response,
    ):
        return response.status, await response.read()


def _print_explanation(context: Context, explanation: RouteExplanation) -> None:
    rows = [
        ("daemon", explanation.instance),
        (
            "configuration",
            f"version {explanation.configuration_version}, confirmed"
            f" {explanation.configuration_age_seconds:.1f} s ago",
        ),
        ("route", explanation.route),
    ]
    if explanation.account:
        rows.append(("client account", explanation.account))
    if explanation.service:
        rows.append(("service", explanation.service))
        rows.append(("priority", explanation.priority))
        rows.append(("time limit", f"{explanation.deadline_seconds:.3f} s"))
    for model in explanation.models:
        text = f"{model.name}, expected in {model.expected_seconds:.3f} s"
        if model.next_model:
            text += (
                f"; if doubtful, {model.escalated_share:.0%} go on to"
                f" {model.next_model}"
            )
        rows.append(("first model" if model.first else "then", text))
    if explanation.service:
        wait = f"{explanation.expected_wait_seconds:.3f} s"
        if explanation.room_is_short:
            wait += ", room is short"
        if explanation.over_share:
            wait += ", the account uses more than its share"
        rows.append(("expected wait", wait))
    if explanation.refusal:
        rows.append(("refused", explanation.refusal))
    if explanation.permit_wait_seconds is not None:
        rows.append(("waits", f"{explanation.permit_wait_seconds:.3f} s for a permit"))
    if explanation.endpoint:
        rows.append(("goes to", explanation.endpoint))
    context.print_table(("", ""), rows)
    if not explanation.endpoints:
        return
    context.print("")
    columns = ("endpoint", "domain", explanation.score_unit, "terms", "obstacle")
    context.print_table(columns, list(map(_build_row, explanation.endpoints)))


def _build_row(endpoint: EndpointExplanation) -> tuple:
    terms = ", ".join(f"{name} {value:.3f}" for name, value in endpoint.terms.items())
    reasons = [] if endpoint.allowed_version else ["other version"]
    if endpoint.obstacle:
        seconds = endpoint.obstacle_seconds
        ends = f" for {seconds:.2f} s" if seconds is not None else ""
        reasons.append(endpoint.obstacle + ends)
    if endpoint.through_peers:
        reasons.append("through peers")
    return (
        f"{'=> ' if endpoint.chosen else ''}{endpoint.name}",
        endpoint.failure_domain,
        f"{endpoint.score:.3f}" if endpoint.score is not None else "",
        terms,
        ", ".join(reasons),
    )


COMMAND = ExplainRouteCommand()
