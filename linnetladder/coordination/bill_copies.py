"""Copies of bill blocks with peers, for when the platform is slow or out of reach."""

import asyncio

from linnetladder.coordination.billing import BillBlock, BillCopier
from linnetladder.coordination.peer_messages import BillCopy, BillStands
from linnetladder.coordination.peers import Link, Peers

__all__ = ["PeerBillCopier"]

COPIES = 2
COPY_SECONDS = 0.5


class PeerBillCopier(BillCopier):
    """Have two peers hold each block, in other failure domains if there are any.

    With only one peer linked, one copy is enough: a failure domain that is cut off
    goes on with what it has. With none, nothing is safe until the platform answers.
    """

    def __init__(self, *, peers: Peers):
        self.peers = peers
        self.holders: dict[tuple[str, int], set[str]] = {}

    async def copy(self, block: BillBlock) -> bool:
        """Return whether enough peers hold the block."""
        key = (block.incarnation, block.sequence)
        holders = self.holders.setdefault(key, set())
        candidates = [
            link for link in self._candidates() if link.hello.instance not in holders
        ]
        needed = min(COPIES, len(holders) + len(candidates)) - len(holders)
        if needed > 0:
            asked = candidates[:needed]
            held = await asyncio.gather(*(self._ask(link, block) for link in asked))
            holders.update(
                link.hello.instance
                for link, is_held in zip(asked, held, strict=True)
                if is_held
            )
        linked = len(holders | {link.hello.instance for link in self._candidates()})
        return bool(holders) and len(holders) >= min(COPIES, linked)

    async def drop(self, block: BillBlock) -> None:
        """Tell the holders that the block stands."""
        holders = self.holders.pop((block.incarnation, block.sequence), set())
        for instance in holders:
            link = self.peers.links.get(instance)
            if link is not None:
                link.send(BillStands(block.incarnation, block.sequence))

    def _candidates(self) -> list[Link]:
        """Return the linked peers, those of other failure domains first."""
        own = self.peers.own.failure_domain
        links = [
            link
            for link in self.peers.links.values()
            if link.responds and not (link.heard and link.heard.draining)
        ]
        links.sort(key=lambda link: (link.hello.failure_domain == own, id(link)))
        first: dict[str, Link] = {}
        for link in links:
            first.setdefault(link.hello.failure_domain, link)
        spread = list(first.values())
        return spread + [link for link in links if link not in spread]

    async def _ask(self, link: Link, block: BillBlock) -> bool:
        key = (link.hello.instance, block.incarnation, block.sequence)
        held = asyncio.get_running_loop().create_future()
        self.peers.holds[key] = held
        link.send(BillCopy(block))
        try:
            async with asyncio.timeout(COPY_SECONDS):
                await held
        except TimeoutError:
            link.responds = False
            return False
        finally:
            self.peers.holds.pop(key, None)
        return True
