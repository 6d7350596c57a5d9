"""Tests of the platform's adapter: settings, store documents and headers."""

import asyncio
import base64
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys

import orjson
import pytest
from returns.result import Failure

from linnetladder.coordination.platform import FaultKind
from linnetladder.forwarding.coordination.shared_secret import SharedSecret
from linnetladder.forwarding.coordination.shared_snapshots import content_digest
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.daemon_variables import (
    VariableError,
    read_operations_settings,
    read_policy_settings,
)
from linnetladder.forwarding.protocol import EndpointCall, InvalidHeadError
from linnetladder.forwarding.state import (
    CrashingPart,
    ForwardRequest,
    RequestKind,
    RolloutPhase,
    RolloutRecord,
    credential_digest,
)
from linnetladder.platform import (
    PlatformCallerCodec,
    PlatformEndpointCodec,
    PlatformSource,
    PlatformStore,
    SettingsError,
    read_settings,
)
from linnetladder.platform.documents import ConfigurationModel
from linnetladder.platform.source import SECRET_KEY
from linnetladder.telemetry import Metrics
from standins.fleet_store import FleetStore
from tests.support.forwarding import ManualClock, head, route, table

SETTINGS = """Node=edge-a-1
Zone=a
Ip=10.1.0.4
Zones.a=r
Zones.b=q
Listen.Front=10.1.0.4:8001
Listen.Ready=10.1.0.4:8002
PortRange=7000,7015
Provider.Address=10.9.0.1:8003
Bounds.RevokeMs=4000
Bounds.EvacuateMs=3000
Bounds.StrictRevoke=false
Unknown.Field=1
"""

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "API.example",
            "PathPrefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 12000,
            "GoalMs": 2000,
            "Priority": 1,
            "Sizes": ["m0", "m1"],
            "Split": [
                {"Service": "s1", "Weight": 90},
                {"Service": "s2", "Weight": 10},
            ],
            "Attempts": 3,
            "CanResume": True,
        },
        {
            "Name": "r2",
            "Host": "api.example",
            "PathPrefix": "/a/b/",
            "Kind": "non_idempotent",
            "TimeoutMs": 600,
            "Service": "s2",
            "Public": True,
        },
    ],
    "Services": [
        {"Name": "s1", "Engine": {"Slots": 8, "Models": [{"Name": "m0", "Cost": 0.1}]}},
        {"Name": "s2"},
    ],
    "Limits": {"MaxBodyBytes": 1000, "IdleTimeoutMs": 9000},
    "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 2}],
}

WORKER = {
    "Service": "s1",
    "Address": "10.0.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdMs": 0,
    "Seq": 4,
    "born": 1790000000000,
}


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.instance == "edge-a-1"
    assert settings.failure_domains == ("a", "b")
    assert settings.regions == {"a": "r", "b": "q"}
    assert (settings.caller_port, settings.ready_port) == (8001, 8002)
    assert settings.peer_ports == (7000, 7015)
    assert settings.bounds.revoke == 4.0
    assert settings.bounds.evacuate == 3.0
    assert not settings.bounds.strict_revocation


@pytest.mark.parametrize(
    "change", [("Node=edge-a-1\n", ""), ("7000,7015", "x"), ("10.9.0.1:8003", "soon")]
)
def test_invalid_settings_raise_a_settings_error(tmp_path, change):
    path = tmp_path / "node.conf"
    path.write_text(SETTINGS.replace(*change))
    with pytest.raises(SettingsError, match="not valid"):
        read_settings(path)
    with pytest.raises(SettingsError, match="can't read"):
        read_settings(tmp_path / "missing")


def test_environment_variables_are_read_and_an_invalid_one_is_named():
    variables = {
        "LINNETLADDER_POLICY_CONFIDENCE": "60",
        "LINNETLADDER_OPERATIONS_METRICS_PORT": "9464",
    }
    assert read_policy_settings(variables).confidence == 60.0
    assert read_operations_settings(variables).metrics_port == 9464
    assert read_operations_settings({}).metrics_port == 0
    variables["LINNETLADDER_OPERATIONS_METRICS_PORT"] = "all"
    with pytest.raises(VariableError, match="OPERATIONS_METRICS_PORT"):
        read_operations_settings(variables)


