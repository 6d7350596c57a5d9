"""Traces: a span for each hop, exported for sampled and for refused requests."""

import asyncio

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from linnetladder.telemetry import Tracer
from tests.support.site import LocalSite

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"


def collect_spans(scenario, *, share: float):
    exporter = InMemorySpanExporter()

    async def run():
        site = LocalSite()
        await site.start()
        try:
            tracer = Tracer(
                processor=SimpleSpanProcessor(exporter),
                share=share,
                instance="d",
                failure_domain="f",
            )
            site.daemons[0].parts.router.tracer = tracer
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())
    return exporter.get_finished_spans()


def test_an_answer_has_a_span_for_each_hop():
    spans = collect_spans(lambda site: site.chat(model="small"), share=1.0)
    names = {"caller", "decision", "attempt", "endpoint", "platform bill"}
    assert {span.name for span in spans} == names
    assert len({span.context.trace_id for span in spans}) == 1
    root = next(span for span in spans if span.name == "caller")
    children = [span for span in spans if span is not root]
    assert {span.parent.span_id for span in children} == {root.context.span_id}


def test_claim_of_a_non_idempotent_request_has_a_span():
    def order(site):
        return site.send(
            path="/v1/services/desk/x", headers={"Idempotency-Key": "traced"}
        )

    names = [span.name for span in collect_spans(order, share=1.0)]
    assert "platform claim" in names


def test_copy_of_a_bill_to_a_peer_has_a_span():
    async def outage(site):
        await site.add_daemon("daemon-2", "riga-pl")
        links = site.daemons[0].parts.peers.links
        await site.wait_for(lambda: len(links) == 1)
        site.platform.set_mode("down")
        await site.chat(model="small")

    assert "peer copy" in {span.name for span in collect_spans(outage, share=1.0)}


def test_refusal_is_exported_and_joins_the_callers_trace():
    def refused(site):
        return site.chat(model="none", headers={"traceparent": PARENT})

    spans = collect_spans(refused, share=0.0)
    root = next(span for span in spans if span.name == "caller")
    assert root.attributes["linnetladder.detail"] == "unknown_model"
    assert f"{root.context.trace_id:032x}" in PARENT
    assert f"{root.parent.span_id:016x}" in PARENT


def test_unsampled_answer_exports_no_span():
    assert collect_spans(lambda site: site.chat(model="small"), share=0.0) == ()
