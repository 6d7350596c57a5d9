"""Configurations with empty, missing and unreadable values: what each means then."""

import asyncio
import json
import signal

import aiohttp
import pytest

from bench.fleet_site import HOST, FleetSite
from bench.processes import wait_for
from linnetladder.forwarding.state import Route, UnreadableRoute, credential_digest
from linnetladder.platform.configuration import ConfigurationError, read_configuration
from linnetladder.platform.documents import (
    EngineModel,
    LimitsModel,
    RouteModel,
    ServiceModel,
    TenantModel,
)
from tests.support.forwarding import head, ready_daemon

ROUTE = {
    "Name": "r1",
    "Host": "API.example",
    "PathPrefix": "/a/b/",
    "Kind": "idempotent",
    "TimeoutMs": 12000,
    "GoalMs": 2000,
    "Priority": 3,
    "Sizes": ["m0", "m1"],
    "Split": [{"Service": "s1", "Weight": 9}, {"Service": "s2"}],
    "Attempts": 3,
    "Public": True,
    "CanResume": True,
    "GapTargetMs": 800,
    "AllowedRegions": ["r"],
}
OTHER_ROUTE = ROUTE | {"Name": "r2", "PathPrefix": "/a/", "Service": "s2", "Split": []}
ACCOUNT = {"Name": "t1", "ApiKeys": ["k1"], "Priority": 2, "AllowedRegions": ["r"]}
OTHER_ACCOUNT = {"Name": "t2", "ApiKeys": ["k2"]}
ENGINE = {"Slots": 8, "KvCapacity": 9}
SERVICE = {
    "Name": "s1",
    "HealthPath": "/healthz",
    "MaxConns": 7,
    "ColdS": 2,
    "ColdPerS": 1,
    "Engine": ENGINE,
}
LIMITS = {
    "MaxHeaderBytes": 1000,
    "MaxBodyBytes": 2000,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 4000,
}
CONFIGURATION = {
    "Version": 8,
    "Routes": [ROUTE, OTHER_ROUTE],
    "Services": [SERVICE, {"Name": "s2"}],
    "Tenants": [ACCOUNT, OTHER_ACCOUNT],
    "Limits": LIMITS,
}

NUMBERS = ("much", -1, float("nan"), float("inf"), 1e308, 10**400, [], {})
TEXTS = (5, True, [], {})
LISTS = ("much", 5, {"a": 1}, [5], [None], [""], [[]])
# For each field: what a missing or empty value means, what an unreadable one does, and
# unreadable values. ``default``: like a missing value; ``refused``: requests that match
# the route are refused; ``hidden``: the entry is left out, and requests that it could
# decide about are refused; ``left out``: the entry is, alone.
ROUTE_FIELDS = {
    "Name": ("refused", "refused", TEXTS),
    "Host": ("hidden", "hidden", TEXTS),
    "PathPrefix": ("hidden", "hidden", TEXTS),
    # Whether a request may be repeated, and where it may go, is never guessed.
    "Kind": ("refused", "refused", ("new", *TEXTS)),
    "Sizes": ("default", "refused", LISTS),
    "Split": ("default", "refused", (*LISTS, [{"Service": "s1", "Weight": -1}])),
    "Service": ("default", "refused", TEXTS),
    "AllowedRegions": ("default", "refused", LISTS),
    "TimeoutMs": ("default", "default", (0, *NUMBERS)),
    "GoalMs": ("default", "default", NUMBERS),
    "Priority": ("default", "default", NUMBERS),
    # The defaults allow no more than any value.
    "Attempts": ("default", "default", NUMBERS),
    "Public": ("default", "default", ("perhaps", 7, [], {})),
    "CanResume": ("default", "default", ("perhaps", 7, [], {})),
    "GapTargetMs": ("default", "default", NUMBERS),
}
ACCOUNT_FIELDS = {
    "Name": ("hidden", "hidden", ("a\r\nb", *TEXTS)),
    "ApiKeys": ("default", "hidden", ("k1", 5, {"a": 1})),
    "Priority": ("default", "default", NUMBERS),
    "AllowedRegions": ("default", "hidden", LISTS),
}
SERVICE_FIELDS = {
    "Name": ("left out", "left out", TEXTS),
    "HealthPath": ("default", "default", ("healthz", "/a\r\nb", 5, [])),
    "MaxConns": ("default", "default", NUMBERS),
    "ColdS": ("default", "default", NUMBERS),
    "ColdPerS": ("default", "default", NUMBERS),
    "Engine": ("default", "default", ("much", 5, [1])),
}
ENGINE_FIELDS = dict.fromkeys(("Slots", "KvCapacity"), NUMBERS)
LIMIT_FIELDS = dict.fromkeys(LIMITS, (0, *NUMBERS))
FIELDS = {"Routes": ROUTE_FIELDS, "Services": SERVICE_FIELDS, "Tenants": ACCOUNT_FIELDS}
EMPTY_CASES = [
    (part, name, meanings[0])
    for part, fields in FIELDS.items()
    for name, meanings in fields.items()
]
UNREADABLE_CASES = [
    (part, name, meanings[1], value)
    for part, fields in FIELDS.items()
    for name, meanings in fields.items()
    for value in meanings[2]
]
CHANGED_SECONDS = 4.0
READY_SECONDS = 20.0