# Guards against a variable that a deploy file left empty and that ends every daemon.
@pytest.mark.parametrize("value", ["", " "])
def test_an_empty_variable_is_a_missing_one(value):
    variables = {
        "LINNETLADDER_POLICY_CONFIDENCE": value,
        "LINNETLADDER_OPERATIONS_METRICS_PORT": value,
    }
    assert read_policy_settings(variables) == read_policy_settings({})
    assert read_operations_settings(variables) == read_operations_settings({})


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "1e308", "101"])
def test_a_variable_that_is_no_figure_is_named(value):
    variables = {"LINNETLADDER_POLICY_CONFIDENCE": value}
    with pytest.raises(VariableError, match="POLICY_CONFIDENCE"):
        read_policy_settings(variables)


def test_sighup_during_startup_does_not_end_the_process(tmp_path):
    """SIGHUP must not kill a daemon that has not yet installed its handler.

    Seed 114 of the soak test showed this failure.
    """
    path = tmp_path / "node.conf"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "linnetladder.fleet"],
        env={**os.environ, "LINNETLADDER_BOOT": str(path)},
        stderr=subprocess.PIPE,
    )
    # Opening the pipe blocks until the daemon opens its settings, its first step.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("nothing\n")
    _, errors = process.communicate()
    assert process.returncode == 2
    assert b"is not valid" in errors


def test_configuration_is_decoded_into_routes_accounts_and_limits():
    decoded = ConfigurationModel.model_validate(CONFIGURATION).decode(revision=40)
    assert (decoded.version, decoded.revision) == (7, 40)
    found = decoded.find_route("api.example", "/a/b/c")
    assert (found.name, found.public) == ("r2", True)
    assert found.kind is RequestKind.NON_IDEMPOTENT
    assert decoded.find_route("api.example", "/a/x").name == "r1"
    assert decoded.find_route("api.example", "/b/") is None
    assert decoded.find_route("other.example", "/a/x") is None
    assert decoded.find_account(credential_digest("k2")).name == "t1"
    assert decoded.limits.body_bytes == 1000
    chosen = [decoded.routes[0].choose_service(f"k{n}") for n in range(1000)]
    assert 850 < chosen.count("s1") < 950


@pytest.mark.parametrize(
    ("field", "regions"),
    [
        ({"AllowedRegions": ["r", "q"]}, {"r", "q"}),
        ({"AllowedRegions": []}, set()),
        ({"AllowedRegions": None}, set()),
        ({}, set()),
    ],
)
def test_allowed_regions_of_routes_and_tenants_are_decoded(field, regions):
    """Guards against homes that are not read, or that a missing list would set."""
    document = {
        **CONFIGURATION,
        "Routes": [{**CONFIGURATION["Routes"][0], **field}],
        "Tenants": [{**CONFIGURATION["Tenants"][0], **field}],
    }
    decoded = ConfigurationModel.model_validate(document).decode(revision=40)
    assert decoded.routes[0].allowed_regions == regions
    assert decoded.accounts["t1"].allowed_regions == regions


# Guards against a list of accounts that is there and empty being taken for none.
@pytest.mark.parametrize(
    ("change", "has_accounts", "accounts"),
    [({}, True, {"t1"}), ({"Tenants": []}, True, set()), (None, False, set())],
)
def test_an_empty_list_of_accounts_differs_from_a_missing_one(
    change, has_accounts, accounts
):
    document = CONFIGURATION | (change or {})
    if change is None:
        del document["Tenants"]
    decoded = ConfigurationModel.model_validate(document).decode(revision=40)
    assert decoded.has_accounts is has_accounts
    assert set(decoded.accounts) == accounts


def run_with_store(work):
    """Run a coroutine function against the store stand-in over HTTP."""

    async def scenario():
        server = FleetStore()
        address = await server.start()
        metrics = Metrics()
        store = PlatformStore(
            address=address,
            era=StoreEra(metrics=metrics),
            clock=ManualClock(),
            metrics=metrics,
        )
        source = PlatformSource(store=store, metrics=Metrics())
        try:
            return await work(server, store, source)
        finally:
            await store.close()
            await server.stop()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"Slots": "8"},
        {"Slots": 0},
        {"Address": "nowhere"},
        {"Service": None},
        {"born": "yesterday"},
        {"Models": "m0"},
    ],
)
def test_malformed_worker_entry_is_ignored_and_others_are_read(change):
    async def work(server, store, source):
        server.put("servers/good", WORKER)
        server.put("servers/bad", {**WORKER, **change})
        server.put_bytes("servers/binary", b"\xff\xfe")
        read = (await source.read()).unwrap()
        assert [endpoint.name for endpoint in read.endpoints] == ["good"]
        assert read.endpoints[0].incarnation == "1790000000000"

    run_with_store(work)


