"""The caller server over real connections: limits, stalls, and the OpenAI client."""

import asyncio
import json

import openai

from linnetladder.errors import ERROR_RESPONSES, ErrorKind
from standins.engine import answer_text
from tests.support.site import LocalSite

MESSAGES = [{"role": "user", "content": "مجلس — šūtas lapas 🕌"}]


def run_with_site(scenario, **options):
    async def run():
        site = LocalSite(**options)
        await site.start()
        try:
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


def test_every_error_kind_has_an_answer():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_an_unmodified_openai_client_works():
    async def scenario(site):
        client = openai.AsyncOpenAI(
            base_url=site.caller_url(0) + "/v1", api_key="studio", max_retries=0
        )
        whole = await client.chat.completions.create(model="small", messages=MESSAGES)
        assert whole.choices[0].message.content == answer_text(MESSAGES, whole.model)
        stream = await client.chat.completions.create(
            model="small", messages=MESSAGES, stream=True
        )
        text = ""
        async for chunk in stream:
            text += chunk.choices[0].delta.content or ""
        assert text == answer_text(MESSAGES, chunk.model)
        try:
            await client.chat.completions.create(model="none", messages=MESSAGES)
            raise AssertionError("an undeclared model was accepted")
        except openai.NotFoundError as error:
            assert error.response.json()["kind"] == "unknown_model"
        await client.close()

    run_with_site(scenario)


async def raw_exchange(site, head: str, body: bytes = b"") -> bytes:
    address = site.daemons[0].registration.record.caller_address
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.replace("\n", "\r\n").encode() + body)
    await writer.drain()
    received = await reader.read(65536)
    writer.close()
    return received


REQUEST_HEAD = (
    "POST /v1/chat/completions HTTP/1.1\nHost: x\nAuthorization: Bearer studio\n"
    "Content-Length: {length}\n\n"
)


def test_a_stalled_request_body_is_refused():
    async def scenario(site):
        site.daemons[0].parts.callers.body_seconds = 0.2
        received = await raw_exchange(site, REQUEST_HEAD.format(length=100), b'{"mess')
        assert b" 408 " in received.split(b"\r\n")[0]
        assert b'"kind":"request_timeout"' in received
        assert b'"ran":"no"' in received

    run_with_site(scenario)


def test_a_body_over_the_limit_is_refused_before_it_is_read():
    async def scenario(site):
        received = await raw_exchange(site, REQUEST_HEAD.format(length=10**9))
        assert b" 413 " in received.split(b"\r\n")[0]

    run_with_site(scenario)


def test_an_unparsable_request_head_gets_a_problem_response():
    async def scenario(site):
        oversized_head = REQUEST_HEAD.format(length=2).replace(
            "Host: x", f"Host: x\nX-Long: {'h' * 40000}"
        )
        received = await raw_exchange(site, oversized_head, b"{}")
        assert b" 431 " in received.split(b"\r\n")[0], received[:200]
        assert b'"kind":"header_too_large"' in received
        received = await raw_exchange(site, "nonsense\n\n")
        assert b'"kind":"malformed_http"' in received, received[:200]
        assert (await site.chat()).status == 200

    run_with_site(scenario)


def test_invalid_header_values_are_refused():
    async def scenario(site):
        for name, value in (
            ("Linnetladder-Deadline-Ms", "soon"),
            ("Linnetladder-Priority", "77"),
            ("Linnetladder-Idempotent", "perhaps"),
            ("Idempotency-Key", "k" * 500),
        ):
            reply = await site.chat(headers={name: value})
            assert reply.document["kind"] == "invalid_header", name

    run_with_site(scenario)


def test_the_callers_deadline_is_enforced():
    async def scenario(site):
        for engine in site.engines:
            engine.token_seconds = 0.2
        reply = await site.chat("x" * 600, headers={"Linnetladder-Deadline-Ms": "300"})
        assert reply.document["kind"] == "deadline_exceeded"
        events = [e["event"] for g in site.engines for e in g.recorder.events]
        assert "finish" not in events
        await site.wait_for(
            lambda: any(
                event["event"] == "cancel"
                for engine in site.engines
                for event in engine.recorder.events
            )
        )

    run_with_site(scenario)


def test_a_disconnected_caller_is_billed_for_what_it_received():
    async def scenario(site):
        for engine in site.engines:
            engine.token_seconds = 0.02
        body = json.dumps(
            {"messages": [{"role": "user", "content": "x" * 600}], "stream": True}
        )
        headers = {"Authorization": "Bearer studio"}
        url = site.caller_url(0) + "/v1/chat/completions"
        async with site.session.post(url, data=body, headers=headers) as response:
            await response.content.readany()
            response.close()
        parts = site.daemons[0].parts
        await site.wait_for(lambda: parts.metrics.value("bills") == 1)
        from linnetladder.coordination.billing.ledger_reading import read_bills

        (bill,) = (await read_bills(site.store)).unwrap().values()
        assert not bill.complete
        assert 0 < bill.output_tokens < 100
        assert parts.limits.in_flight == {}

    run_with_site(scenario)


def test_a_caller_that_disconnects_before_the_end_marker_is_billed():
    async def scenario(site):
        site.platform.set_mode("down")
        body = json.dumps(
            {"messages": [{"role": "user", "content": "xyz"}], "stream": True}
        )
        headers = {"Authorization": "Bearer studio"}
        url = site.caller_url(0) + "/v1/chat/completions"
        async with site.session.post(url, data=body, headers=headers) as response:
            received = b""
            while b'"finish_reason":"stop"' not in received:
                received += await response.content.readany()
            await asyncio.sleep(0.3)
            response.close()
        parts = site.daemons[0].parts
        await site.wait_for(lambda: parts.metrics.value("caller_left") > 0)
        site.platform.set_mode("up")
        await site.wait_for(lambda: parts.bills.unrecorded == 0)
        from linnetladder.coordination.billing.ledger_reading import read_bills

        assert len((await read_bills(site.store)).unwrap()) == 1

    run_with_site(scenario)