def read(document):
    return read_configuration(json.dumps(document).encode(), revision=40)


def change_entry(part, name, *values):
    """Return the configuration with another field of one entry, or without it."""
    entry = dict(CONFIGURATION[part][0])
    entry.pop(name, None)
    if values:
        entry[name] = values[0]
    if name == "Split":
        # Otherwise no service is named.
        entry["Service"] = "s1"
    return CONFIGURATION | {part: [entry, *CONFIGURATION[part][1:]]}


def check_meaning(part, name, meaning, changed):
    """Check what a configuration without a field of one entry means."""
    found = changed.find_route("api.example", "/a/b/c")
    unreadable = changed.unreadable
    missing = read(change_entry(part, name))
    if part == "Routes":
        assert unreadable.hides_routes == (meaning == "hidden")
        assert isinstance(found, UnreadableRoute) == (meaning == "refused")
        if meaning == "hidden":
            assert [route.name for route in changed.routes] == ["r2"]
    else:
        assert found.name == "r1"
    if part == "Tenants":
        assert unreadable.hides_accounts == (meaning == "hidden")
        assert ("t1" in changed.accounts) == (meaning == "default")
    else:
        assert changed.find_account(credential_digest("k1")).name == "t1"
    if part == "Services":
        assert ("s1" in changed.services) == (meaning == "default")
    if meaning == "default":
        assert (changed.routes, changed.services, changed.accounts) == (
            missing.routes,
            missing.services,
            missing.accounts,
        )
    # The other entries and all other parts are in force.
    assert changed.find_account(credential_digest("k2")).name == "t2"
    assert changed.find_account(credential_digest("k3")) is None
    other = changed.find_route("api.example", "/a/x")
    assert isinstance(other, Route) and other.name == "r2"
    assert "s2" in changed.services
    assert changed.limits == read(CONFIGURATION).limits


# Guards against a field whose empty and unreadable forms nobody has decided about.
def test_the_tables_name_all_fields():
    assert set(ROUTE_FIELDS) == set(RouteModel.model_fields)
    assert set(ACCOUNT_FIELDS) == set(TenantModel.model_fields)
    assert set(SERVICE_FIELDS) == set(ServiceModel.model_fields)
    assert set(ENGINE_FIELDS) == set(EngineModel.model_fields)
    assert set(LIMIT_FIELDS) == set(LimitsModel.model_fields)


# Guards against null, the empty text and a missing field meaning different things.
@pytest.mark.parametrize(("part", "name", "meaning"), EMPTY_CASES)
@pytest.mark.parametrize("values", [(), (None,), ("",)])
def test_an_empty_field_is_a_missing_one(part, name, meaning, values):
    changed = read(change_entry(part, name, *values))
    check_meaning(part, name, meaning, changed)
    assert bool(changed.unreadable.problems) == (meaning != "default")


# Guards against one value that keeps a whole version out of force, or that is believed.
@pytest.mark.parametrize(("part", "name", "meaning", "value"), UNREADABLE_CASES)
def test_an_unreadable_field_concerns_its_entry_alone(part, name, meaning, value):
    changed = read(change_entry(part, name, value))
    check_meaning(part, name, meaning, changed)
    problems = changed.unreadable.problems
    assert problems and all(p.startswith(f"{part}.0.") for p in problems)
    assert any(name in problem for problem in problems)