@pytest.mark.parametrize("field", ["Service", "Address", "Slots", "State", "Seq"])
def test_worker_entry_without_a_required_field_is_ignored(field):
    async def work(server, store, source):
        entry = {name: value for name, value in WORKER.items() if name != field}
        server.put("servers/bad", entry)
        assert (await source.read()).unwrap().endpoints == ()

    run_with_store(work)


def test_one_range_call_reads_operator_daemon_and_worker_keys():
    async def work(server, store, source):
        server.put("op/config", CONFIGURATION)
        server.put("op/rollout/s1", {"Service": "s1", "Target": "v2", "DurationS": 24})
        server.put("servers/w1", WORKER)
        server.put("linnetladder/ledger/x/1", {"not": "followed"})
        snapshot = (await source.read()).unwrap()
        assert snapshot.table.version == 7
        assert snapshot.orders[0].target == "v2"
        assert server.calls["kv-range"] == 1
        assert server.returned_keys[-1] == ["op/config", "op/rollout/s1", "servers/w1"]

    run_with_store(work)


def test_keys_of_evacuated_domains_are_read_whatever_their_value():
    """Guards against an evacuation that is passed over for its value."""

    async def work(server, store, source):
        server.put("op/evacuate/a", {})
        server.put_bytes("op/evacuate/b/c", b"")
        server.put_bytes("op/evacuate/d", b"\xff{")
        server.put_bytes("op/evacuate/", b"{}")
        snapshot = (await source.read()).unwrap()
        names = [domain.name for domain in snapshot.evacuated_domains]
        assert names == ["a", "b/c", "d"]
        newest = snapshot.evacuated_domains[-1].revision
        assert snapshot.position.revision == newest > 0
        assert source.metrics.value("platform_faults", label="unreadable_entry") == 1

    run_with_store(work)


def test_invalid_configuration_keeps_the_previous_one():
    async def work(server, store, source):
        server.put("op/config", CONFIGURATION)
        await source.read()
        server.put("op/config", {"Version": "eight"})
        assert (await source.read()).unwrap().table.version == 7

    run_with_store(work)


def test_rollout_write_is_conditional_and_sets_the_operators_status():
    async def work(server, store, source):
        record = RolloutRecord(
            service="s1",
            target="v2",
            order_revision=3,
            phase=RolloutPhase.CANARY,
            ordered_unix=1.0,
            canary_unix=2.0,
            canary_share=0.05,
        )
        assert (await source.write_rollout(record)).unwrap()
        assert not (await source.write_rollout(record)).unwrap()
        status = orjson.loads(server.value("status/rollout/s1"))
        assert status == {"State": "in_progress", "Target": "v2"}
        (found,) = (await source.read()).unwrap().records
        assert found.revision > 0

    run_with_store(work)


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        ("unavailable", FaultKind.UNREACHABLE),
        ("lost_reply", FaultKind.UNKNOWN_OUTCOME),
    ],
)
def test_failed_write_reports_whether_it_may_have_taken_effect(fault, kind):
    async def work(server, store, source):
        server.faults.append(fault)
        written = await source.write_bills(
            incarnation="i", name="00000001", content=b"bills"
        )
        assert written.failure().kind is kind
        again = await source.write_bills(
            incarnation="i", name="00000001", content=b"bills"
        )
        assert again.unwrap() is (fault == "unavailable")

    run_with_store(work)


