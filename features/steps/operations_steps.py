"""Steps for operators and the platform."""

import asyncio

from behave import given, then, when

from linnetladder.coordination.configuration.publishing import Change, PublishFaultKind
from linnetladder.coordination.routing.explaining import Replay, explain_receipt
from linnetladder.protocol.declarations import parse_declarations
from linnetladder.state.receipts import verify_receipt
from tests.support.site import declarations_text


def run(context, work):
    return context.loop.run_until_complete(work)


@when('version "{version}" is withdrawn')
@given('version "{version}" is withdrawn')
def withdraw(context, version):
    run(context, context.site.withdraw(version))


@when("two operators change the configuration from the same revision")
def publish_from_same_revision(context):
    publisher = context.site.publisher
    plans = []
    for price in ("3.5", "4.5"):
        text = declarations_text(**{"2.5": price})
        parts = parse_declarations(text, file="test.yaml").unwrap().parts
        plan = run(context, publisher.plan(parts, reinstate=frozenset()))
        plans.append(plan.unwrap())
    context.saved["outcomes"] = [
        run(context, publisher.publish(plan, Change(author=name, message=name)))
        for name, plan in zip(("anna", "bruno"), plans, strict=True)
    ]


@then("the second operator is shown the first one's change")
def second_operator_sees_the_first_change(context):
    first, second = context.saved["outcomes"]
    assert first.unwrap().author == "anna"
    fault = second.failure()
    assert fault.kind is PublishFaultKind.RACE
    assert fault.other.author == "anna"


@then("revision {revision:d} is in force on every daemon")
def in_force(context, revision):
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(d.parts.configuration.revision == revision for d in daemons)
        ),
    )


@when("the platform is restored from revision 1")
def restore(context):
    store = context.site.platform.store
    old = store.get("linnetladder/config/history/0000000001").value
    store.transact([], [("linnetladder/live/head", old, 0)], [])


@then("the platform holds revision {revision:d} again")
def holds_revision_again(context, revision):
    async def wait_for_revision():
        while True:
            head = (await context.site.publisher.read_head()).unwrap()
            if head.manifest.revision == revision:
                return
            await asyncio.sleep(0.05)

    run(context, asyncio.wait_for(wait_for_revision(), 10))


@when("engine {number:d} reports that it is leaving")
def leaving(context, number):
    engine = context.site.engines[number - 1]
    engine.leaving = True
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(d.parts.table.endpoints[engine.name].leaving for d in daemons)
        ),
    )
    context.saved["runs_before"] = engine.runs_started


@then("engine {number:d} has received no new requests")
def receives_no_new_requests(context, number):
    engine = context.site.engines[number - 1]
    assert engine.runs_started == context.saved["runs_before"]


@when("daemon {number:d} is shut down while a stream is in progress")
def shut_down(context, number):
    site = context.site
    for engine in site.engines:
        engine.token_seconds = 0.05
    daemon = site.daemons[number - 1]

    async def shut_down_during_stream():
        request = asyncio.ensure_future(
            site.chat(text="x" * 60, stream=True, daemon=number - 1)
        )
        await site.wait_for(lambda: daemon.parts.callers.active_requests > 0)
        await daemon.stop()
        return await request

    context.saved["text"] = "x" * 60
    context.replies.append(run(context, shut_down_during_stream()))
    site.daemons.remove(daemon)


@then("the receipt verifies and its decision is reproduced")
def explained(context):
    text = context.replies[-1].headers["Linnetladder-Receipt"]
    keys = context.site.daemons[0].parts.keys
    explained = run(
        context, explain_receipt(text, keys=keys, publisher=context.site.publisher)
    )
    assert explained.replay is Replay.SAME, explained


@then("a receipt with one character changed does not verify")
def forged_receipt(context):
    text = context.replies[-1].headers["Linnetladder-Receipt"]
    middle = len(text) // 2
    changed = "A" if text[middle] != "A" else "B"
    forged = text[:middle] + changed + text[middle + 1 :]
    assert verify_receipt(forged, keys=context.site.daemons[0].parts.keys) is None