# Guards against one key that takes the others of its account with it.
@pytest.mark.parametrize(
    ("key", "unreadable"), [(None, False), ("", False), (5, True), (["k3"], True)]
)
def test_the_keys_of_an_account_are_read_one_by_one(key, unreadable):
    account = ACCOUNT | {"ApiKeys": [key, "k1", key]}
    changed = read(CONFIGURATION | {"Tenants": [account, OTHER_ACCOUNT]})
    assert changed.find_account(credential_digest("k1")).name == "t1"
    assert changed.find_account(credential_digest("")) is None
    assert changed.unreadable.hides_accounts == unreadable
    assert bool(changed.unreadable.problems) == unreadable


# Guards against an engine or a limit of which one figure takes the others with it.
@pytest.mark.parametrize(
    ("name", "value"),
    [(name, value) for name, values in ENGINE_FIELDS.items() for value in values],
)
def test_an_unreadable_figure_of_engines_has_its_default(name, value):
    engine = ENGINE | {name: value}
    changed = read(CONFIGURATION | {"Services": [SERVICE | {"Engine": engine}]})
    del engine[name]
    missing = read(CONFIGURATION | {"Services": [SERVICE | {"Engine": engine}]})
    assert changed.services == missing.services
    (problem,) = changed.unreadable.problems
    assert problem.startswith(f"Services.0.Engine.{name}: ")


@pytest.mark.parametrize(
    ("name", "value"),
    [(name, value) for name, values in LIMIT_FIELDS.items() for value in values],
)
def test_an_unreadable_limit_has_its_default(name, value):
    changed = read(CONFIGURATION | {"Limits": LIMITS | {name: value}})
    kept = {field: limit for field, limit in LIMITS.items() if field != name}
    assert changed.limits == read(CONFIGURATION | {"Limits": kept}).limits
    (problem,) = changed.unreadable.problems
    assert problem.startswith(f"Limits.{name}: ")


# Guards against a list or a table that is empty, missing or unreadable as a whole. An
# empty list of accounts holds no credential; only without the field none is needed.
@pytest.mark.parametrize(
    ("part", "values", "unreadable"),
    [
        *(
            (part, values, False)
            for part in ("Routes", "Services", "Tenants", "Limits")
            for values in ((), (None,), ("",))
        ),
        *((part, ([],), False) for part in ("Routes", "Services", "Tenants")),
        *(
            (part, (value,), True)
            for part in ("Routes", "Services", "Tenants", "Limits")
            for value in (5, "much", [5], [None], [[]])
        ),
    ],
)
def test_each_part_is_read_by_itself(part, values, unreadable):
    document = {n: v for n, v in CONFIGURATION.items() if n != part}
    if values:
        document[part] = values[0]
    changed = read(document)
    whole = read(CONFIGURATION)
    assert bool(changed.unreadable.problems) == unreadable
    assert changed.routes == (whole.routes if part != "Routes" else ())
    assert changed.unreadable.hides_routes == (unreadable and part == "Routes")
    assert changed.services == (whole.services if part != "Services" else {})
    assert changed.accounts == (whole.accounts if part != "Tenants" else {})
    assert changed.has_accounts == (part != "Tenants" or values != ())
    assert changed.unreadable.hides_accounts == (unreadable and part == "Tenants")
    if part != "Limits":
        assert changed.limits == whole.limits


# Guards against a route, an account or a key that is listed twice, without a word.
@pytest.mark.parametrize(
    ("part", "entry", "in_force"),
    [
        ("Routes", ROUTE | {"Name": "r3", "Host": "api.EXAMPLE"}, "r3 t1 t2"),
        ("Tenants", {"Name": "t1", "ApiKeys": ["k3"]}, "r1 t1 t2"),
        ("Tenants", {"Name": "t3", "ApiKeys": ["k2"]}, "r1 t1 t3"),
        ("Services", SERVICE | {"MaxConns": 2}, "r1 t1 t2"),
    ],
)
def test_the_last_entry_of_a_name_is_in_force_and_reported(part, entry, in_force):
    changed = read(CONFIGURATION | {part: [*CONFIGURATION[part], entry]})
    assert len(changed.unreadable.problems) == 1
    assert "k2" not in changed.unreadable.problems[0]
    owners = [changed.find_account(credential_digest(key)) for key in ("k1", "k2")]
    route = changed.find_route("api.example", "/a/b/c")
    assert " ".join((route.name, *(owner.name for owner in owners))) == in_force


