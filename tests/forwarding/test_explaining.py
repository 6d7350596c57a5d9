"""Explanations of routes: by the decision's own code, and the command that asks."""

import asyncio
import json

import aiohttp
import pytest

from bench.fleet_site import FleetSite
from bench.processes import free_port
from linnetladder.forwarding.protocol.route_questions import (
    RouteQuestionError,
    decode_question,
)
from linnetladder.forwarding.state.explanations import RouteQuestion
from linnetladder.management import ExitCode, run
from tests.support.forwarding import Script, head, ready_daemon, report

WAIT_SECONDS = 20.0
DRAFT = {
    "route": "draft",
    "account": "studio",
    "input_tokens": 1000,
    "output_tokens": 80,
    "shared_tokens": 800,
    "session": "s1",
}


def explain(daemon, **changes):
    return daemon.explainer.explain(RouteQuestion(**{**DRAFT, **changes}))


@pytest.mark.parametrize("session", [f"s{number}" for number in range(8)])
def test_explanation_names_the_endpoint_that_a_request_then_goes_to(session):
    """Guards against an explanation that differs from the decision."""
    daemon = ready_daemon()
    for other in range(5):
        daemon.answer(head(attempt_id=f"a{other}", session=f"s{other}"))
    explained = explain(daemon, session=session)
    daemon.answer(head(session=session))
    call = daemon.calls.calls[-1]
    assert (explained.endpoint, explained.model) == (call.instance, "small")
    chosen = explained.endpoints[0]
    assert chosen.chosen and chosen.name == explained.endpoint
    assert chosen.score == min(e.score for e in explained.endpoints)
    assert chosen.score == pytest.approx(sum(chosen.terms.values()))
    assert explained.refusal == ""


def test_explanation_of_a_request_without_a_prompt():
    daemon = ready_daemon()
    daemon.source.endpoints["desk-3"] = report(
        "desk-3", service="desk", failure_domain="west"
    )
    daemon.read()
    explained = daemon.explainer.explain(RouteQuestion(route="save", account="studio"))
    daemon.answer(head("/save/1"))
    assert explained.endpoint == daemon.calls.calls[-1].instance != "desk-3"
    assert explained.score_unit == "requests in flight per slot"
    assert explained.endpoints[2].terms["other_domain"] > 0


def test_explanation_changes_nothing_and_sends_nothing():
    daemon = ready_daemon()
    available = daemon.budget.available("engines")
    for _ in range(20):
        explain(daemon)
    assert daemon.calls.calls == []
    assert daemon.budget.available("engines") == available
    assert daemon.selection.holders == {}
    assert daemon.metrics.value("requests") == 0


def test_obstacles_are_named_for_each_endpoint():
    daemon = ready_daemon()
    daemon.answer(head(), Script(status=503, not_run=True, pause=3.0))
    paused = daemon.calls.calls[0].instance
    explained = explain(daemon)
    by_name = {endpoint.name: endpoint for endpoint in explained.endpoints}
    assert by_name[paused].obstacle == "paused"
    # The pause is prolonged by a random part, so that not all daemons return at once.
    assert 3.0 <= by_name[paused].obstacle_seconds < 4.0
    assert by_name[paused].score is None
    assert explained.endpoint != paused


def test_a_service_without_usable_endpoints_is_explained_as_a_refusal():
    daemon = ready_daemon()
    for name in ("engine-1", "engine-2", "engine-3"):
        daemon.directory.mark_leaving(daemon.table.endpoints[name], reason="answer")
    explained = explain(daemon)
    assert explained.refusal.startswith("no_endpoint")
    assert {endpoint.obstacle for endpoint in explained.endpoints} == {"leaving"}


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"account": ""}, "missing_credential"),
        ({"account": "nobody"}, "unknown_credential"),
        ({"account": "", "credential": "key-2"}, "unknown_credential"),
        ({"account": "", "credential": "key-1"}, ""),
    ],
)
def test_admission_is_explained(changes, kind):
    explained = explain(ready_daemon(), **changes)
    assert explained.refusal.partition(":")[0] == kind
    assert "key-" not in repr(explained)


