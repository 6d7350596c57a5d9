"""An internal error must release the request's slot and counters.

The error is raised inside the endpoint client, after the slot was acquired.
"""

import asyncio

from tests.support.site import LocalSite


def test_internal_error_releases_slot_and_counters():
    async def scenario():
        site = LocalSite()
        await site.start()
        try:
            parts = site.daemons[0].parts

            async def failing_call(endpoint, call):
                raise RuntimeError("injected error")

            parts.client.call = failing_call
            reply = await site.chat()
            assert reply.document["kind"] == "internal"
            assert reply.document["ran"] == "unknown"
            assert parts.limits.in_flight == {}
            assert {e.in_flight for e in parts.table.endpoints.values()} == {0}
            assert parts.poison.running == {}
        finally:
            await site.stop()

    asyncio.run(scenario())
