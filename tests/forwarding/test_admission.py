"""Admission of requests: refusals, their certainty, and the configuration's age."""

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.state import RequestKind
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    head,
    ready_daemon,
    route,
    table,
)


def test_a_valid_credential_is_admitted_with_its_account():
    daemon = ready_daemon()
    reply = daemon.answer(head("/fetch/1"))
    assert reply.status == 200
    assert daemon.calls.calls[0].request.account_name == "studio"


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"key": "other"}, ErrorKind.UNKNOWN_CREDENTIAL),
        ({"key": None}, ErrorKind.MISSING_CREDENTIAL),
        ({"path": "/nowhere/"}, ErrorKind.UNKNOWN_PATH),
    ],
)
def test_unknown_routes_and_credentials_are_reported_only_by_a_fresh_configuration(
    changes, kind
):
    daemon = ready_daemon()
    changes = {"path": "/fetch/1", **changes}
    assert daemon.answer(head(**changes)).refusal.kind is kind
    daemon.clock.now += 2.0
    stale_refusal = daemon.answer(head(**changes)).refusal
    assert stale_refusal.kind is ErrorKind.CONFIGURATION_STALE
    assert stale_refusal.retry_after_seconds
    assert daemon.calls.calls == []


def test_authenticated_requests_are_refused_before_a_withdrawn_key_could_be_accepted():
    daemon = ready_daemon()
    daemon.source.down = True
    daemon.clock.now += daemon.holder.bounds.revoke - 0.95
    assert daemon.answer(head("/fetch/1")).status == 200
    daemon.clock.now += 0.1
    reply = daemon.answer(head("/fetch/1"))
    assert reply.refusal.kind is ErrorKind.CONFIGURATION_STALE
    assert reply.refusal.ran is Ran.NO


def test_a_daemon_without_a_configuration_refuses_requests_as_not_run():
    reply = LocalDaemon().answer(head("/fetch/1"))
    assert reply.refusal.kind is ErrorKind.CONFIGURATION_UNAVAILABLE
    assert reply.status == 503


def test_an_older_configuration_never_replaces_a_newer_one():
    daemon = ready_daemon()
    daemon.source.table = table(5, accounts=(("studio", "key-2"),))
    assert daemon.read()
    daemon.source.table = table(4)
    assert daemon.read()
    assert daemon.in_force.table.version == 5
    assert daemon.answer(head("/fetch/1")).status == 401
    assert daemon.answer(head("/fetch/1", key="key-2")).status == 200


# Guards against the key of the last client account being accepted after its withdrawal,
# and with it unknown keys and requests without one.
@pytest.mark.parametrize("key", ["key-1", "never-given", None])
def test_an_empty_list_of_accounts_withdraws_all_credentials(key):
    daemon = ready_daemon()
    daemon.source.table = table(2, accounts=())
    assert daemon.read()
    assert daemon.answer(head("/fetch/1", key=key)).status == 401
    started = LocalDaemon(source=MemorySource(table=table(2, accounts=())))
    assert started.read()
    assert started.answer(head("/fetch/1", key=key)).status == 401
    assert daemon.calls.calls == started.calls.calls == []


# Guards against a withdrawn or unknown key being accepted since a configuration does
# without accounts; requests without a key are what such a configuration is for.
@pytest.mark.parametrize("before", [None, (("studio", "key-1"),)])
def test_without_accounts_only_requests_without_a_key_are_served(before):
    daemon = ready_daemon()
    daemon.source.table = table(2, accounts=before)
    assert daemon.read()
    daemon.source.table = table(3, accounts=None)
    assert daemon.read()
    assert daemon.answer(head("/fetch/1", key=None)).status == 200
    assert daemon.answer(head("/fetch/2", key="key-1")).status == 401
    assert daemon.answer(head("/fetch/3", key="never-given")).status == 401


# Guards against routes that a caller may use without a key being closed to others.
@pytest.mark.parametrize("accounts", [None, (), (("studio", "key-1"),)])
@pytest.mark.parametrize("key", ["never-given", None])
def test_public_routes_are_served_whatever_the_accounts(accounts, key):
    public = route("fetch", kind=RequestKind.IDEMPOTENT, public=True)
    daemon = ready_daemon()
    daemon.source.table = table(2, routes=(public,), accounts=accounts)
    assert daemon.read()
    assert daemon.answer(head("/fetch/1", key=key)).status == 200


def test_configuration_age_counts_from_the_start_of_the_read():
    daemon = ready_daemon()
    daemon.in_force.confirm(daemon.clock.now - 4.0)
    assert daemon.in_force.age() == pytest.approx(0.0)
    daemon.clock.now += 3.0
    daemon.in_force.confirm(daemon.clock.now - 2.0)
    assert daemon.in_force.age() == pytest.approx(2.0)


def test_an_admitted_request_records_who_set_its_deadline():
    """The shorter of the route's and the caller's limits sets the deadline.

    Refusals at the deadline name its owner, so that a limit that the operator shortened
    is not reported as the caller's.
    """
    routes = (route("fetch", kind=RequestKind.IDEMPOTENT, timeout_seconds=2.0),)
    for requested_seconds, owner in ((6.0, "route"), (1.5, "caller")):
        daemon = ready_daemon(source=MemorySource(table=table(routes=routes)))
        request = daemon.forwarder.admission.admit(
            head("/fetch/1", deadline_seconds=requested_seconds),
            b"",
            received=daemon.clock.monotonic(),
        ).unwrap()
        assert request.deadline_source == owner