# Guards against a cause that comes back ten minutes later, when a lease has ended.
def test_a_crashing_part_is_recorded_once_until_it_is_deleted():
    async def work(server, store, source):
        part = CrashingPart(part="p1-ab", crashed_unix=1_700_000_000.5)
        assert (await source.write_crashing_part(part)).unwrap()
        server.expire_all_leases()
        assert not (await source.write_crashing_part(part)).unwrap()
        (record,) = (await source.read()).unwrap().crashing_parts
        assert (record.part, record.crashed_unix) == ("p1-ab", 1_700_000_000.5)
        stale = dataclasses.replace(record, revision=1)
        assert not (await source.delete_crashing_part(stale)).unwrap()
        assert (await source.delete_crashing_part(record)).unwrap()
        assert (await source.read()).unwrap().crashing_parts == ()
        assert (await source.write_crashing_part(part)).unwrap()

    run_with_store(work)


def test_daemon_registers_again_after_its_lease_has_expired():
    async def work(server, store, source):
        address = DaemonAddress(
            instance="d1",
            incarnation="i",
            failure_domain="a",
            host="10.0.0.1",
            port=7000,
        )
        await source.register_daemon(address, seconds=8)
        assert (await source.read()).unwrap().daemons == (address,)
        server.expire_all_leases()
        assert (await source.read()).unwrap().daemons == ()
        await source.register_daemon(address, seconds=8)
        assert (await source.read()).unwrap().daemons == (address,)

    run_with_store(work)


def test_watch_yields_changes_after_the_current_revision():
    async def work(server, store, source):
        server.put("op/config", CONFIGURATION)
        events = store.watch("op/")
        following = asyncio.ensure_future(anext(events))
        await asyncio.sleep(0.05)
        server.put("op/config", {**CONFIGURATION, "Version": 8})
        event = (await following).unwrap()
        assert orjson.loads(event.value)["Version"] == 8
        await events.aclose()

    run_with_store(work)


HEADERS = {
    "Host": "API.example:80",
    "Linnetladder-Attempt-Id": "a1",
    "Linnetladder-Deadline-Ms": "1500",
    "Linnetladder-Model": "*",
    "Linnetladder-Token-Counts": "1460,80",
    "Linnetladder-Prompt-Prefix": "5c1e:800,91bd:410,e440:250",
    "Authorization": "Bearer k1",
    "Linnetladder-Tenant": "forged",
    "Linnetladder-Hold": "forged",
    "Kv-From": "forged",
    "Connection": "keep-alive, X-Private",
    "X-Private": "1",
    "X-Kept": "2",
    "Content-Length": "5",
}


def test_request_head_is_decoded_without_the_routers_own_headers():
    decoded = PlatformCallerCodec().decode_request_head("POST", "/a/x?q=1", HEADERS)
    assert decoded.headers == (
        ("Linnetladder-Attempt-Id", "a1"),
        ("Linnetladder-Token-Counts", "1460,80"),
        ("Linnetladder-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"),
        ("X-Kept", "2"),
    )
    assert (decoded.path, decoded.host) == ("/a/x", "api.example")
    assert decoded.deadline_seconds == 1.5
    assert decoded.credential == "k1"
    assert decoded.prompt.session == "91bd"


@pytest.mark.parametrize(
    "change",
    [
        {"Linnetladder-Attempt-Id": ""},
        {"Linnetladder-Deadline-Ms": "soon"},
        {"Linnetladder-Token-Counts": "many"},
        {"Linnetladder-Prompt-Prefix": "5c1e"},
    ],
)
def test_malformed_request_head_is_rejected(change):
    with pytest.raises(InvalidHeadError):
        PlatformCallerCodec().decode_request_head("POST", "/a/", {**HEADERS, **change})


# Guards against figures of callers that are no figures: a time limit that compares with
# nothing, and tokens that lower what endpoints are taken to have in memory.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        *(("Linnetladder-Deadline-Ms", v) for v in ("nan", "inf", "-1", "0")),
        *(
            ("Linnetladder-Token-Counts", v)
            for v in ("-5,80", "5,-80", "nan,80", "1e9,80", "9" * 30)
        ),
        *(
            ("Linnetladder-Prompt-Prefix", v)
            for v in ("a:-5", "a:nan", "a:" + "9" * 30)
        ),
    ],
)
def test_figures_of_a_request_head_are_finite_and_not_negative(name, value):
    with pytest.raises(InvalidHeadError):
        PlatformCallerCodec().decode_request_head(
            "POST", "/a/", HEADERS | {name: value}
        )


