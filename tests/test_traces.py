"""Traces: a span for each hop, kept for samples and for every refusal."""

import asyncio

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from linnetladder.telemetry import Tracer
from tests.support.site import LocalSite

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"


def traced(scenario, *, share: float):
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
    spans = traced(lambda site: site.chat(model="small"), share=1.0)
    names = {"caller", "decision", "attempt", "endpoint", "platform bill"}
    assert {span.name for span in spans} == names
    assert len({span.context.trace_id for span in spans}) == 1
    root = next(span for span in spans if span.name == "caller")
    children = [span for span in spans if span is not root]
    assert {span.parent.span_id for span in children} == {root.context.span_id}


def test_a_claimed_order_has_a_span_at_the_platform():
    def order(site):
        return site.send(
            path="/v1/services/desk/x", headers={"Idempotency-Key": "traced"}
        )

    names = [span.name for span in traced(order, share=1.0)]
    assert "platform claim" in names


def test_a_bill_that_peers_hold_has_a_span_at_the_peer():
    async def outage(site):
        await site.add_daemon("daemon-2", "riga-pl")
        links = site.daemons[0].parts.peers.links
        await site.wait_for(lambda: len(links) == 1)
        site.platform.set_mode("down")
        await site.chat(model="small")

    assert "peer copy" in {span.name for span in traced(outage, share=1.0)}


def test_a_refusal_is_kept_and_joins_the_callers_trace():
    def refused(site):
        return site.chat(model="none", headers={"traceparent": PARENT})

    spans = traced(refused, share=0.0)
    root = next(span for span in spans if span.name == "caller")
    assert root.attributes["linnetladder.detail"] == "unknown_model"
    assert f"{root.context.trace_id:032x}" in PARENT
    assert f"{root.parent.span_id:016x}" in PARENT


def test_an_answer_out_of_the_sample_costs_no_span():
    assert traced(lambda site: site.chat(model="small"), share=0.0) == ()
