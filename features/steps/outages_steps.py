"""Steps in which the platform, daemons or endpoints fail."""

import asyncio

from behave import given, then, when

from linnetladder.coordination.billing.ledger_reading import read_bills
from linnetladder.coordination.configuration.publishing import Change
from linnetladder.state import VersionRef
from linnetladder.state.versions import Withdrawal
from tests.support.site import DOMAINS


def run(context, work):
    return context.loop.run_until_complete(work)


@given("all daemons are linked")
def daemons_are_linked(context):
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(len(d.parts.peers.links) == len(daemons) - 1 for d in daemons)
        ),
    )


@when("{count:d} requests are sent to daemon {number:d} at once")
def ask_one(context, count, number):
    work = [context.site.chat(text=f"{n}", daemon=number - 1) for n in range(count)]

    async def gather():
        return await asyncio.gather(*work)

    context.replies.extend(run(context, gather()))


@when("daemon {number:d} crashes")
def kill_daemon(context, number):
    run(context, context.site.kill(number - 1))


@when("daemon {number:d} starts with daemon {seed:d} as its seed peer")
def start_daemon(context, number, seed):
    record = context.site.daemons[seed - 1].registration.record
    run(
        context,
        context.site.add_daemon(
            f"daemon-{number}",
            DOMAINS[2],
            seed_peers=(f"{record.instance}@{record.peer_address}",),
        ),
    )


@then("daemon {number:d} has revision {revision:d} in force")
def has_revision(context, number, revision):
    daemon = context.site.daemons[number - 1]
    run(context, context.site.wait_for(lambda: not daemon.unready_reasons()))
    assert daemon.parts.configuration.revision == revision


@given("daemon {number:d} is cut off from the platform")
def cut_off(context, number):
    store = context.site.daemons[number - 1].parts.store
    store.urls = ("http://127.0.0.1:9",)
    store.preferred_index = 0


@when('version "{version}" is withdrawn without waiting')
def withdraw(context, version):
    withdrawal = Withdrawal(VersionRef.parse(version), "bad", "tests")
    change = Change(author="tests", message="withdraw")
    run(context, context.site.publisher.withdraw(withdrawal, change)).unwrap()


@given('engine {number:d} is crashed by the text "{text}"')
def crashed_by(context, number, text):
    context.site.crash_on_text(context.site.engines[number - 1], text)


@then('every daemon refuses the text "{text}" as "{kind}"')
def refused_everywhere(context, text, kind):
    async def check():
        for daemon in range(len(context.site.daemons)):
            async with asyncio.timeout(10):
                while True:
                    reply = await context.site.chat(text, daemon=daemon)
                    if reply.status != 200 and reply.document["kind"] == kind:
                        break
                    await asyncio.sleep(0.05)

    run(context, check())
    crashes = sum(engine.runs_started for engine in context.site.engines)
    assert crashes == 2, crashes


@then("eventually exactly {count:d} requests are billed")
def eventually_billed(context, count):
    site = context.site

    async def settle():
        async with asyncio.timeout(15):
            while True:
                read = await read_bills(site.store)
                unrecorded = sum(d.parts.bills.unrecorded for d in site.daemons)
                if len(read.value_or({})) == count and not unrecorded:
                    return
                await asyncio.sleep(0.05)

    run(context, settle())