def test_models_are_explained_with_the_share_that_is_escalated():
    daemon = ready_daemon()
    models = explain(daemon).models
    assert [(m.name, m.next_model) for m in models] == [
        ("small", "large"),
        ("large", ""),
    ]
    assert models[0].escalated_share == 1.0
    for endpoint in daemon.table.endpoints.values():
        daemon.loads.backlog[endpoint.name] = 1.0
    assert 0 < explain(daemon).models[0].escalated_share < 0.5


def test_invalid_question_is_reported_without_its_values():
    """A question may hold a credential, which must not be returned or logged."""
    for content in (
        b'{"route": "draft", "credential": ["key-secret"]}',
        b'{"route": "draft", "credential": "key-secret", "account": "studio"}',
        b'{"route": "draft", "key-secret": 1',
    ):
        with pytest.raises(RouteQuestionError) as caught:
            decode_question(content)
        assert "key-secret" not in str(caught.value)
    question = decode_question(b'{"route": "draft", "credential": "key-secret"}')
    assert "key-secret" not in repr(question)


async def wait_until_ready(url):
    async with asyncio.timeout(WAIT_SECONDS), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)


def test_command_asks_a_running_daemon(tmp_path, capfd):
    port = free_port()
    key_file = tmp_path / "key"
    key_file.write_text("key-studio\n")
    draft = (
        "stream",
        "--input_tokens=1000",
        "--shared_tokens=800",
        "--output_tokens=80",
        "--session=s1",
        f"--daemon=127.0.0.1:{port}",
    )

    async def scenario():
        variables = {"LINNETLADDER_OPERATIONS_METRICS_PORT": str(port)}
        site = FleetSite(folder=tmp_path, daemons=1, variables=variables)
        await site.start()
        try:
            name = site.daemon_names[0]
            await wait_until_ready(site.ready_url(name))
            results = []
            for arguments in (
                (*draft, "--format=json", f"--key_file={key_file}"),
                (*draft, "--account=studio"),
                (*draft, "--account=nobody"),
                ("missing", *draft[1:]),
                (*draft, "--account=studio", f"--key_file={key_file}"),
                (*draft[:-1], f"--daemon=127.0.0.1:{site.ports[name]['ready']}"),
            ):
                code = await asyncio.to_thread(run, ["explain-route", *arguments])
                results.append((code, *capfd.readouterr()))
            return results, site.runs()
        finally:
            await site.stop()

    results, runs = asyncio.run(scenario())
    assert runs == []
    assert [result[0] for result in results] == [
        ExitCode.OK,
        ExitCode.OK,
        ExitCode.OK,
        ExitCode.NOT_FOUND,
        ExitCode.USAGE,
        ExitCode.NOT_FOUND,
    ]
    explained = json.loads(results[0][1])
    assert explained["account"] == "studio"
    assert explained["endpoint"] in ("engine-1", "engine-2")
    assert [endpoint["chosen"] for endpoint in explained["endpoints"]] == [True, False]
    assert f"=> {explained['endpoint']}" in results[1][1]
    assert "small" in results[1][1] and "shared_part" in results[1][1]
    assert "unknown_credential" in results[2][1]
    logs = "".join(path.read_text() for path in tmp_path.glob("*log*"))
    assert "key-studio" not in logs + "".join(r[1] + r[2] for r in results)
    assert logs


def test_command_reports_an_unreachable_daemon(capsys):
    arguments = ["explain-route", "draft", "--daemon=127.0.0.1:9"]
    assert run(arguments) == ExitCode.UNREACHABLE
    assert run(["explain-route", "draft"]) == ExitCode.USAGE
    assert "can't reach" in capsys.readouterr().err


def test_explanation_says_that_room_is_short():
    """Guards against an explanation that leaves the load out, and against counting."""
    daemon = ready_daemon()
    explained = daemon.explainer.explain(RouteQuestion(route="draft", account="studio"))
    assert not explained.room_is_short
    for endpoint in daemon.table.endpoints.values():
        for _ in range(endpoint.capacity + 1):
            daemon.loads.begin(endpoint, model="m0", tokens=200_000)
    counted = daemon.load_admission.demand.total("engines")
    explained = daemon.explainer.explain(RouteQuestion(route="draft", account="studio"))
    assert explained.room_is_short
    assert explained.expected_wait_seconds > 1.0
    assert daemon.load_admission.demand.total("engines") == counted
