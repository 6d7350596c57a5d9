"""Replicates bill blocks to peers while the platform is slow or unreachable."""

import asyncio

from linnetladder.coordination.billing.writer import BillBlock, BillCopier
from linnetladder.coordination.peers.links import Link, Peers
from linnetladder.coordination.peers.messages import BillCopy, BillRecorded

__all__ = ["PeerBillCopier"]

COPIES_PER_BLOCK = 2
COPY_TIMEOUT_SECONDS = 0.5

# Instance name and incarnation of the peer that holds a copy.
Holder = tuple[str, str]


def _holder(link: Link) -> Holder:
    return link.hello.instance, link.hello.incarnation


class PeerBillCopier(BillCopier):
    """Keep copies of each block at two peers, preferably in other failure domains.

    If only one peer is linked, one copy is enough, so that a partitioned failure
    domain can continue with the peers it has. Without any linked peer, no bill is
    durable until it is recorded at the platform.
    """

    def __init__(self, *, peers: Peers):
        self.peers = peers
        self.holders: dict[tuple[str, int], set[Holder]] = {}

    async def copy(self, block: BillBlock) -> bool:
        """Request missing copies of a block and return whether there are enough now.

        A holder that is no longer linked or runs as a new incarnation does not count.
        """
        key = (block.incarnation, block.sequence)
        linked = {_holder(link) for link in self.peers.links.values()}
        holders = self.holders.get(key, set()) & linked
        self.holders[key] = holders
        candidates = [c for c in self._candidates() if _holder(c) not in holders]
        target_count = min(COPIES_PER_BLOCK, len(holders) + len(candidates))
        requested = candidates[: target_count - len(holders)]
        acknowledged = await asyncio.gather(
            *(self._request_copy(link, block) for link in requested)
        )
        holders.update(
            _holder(link)
            for link, is_held in zip(requested, acknowledged, strict=True)
            if is_held
        )
        return bool(holders) and len(holders) >= target_count

    async def drop(self, block: BillBlock) -> None:
        """Notify the holders that the block is recorded."""
        holders = self.holders.pop((block.incarnation, block.sequence), set())
        for link in tuple(self.peers.links.values()):
            if _holder(link) in holders:
                link.send(BillRecorded(block.incarnation, block.sequence))

    def _candidates(self) -> list[Link]:
        """Return the peers that can hold a copy, in order of preference.

        The first peer of each failure domain comes first, other domains before the
        daemon's own. Unresponsive and draining peers are left out.
        """
        own = self.peers.own.failure_domain
        links = [
            link
            for link in self.peers.links.values()
            if link.is_responsive
            and not (link.last_heartbeat and link.last_heartbeat.draining)
        ]
        links.sort(key=lambda link: (link.hello.failure_domain == own, id(link)))
        first: dict[str, Link] = {}
        for link in links:
            first.setdefault(link.hello.failure_domain, link)
        spread = list(first.values())
        return spread + [link for link in links if link not in spread]

    async def _request_copy(self, link: Link, block: BillBlock) -> bool:
        key = (link.hello.instance, block.incarnation, block.sequence)
        acknowledged = asyncio.get_running_loop().create_future()
        self.peers.pending_copy_acknowledgements[key] = acknowledged
        link.send(BillCopy(block))
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                await acknowledged
        except TimeoutError:
            link.is_responsive = False
            return False
        finally:
            self.peers.pending_copy_acknowledgements.pop(key, None)
        return True