# Guards against an empty field of a head that is taken for an unreadable one.
@pytest.mark.parametrize(
    "name", ["Linnetladder-Deadline-Ms", "Linnetladder-Token-Counts"]
)
@pytest.mark.parametrize("value", ["", "  "])
def test_an_empty_field_of_a_request_head_is_a_missing_one(name, value):
    codec = PlatformCallerCodec()
    empty = codec.decode_request_head("POST", "/a/", HEADERS | {name: value})
    missing = {field: text for field, text in HEADERS.items() if field != name}
    decoded = codec.decode_request_head("POST", "/a/", missing)
    assert (empty.deadline_seconds, empty.prompt) == (
        decoded.deadline_seconds,
        decoded.prompt,
    )


def test_endpoint_call_carries_the_account_but_not_the_credential():
    decoded = PlatformCallerCodec().decode_request_head("POST", "/a/x", HEADERS)
    call = EndpointCall(
        request=ForwardRequest(
            head=decoded,
            body=b"",
            route=route(),
            service="s1",
            account=table().accounts["studio"],
            received=0.0,
            deadline=1.0,
            deadline_source="caller",
            priority=0,
            fingerprint="",
            configuration_version=1,
        ),
        instance="w1",
        address="10.0.0.9:80",
        remaining_seconds=0.7509,
        urgency=1,
        model="m1",
        resume_after="4",
    )
    sent = dict(PlatformEndpointCodec().build_call_headers(call))
    assert sent["Linnetladder-Tenant"] == "studio"
    assert sent["Linnetladder-Expect-Instance"] == "w1"
    assert sent["Linnetladder-Deadline-Ms"] == "750"
    assert sent["Linnetladder-Model"] == "m1"
    assert sent["Last-Event-Id"] == "4"
    assert "Authorization" not in sent


def test_answer_headers_exclude_hop_by_hop_headers():
    answer = PlatformEndpointCodec().decode_response_head(
        200,
        {
            "Linnetladder-Attempt-Id": "a1",
            "Linnetladder-Server-Seal": "s",
            "Linnetladder-Confidence": "57",
            "Connection": "close",
            "Content-Length": "9",
        },
    )
    assert (answer.sealed, answer.closes_connection, answer.length) == (True, True, 9)
    assert answer.confidence == 57.0
    assert [name for name, _ in answer.headers] == [
        "Linnetladder-Attempt-Id",
        "Linnetladder-Server-Seal",
        "Linnetladder-Confidence",
    ]


@pytest.mark.parametrize(
    ("value", "limit", "named"),
    [
        ("1.3", 1.3, True),
        ("0.25", 0.25, True),
        ("0", 0.0, True),
        ("1200", 1200.0, True),
        ("-1", None, True),
        ("nan", None, True),
        ("inf", None, True),
        ("few", None, True),
        ("", None, True),
        (None, None, False),
    ],
)
def test_limit_on_requests_is_decoded_and_invalid_ones_are_told(value, limit, named):
    """Guards against endpoints whose limit on requests goes unnoticed."""
    headers = {"Linnetladder-Attempt-Id": "a1"}
    if value is not None:
        headers["Server-Limit"] = value
    answer = PlatformEndpointCodec().decode_response_head(200, headers)
    assert (answer.request_limit, answer.names_request_limit) == (limit, named)


# Guards against an empty credential, which an account could also have.
@pytest.mark.parametrize("value", ["Bearer ", "Bearer", "Bearer   ", ""])
def test_an_empty_credential_is_none(value):
    headers = {"Linnetladder-Attempt-Id": "a1", "Authorization": value}
    decoded = PlatformCallerCodec().decode_request_head("GET", "/a/", headers)
    assert decoded.credential is None


def test_fetch_request_head_has_no_prompt():
    assert head("/fetch/1").prompt is None


WIRE_NAMES = re.compile(
    r"Linnetladder-(Attempt|Token|Prompt|Tenant|Expect|Not-Run|Server|Urgency|Conf)"
    r"|/-/|\bKvCapacity\b|\bPathPrefix\b|\bGoalMs\b|\bApiKeys\b"
    r"|\bTimeoutMs\b|\bCanResume\b|\bExpectRev\b|\bop/config\b|\bservers/"
)