# Guards against a log, or an answer to a caller, with a key that can't be decoded.
@pytest.mark.parametrize("keys", [["k-secret", 5], "k-secret", {"k-secret": 1}])
def test_problems_hold_no_values(keys):
    account = {"Name": "t1", "ApiKeys": keys}
    changed = read(CONFIGURATION | {"Tenants": [account]})
    assert changed.unreadable.problems
    assert "k-secret" not in repr(changed.unreadable)


# Guards against a version that can't be ordered among the others.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"null",
        b"[]",
        b'"k-secret"',
        b"[" * 100_000,
        b'{"Routes": []}',
        b'{"Version": null}',
        b'{"Version": ""}',
        b'{"Version": "k-secret"}',
        b'{"Version": -1}',
        b'{"Version": 1e308}',
        b'{"Version": 9223372036854775808}',
    ],
)
def test_a_configuration_without_a_version_is_unreadable_as_a_whole(value):
    with pytest.raises(ConfigurationError) as raised:
        read_configuration(value, revision=40)
    assert "k-secret" not in str(raised.value)


# Guards against callers who are told that a route or a key does not exist, though it
# may be among what can't be read; and against a shorter route that gets its requests.
def test_requests_that_an_unreadable_part_decides_about_are_refused():
    daemon = ready_daemon()
    tenants = [OTHER_ACCOUNT, {"Name": 5, "ApiKeys": ["k1"]}]
    routes = [
        OTHER_ROUTE | {"Sizes": [], "AllowedRegions": None, "Public": False},
        ROUTE | {"Kind": "new"},
    ]
    document = CONFIGURATION | {"Routes": routes, "Tenants": tenants}
    daemon.source.table = read(document)
    assert daemon.read()
    for path, key, status in (
        ("/a/b/c", "k2", 503),
        ("/a/x", "k1", 503),
        ("/a/x", None, 401),
        ("/c/", "k2", 404),
    ):
        reply = daemon.answer(head(path, key=key))
        assert reply.status == status
        if status == 503:
            assert reply.refusal.kind.value == "configuration_unreadable"
            assert reply.refusal.retry_after_seconds


async def status_of(site, name, *, path="/fetch/a", key="key-studio"):
    """Return the status of a request at a daemon, 0 if it does not answer."""
    headers = {"Host": HOST, "Linnetladder-Attempt-Id": f"{name}{path}"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    async with aiohttp.ClientSession() as session:
        try:
            url = site.front_url(name) + path
            async with session.get(url, headers=headers) as answer:
                return answer.status
        except aiohttp.ClientError:
            return 0


# Guards against the gravest form of the fault: a version that takes a key away and has
# one unreadable value left the key in use at daemons that ran, and one that started
# then served nobody. They must not differ.
def test_running_and_starting_daemons_agree_on_an_unreadable_value(tmp_path):
    async def scenario():
        site = FleetSite(folder=tmp_path, daemons=2)
        try:
            await site.start()
            for name in site.daemon_names:
                assert await wait_for(site.ready_url(name), seconds=READY_SECONDS)
            assert await status_of(site, "daemon-1", key=site.keys["guest"]) == 200
            guest = site.keys.pop("guest")
            document = site._configuration() | {"Version": 7}
            (save,) = (r for r in document["Routes"] if r["Name"] == "save")
            save["Kind"] = "new"
            document["Limits"] = {"MaxBodyBytes": ""}
            site.store.put("op/config", document)
            await asyncio.sleep(CHANGED_SECONDS)
            await site.restart("daemon-2", signal.SIGKILL)
            assert await wait_for(site.ready_url("daemon-2"), seconds=READY_SECONDS)
            found = {}
            for name in site.daemon_names:
                found[name] = [
                    await status_of(site, name, key=guest),
                    await status_of(site, name, key=site.keys["studio"]),
                    await status_of(site, name, key="never-given"),
                    await status_of(site, name, path="/save/a"),
                ]
            return found
        finally:
            await site.stop()

    expected = [401, 200, 401, 503]
    found = asyncio.run(scenario())
    assert found == {"daemon-1": expected, "daemon-2": expected}
