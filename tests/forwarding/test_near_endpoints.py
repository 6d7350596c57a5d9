"""Prompts stay in their failure domain as long as that has room."""

import collections
import math

import pytest

from linnetladder.forwarding.coordination.selection import (
    MINIMUM_NEAR_ENDPOINTS,
    SelectionInputs,
)
from linnetladder.forwarding.coordination.version_rule import VersionRule
from tests.support.forwarding import LocalDaemon, report

DOMAINS = ("east", "west", "north")


def daemon_before(engines_per_domain):
    """Return a daemon in the domain ``east`` before engines in three domains."""
    daemon = LocalDaemon()
    for domain in DOMAINS:
        for number in range(engines_per_domain):
            name = f"{domain}-{number}"
            daemon.source.endpoints[name] = report(name, failure_domain=domain)
    assert daemon.read()
    return daemon


def choose(daemon, session):
    service = next(iter(daemon.table.endpoints.values())).service
    return daemon.selection.choose(
        SelectionInputs(
            service=service,
            rule=VersionRule(),
            affinity=f"m/{session}",
            shared_seconds=0.05,
            has_prompt=True,
            tried_endpoints=(),
        )
    )


def domains_of_sessions(daemon, sessions=300):
    chosen = [choose(daemon, f"s{number}") for number in range(sessions)]
    return collections.Counter(endpoint.failure_domain for endpoint in chosen)


# Guards against streams that cross failure domains while the own one is idle.
def test_prompts_stay_in_a_domain_with_enough_endpoints():
    daemon = daemon_before(MINIMUM_NEAR_ENDPOINTS)
    assert domains_of_sessions(daemon) == {"east": 300}


# Guards against few endpoints that get all prompts of their domain.
def test_prompts_go_anywhere_from_a_domain_with_few_endpoints():
    daemon = daemon_before(MINIMUM_NEAR_ENDPOINTS - 1)
    domains = domains_of_sessions(daemon)
    assert min(domains[domain] for domain in DOMAINS) > 50


# Guards against callers of a busy domain that wait while others have room.
def test_a_burst_in_one_domain_spills_over():
    daemon = daemon_before(MINIMUM_NEAR_ENDPOINTS)
    for endpoint in daemon.table.endpoints.values():
        if endpoint.failure_domain == "east":
            daemon.loads.begin(endpoint, model="m", tokens=200_000)
    domains = domains_of_sessions(daemon)
    assert domains["east"] == 0
    assert min(domains["west"], domains["north"]) > 50


@pytest.mark.parametrize("lost", ["unlisted", "unreachable"])
def test_without_endpoints_of_their_domain_prompts_go_to_others(lost):
    """Guards against callers that are not served when their domain is lost."""
    daemon = daemon_before(MINIMUM_NEAR_ENDPOINTS)
    for endpoint in daemon.table.endpoints.values():
        if endpoint.failure_domain == "east":
            endpoint.listed = lost != "unlisted"
            endpoint.ejected_until = math.inf if lost == "unreachable" else 0.0
    domains = domains_of_sessions(daemon)
    assert domains["east"] == 0
    assert sum(domains.values()) == 300