def test_wire_names_appear_only_in_the_platform_package():
    package = pathlib.Path(__file__).parents[2] / "linnetladder"
    found = [
        f"{path.relative_to(package)}: {match.group()}"
        for path in package.rglob("*.py")
        if "platform" not in path.relative_to(package).parts[:1]
        for match in WIRE_NAMES.finditer(path.read_text("utf-8"))
    ]
    assert found == []


def test_values_are_encoded_as_padded_base64():
    async def work(server, store, source):
        await source.write_bills(incarnation="i", name="00000001", content=b"ab")
        key = "linnetladder/ledger/i/00000001"
        assert base64.b64decode(server.encoded(key), validate=True) == b"ab"

    run_with_store(work)


def test_store_that_returns_from_an_older_copy_raises_the_era():
    """Guards against revisions of different eras being taken for one history."""

    async def scenario(server, store, _source):
        server.put_bytes("op/a", b"1")
        assert (await store.get("op/a")).unwrap().value == b"1"
        before = server.revision
        server.put_bytes("op/a", b"2")
        server.rewind(60.0)
        assert server.revision < before
        assert (await store.get("op/a")).unwrap() is None
        assert store.era.current == 2
        assert store.metrics.value("store_era_changes") == 1
        server.era = 1
        late = await store.get("op/a")
        assert isinstance(late, Failure)
        assert store.era.current == 2

    run_with_store(scenario)


def test_watch_from_a_revision_that_the_store_has_lost_fails():
    async def scenario(server, store, _source):
        server.put_bytes("op/a", b"1")
        watch = store.watch("op/")
        waiting = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.05)
        server.put_bytes("op/a", b"2")
        assert (await waiting).unwrap().value == b"2"
        server.rewind(60.0)
        assert isinstance(await anext(watch), Failure)

    run_with_store(scenario)


def test_content_of_a_new_era_at_the_same_revision_is_decoded_again():
    """Guards against values of an ended era being reused at an equal revision."""

    async def scenario(server, store, source):
        server.put("op/start", {})
        revision = server.revision
        server.put("op/config", CONFIGURATION)
        server.put("servers/w1", WORKER)
        assert (await source.read()).unwrap().endpoints[0].capacity == 8
        server.rewind(60.0)
        server.revision = revision
        server.put("op/config", CONFIGURATION | {"Version": 8})
        server.put("servers/w1", WORKER | {"Slots": 3})
        snapshot = (await source.read()).unwrap()
        assert (snapshot.era, snapshot.table.version) == (2, 8)
        assert snapshot.endpoints[0].capacity == 3

    run_with_store(scenario)


def test_configuration_that_the_older_copy_lacks_is_not_read_from_the_cache():
    """Guards against a configuration of an ended era being confirmed by a read."""

    async def scenario(server, store, source):
        server.put("op/config", CONFIGURATION)
        assert (await source.read()).unwrap().table.version == 7
        server.rewind(60.0)
        assert (await source.read()).unwrap().table is None

    run_with_store(scenario)


def test_lease_of_an_ended_era_is_not_renewed():
    """Guards against renewing a lease that was given out again to another daemon."""

    async def scenario(server, store, source):
        addresses = [
            DaemonAddress(
                instance=name,
                incarnation="i",
                failure_domain="a",
                host="10.0.0.1",
                port=7000,
            )
            for name in ("d1", "d2")
        ]
        await source.register_daemon(addresses[0], seconds=8)
        lost_lease = source.lease_id
        server.rewind(60.0)
        other = PlatformSource(store=store, metrics=Metrics())
        await other.register_daemon(addresses[1], seconds=8)
        assert other.lease_id == lost_lease
        renewals = server.calls["kv-keep"]
        await source.register_daemon(addresses[0], seconds=8)
        assert server.calls["kv-keep"] == renewals
        assert source.lease_id != lost_lease
        assert len((await source.read()).unwrap().daemons) == 2

    run_with_store(scenario)


def test_renewal_that_meets_a_new_era_registers_again():
    """Guards against a registration believed by a renewal of another's lease."""

    async def scenario(server, store, source):
        address = DaemonAddress(
            instance="d1",
            incarnation="i",
            failure_domain="a",
            host="10.0.0.1",
            port=7000,
        )
        await source.register_daemon(address, seconds=8)
        lost_lease = source.lease_id
        server.rewind(60.0)
        server.leases.add(lost_lease)
        await source.register_daemon(address, seconds=8)
        assert (await source.read()).unwrap().daemons == (address,)

    run_with_store(scenario)


