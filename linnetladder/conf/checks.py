"""Checks of a process's settings: each problem has an id, a message and a hint."""

import dataclasses
from collections.abc import Mapping
from pathlib import Path

import pydantic
from returns.result import Failure, Result, Success

from linnetladder.conf.settings import ENVIRONMENT_PREFIX, Settings

__all__ = ["Problem", "check_settings", "load_settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem that prevents a process from starting, and how to solve it."""

    id: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.id}: {self.message} (hint: {self.hint})"


def load_settings(values: Mapping[str, object]) -> Result[Settings, list[Problem]]:
    """Return validated settings, or every problem found in the values."""
    try:
        settings = Settings.model_validate(dict(values))
    except pydantic.ValidationError as error:
        return Failure(
            [_value_problem(error_details) for error_details in error.errors()]
        )
    problems = check_settings(settings)
    return Failure(problems) if problems else Success(settings)


def _value_problem(error_details: Mapping) -> Problem:
    name = str(error_details["loc"][0]) if error_details["loc"] else "settings"
    configured = error_details.get("input")
    message = f"setting {name!r} has the value {configured!r}: {error_details['msg']}"
    hint = f"set --{name} or {ENVIRONMENT_PREFIX}{name.upper()}"
    return Problem("conf.E001", message, hint)


def check_settings(settings: Settings) -> list[Problem]:
    """Return the problems of settings that are each valid on their own."""
    problems = []
    problems.extend(_check_failure_domain(settings))
    problems.extend(_check_ports(settings))
    problems.extend(_check_urls(settings))
    problems.extend(_check_certificates(settings))
    return problems


def _check_failure_domain(settings: Settings) -> list[Problem]:
    if settings.failure_domain in settings.failure_domains:
        return []
    known_domains = ", ".join(settings.failure_domains)
    message = f"failure_domain {settings.failure_domain!r} is not in failure_domains"
    return [
        Problem(
            "conf.E002",
            message,
            f"use one of {known_domains}, or extend failure_domains",
        )
    ]


def _check_ports(settings: Settings) -> list[Problem]:
    ports = [settings.caller_port, settings.operations_port, settings.peer_port]
    fixed_ports = [port for port in ports if port]
    if len(set(fixed_ports)) == len(fixed_ports):
        return []
    message = f"caller_port, operations_port and peer_port must differ, but are {ports}"
    return [Problem("conf.E003", message, "set a different port for each listener")]


def _check_urls(settings: Settings) -> list[Problem]:
    problems = []
    urls = [("platform_urls", url) for url in settings.platform_urls]
    urls.append(("instance_list_url", settings.instance_list_url))
    if settings.ratings_url:
        urls.append(("ratings_url", settings.ratings_url))
    for name, url in urls:
        if not url.startswith(("http://", "https://")):
            message = (
                f"setting {name!r} has the value {url!r}, which is not an HTTP URL"
            )
            problems.append(
                Problem(
                    "conf.E004",
                    message,
                    "use a URL that starts with http:// or https://",
                )
            )
    return problems


def _check_certificates(settings: Settings) -> list[Problem]:
    names = ("tls_certificate", "tls_key", "tls_authority")
    configured = {
        name: getattr(settings, name) for name in names if getattr(settings, name)
    }
    problems = []
    if configured and len(configured) < len(names):
        missing = ", ".join(name for name in names if name not in configured)
        message = f"TLS for peer connections is incomplete: {missing} not set"
        hint = "set all three TLS files, or none to run without peers"
        problems.append(Problem("conf.E005", message, hint))
    for name, path in configured.items():
        if not Path(path).is_file():
            message = f"setting {name!r} has the value {path!r}, which is not a file"
            problems.append(Problem("conf.E006", message, "set the path of a PEM file"))
    return problems
