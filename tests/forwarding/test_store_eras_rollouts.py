"""Roll-outs when the store returns from an older copy: orders, records and sessions.

In these drills the store loses what was written after a copy and its era rises; the
operator then writes its orders again, under other revisions.
"""

import dataclasses

from linnetladder.coordination.platform import FaultKind
from linnetladder.forwarding.state import RolloutPhase, RolloutRecord
from tests.forwarding.test_platform import run_with_store


# Guards against a write on a position of an ended era, where another value may lie.
def test_record_is_not_written_over_a_revision_of_an_ended_era():
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
        (found,) = (await source.read()).unwrap().records
        found = dataclasses.replace(found, era=1)
        assert (await source.write_rollout(found)).unwrap()
        (found,) = (await source.read()).unwrap().records
        found = dataclasses.replace(found, era=1)
        server.rewind(0.0)
        await source.read()
        calls = server.calls["kv-txn"]
        written = await source.write_rollout(found)
        assert written.failure().kind is FaultKind.REJECTED
        assert server.calls["kv-txn"] == calls
        again = dataclasses.replace(found, era=2)
        assert (await source.write_rollout(again)).unwrap()

    run_with_store(work)