@pytest.mark.parametrize("stored", [None, b"another"])
def test_a_shared_secret_that_the_store_lost_is_written_again(stored):
    """Guards against daemons that can't verify each other after a change of era."""

    async def scenario(server, store, source):
        shared = SharedSecret(source=source, era=store.era, seed=1)
        adopted = []
        shared.on_change = adopted.append
        task = asyncio.ensure_future(shared.run())
        await asyncio.sleep(0.1)
        first = shared.value
        assert server.value(SECRET_KEY) == first
        server.rewind(60.0)
        if stored is not None:
            server.put_bytes(SECRET_KEY, stored)
        assert (await source.read()).unwrap().era == 2
        await asyncio.sleep(0.7)
        task.cancel()
        expected = stored or first
        assert server.value(SECRET_KEY) == shared.value == adopted[-1] == expected

    run_with_store(scenario)


# Guards against daemons that never understand each other, and so never hold copies of
# bills, since what is stored as their secret is empty or no text.
@pytest.mark.parametrize("stored", [b"", b"  ", b"\xff\xfe"])
def test_a_secret_that_is_empty_or_unreadable_is_replaced(stored):
    async def work(server, store, source):
        server.put_bytes(SECRET_KEY, stored)
        first = SharedSecret(source=source, era=store.era, seed=1)
        second = SharedSecret(source=source, era=store.era, seed=2)
        found = await asyncio.gather(first.fetch(), second.fetch())
        assert found == [True, True]
        assert first.value == second.value == server.value(SECRET_KEY)
        assert len(first.value) == 32

    run_with_store(work)


def test_a_check_of_the_secret_that_failed_is_repeated_when_the_store_is_back():
    """Guards against a daemon that no peer understands until its next retry.

    Its bills had no holder meanwhile, and were lost with it.
    """

    async def scenario(server, store, source):
        shared = SharedSecret(source=source, era=store.era, seed=1)
        task = asyncio.ensure_future(shared.run())
        await asyncio.sleep(0.1)
        server.rewind(60.0)
        server.put_bytes(SECRET_KEY, b"another")
        await source.read()
        server.down = True
        await asyncio.sleep(0.6)
        server.down = False
        shared.on_store_regained()
        await asyncio.sleep(0.1)
        task.cancel()
        assert shared.value == b"another"

    run_with_store(scenario)


def test_record_of_an_ended_era_is_not_written():
    """Guards against replacing a record whose revision was given out again."""

    async def scenario(server, store, source):
        record = RolloutRecord(
            service="s1",
            target="v2",
            order_revision=3,
            phase=RolloutPhase.CANARY,
            ordered_unix=1.0,
            canary_unix=2.0,
            canary_share=0.1,
            era=1,
        )
        await source.read()
        assert (await source.write_rollout(record)).unwrap()
        server.rewind(60.0)
        await source.read()
        refused = await source.write_rollout(record)
        assert refused.failure().kind is FaultKind.REJECTED
        assert (await source.read()).unwrap().records == ()
        again = dataclasses.replace(record, era=2)
        assert (await source.write_rollout(again)).unwrap()

    run_with_store(scenario)


def test_content_that_a_peer_read_decodes_like_a_read_of_the_daemons_own():
    """Guards against members of a group that act on other content than their reader."""

    async def scenario(server, store, source):
        await source.register_daemon(
            DaemonAddress(
                instance="d1",
                incarnation="i",
                failure_domain="a",
                host="10.0.0.1",
                port=7000,
            ),
            seconds=8,
        )
        server.put("op/config", CONFIGURATION)
        server.put("servers/w1", WORKER)
        server.put_bytes("servers/w2", b"\xff\x00 no entry")
        read = (await source.read()).unwrap()
        content = source.last_content()
        member = PlatformSource(store=store, metrics=Metrics())
        assert content_digest(member.decode_content(content)) == content_digest(read)
        assert [e.name for e in read.endpoints] == ["w1"]
        store.era.observe((store.era.current or 0) + 1)
        assert member.decode_content(content) is None

    run_with_store(scenario)
