"""Start a separate site for each scenario, in this process and on loopback."""

import asyncio

from tests.support.site import LocalSite


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.site = LocalSite(daemons=2)
    context.replies = []
    context.saved = {}
    run(context, context.site.start())


def after_scenario(context, scenario):
    run(context, context.site.stop())
    context.loop.close()


def run(context, work):
    return context.loop.run_until_complete(work)
