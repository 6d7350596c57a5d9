"""Reads the ledger and merges its blocks into one bill per request."""

from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import KeyValueService, PlatformFault
from linnetladder.state import Bill
from linnetladder.state.ledger import LEDGER_PREFIX, fold_bills

__all__ = ["read_bills"]

BLOCKS_PER_READ = 200


async def read_bills(
    store: KeyValueService,
) -> Result[dict[str, Bill], PlatformFault]:
    """Return all bills, keyed by bill id.

    Blocks are merged in order of their creation.
    """
    blocks: list[tuple[int, str, bytes]] = []
    after = ""
    while True:
        listed = await store.list_prefix(
            LEDGER_PREFIX, after=after, limit=BLOCKS_PER_READ
        )
        if isinstance(listed, Failure):
            return listed
        records = listed.unwrap()
        blocks.extend((r.create_revision, r.key, r.value) for r in records)
        if len(records) < BLOCKS_PER_READ:
            break
        after = records[-1].key
    blocks.sort(key=lambda block: block[:2])
    return Success(fold_bills(content for _, _, content in blocks))
