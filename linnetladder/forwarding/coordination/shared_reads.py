"""Reads of the store that a daemon makes for the others of its group.

A member asks its reader and gets the content of a read that began after the request
arrived, so the content is as fresh as that of a read of its own. The reader collects
requests for a short time and answers them all from one read. A member whose reader
fails or does not answer in time reads the store itself.
"""

import asyncio
import collections
import dataclasses
import secrets
from collections.abc import Callable

import xxhash
from returns.result import Failure, Result, Success

from linnetladder.coordination.background import BackgroundTasks
from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.coordination.read_groups import ReadGroups
from linnetladder.forwarding.coordination.sources import (
    DaemonAddress,
    OperatorSource,
    StoreContent,
    StoreSnapshot,
)
from linnetladder.forwarding.protocol.content_changes import (
    ContentChanges,
    decode_changes,
    encode_changes,
)
from linnetladder.forwarding.protocol.read_messages import ReadAnswer, ReadRequest
from linnetladder.telemetry import Metrics, log_change

__all__ = ["SharedReads"]

# Time for which a reader collects requests, and within which a member gets an answer
# from a reader that works; a read of the store takes some milliseconds.
COLLECT_SECONDS = 0.06
ANSWER_TIMEOUT_SECONDS = 0.3
NONCE_BITS = 63
# Contents since which a reader can tell a member what changed.
KEPT_CONTENTS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldContent:
    """The content of the last read, of this daemon or of its reader."""

    digest: int
    content: StoreContent
    snapshot: StoreSnapshot


class SharedReads:
    """Reads the store through the reader of this daemon's group, or as that reader.

    ``send`` sends a message to a host and port; it returns false if it can't. ``held``
    is the content of the last read, and ``recent`` holds the revisions of the latest
    contents by their digest. ``requests`` wait for this daemon's next read.
    """

    def __init__(
        self,
        *,
        source: OperatorSource,
        groups: ReadGroups,
        own_address: tuple[str, int],
        background: BackgroundTasks,
        metrics: Metrics,
    ):
        self.source = source
        self.groups = groups
        self.own_address = own_address
        self.background = background
        self.metrics = metrics
        self.send: Callable[[ReadRequest | ReadAnswer, str, int], bool] = _send_nothing
        self.held: HeldContent | None = None
        self.recent: collections.OrderedDict[int, dict[str, tuple[int, int]]] = (
            collections.OrderedDict()
        )
        self.requests: list[ReadRequest] = []
        self.answers: dict[int, asyncio.Future[ReadAnswer]] = {}
        self.failing = False

    async def read(self) -> Result[StoreSnapshot, PlatformFault]:
        """Return content that was current at some time after this call began."""
        reader = self.groups.reader()
        if reader is not None:
            snapshot = await self._ask(reader)
            if snapshot is not None:
                self.metrics.count("shared_reads", label="received")
                return Success(snapshot)
        return await self._read_store()

    def receive(self, message: ReadRequest | ReadAnswer) -> None:
        """Process a message of a peer."""
        if isinstance(message, ReadAnswer):
            answer = self.answers.get(message.nonce)
            if answer is not None and not answer.done():
                answer.set_result(message)
            return
        self.requests.append(message)
        if len(self.requests) == 1:
            self.background.start(self._serve())

    async def _serve(self) -> None:
        await asyncio.sleep(COLLECT_SECONDS)
        if self.requests:
            await self._read_store()

    async def _read_store(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read the store and answer the requests that came before that."""
        requests, self.requests = self.requests, []
        read = await self.source.read()
        if isinstance(read, Failure) or not read.unwrap().table_is_current:
            for request in requests:
                self._answer(request, ReadAnswer(nonce=request.nonce, digest=0))
            return read
        if requests or self.groups.active:
            self._hold(self.source.last_content(), read.unwrap())
        for request in requests:
            self._answer(request, self._changes_since(request))
        return read

    def _hold(self, content: StoreContent, snapshot: StoreSnapshot) -> int:
        """Keep a content to answer from, and as the base of later changes."""
        digest = _content_digest(content)
        self.held = HeldContent(digest=digest, content=content, snapshot=snapshot)
        self.recent[digest] = {key: row[1:] for key, row in content.rows.items()}
        self.recent.move_to_end(digest)
        if len(self.recent) > KEPT_CONTENTS:
            self.recent.popitem(last=False)
        return digest

    def _changes_since(self, request: ReadRequest) -> ReadAnswer:
        """Return the answer with what the sender of a request lacks."""
        held = self.held
        if request.known == held.digest:
            return ReadAnswer(nonce=request.nonce, digest=held.digest)
        known = self.recent.get(request.known)
        content = held.content
        changes = ContentChanges(
            base=request.known if known is not None else 0,
            era=content.era,
            rows={
                key: ("", *row[1:])
                if key in content.large_keys and request.reads_large_values
                else row
                for key, row in content.rows.items()
                if known is None or known.get(key) != row[1:]
            },
            removed=tuple(key for key in known or () if key not in content.rows),
        )
        return ReadAnswer(
            nonce=request.nonce, digest=held.digest, content=encode_changes(changes)
        )

    def _answer(self, request: ReadRequest, answer: ReadAnswer) -> None:
        if not self.send(answer, request.host, request.port):
            # Too large for a datagram: the member reads the store itself.
            refusal = ReadAnswer(nonce=request.nonce, digest=0)
            self.send(refusal, request.host, request.port)
        self.metrics.count("shared_reads", label="answered")

    async def _ask(self, reader: DaemonAddress) -> StoreSnapshot | None:
        """Return what the reader read, ``None`` if it gave no usable answer."""
        held = self.held
        host, port = self.own_address
        request = ReadRequest(
            nonce=secrets.randbits(NONCE_BITS),
            known=held.digest if held is not None else 0,
            host=host,
            port=port,
            reads_large_values=True,
        )
        answered = asyncio.get_running_loop().create_future()
        self.answers[request.nonce] = answered
        try:
            if not self.send(request, reader.host, reader.port):
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                answer = await answered
        except TimeoutError:
            self._note_failure(reader, "no answer")
            return None
        finally:
            del self.answers[request.nonce]
        if not answer.digest:
            self._note_failure(reader, "could not read or send the content")
            return None
        self.failing = False
        if answer.content is None:
            return held.snapshot if held and held.digest == answer.digest else None
        return self._accept(answer)

    def _accept(self, answer: ReadAnswer) -> StoreSnapshot | None:
        """Return the decoded content of an answer, ``None`` if it is not usable."""
        try:
            changes = decode_changes(answer.content)
        except ValueError as error:
            log_change("content of a reader is not valid", error=str(error)[:300])
            return None
        rows = changes.rows
        if changes.base:
            if self.held is None or self.held.digest != changes.base:
                return None
            rows = {**self.held.content.rows, **rows}
            for key in changes.removed:
                rows.pop(key, None)
        content = StoreContent(era=changes.era, rows=rows)
        if _content_digest(content) != answer.digest:
            log_change("content of a reader is not valid", error="another digest")
            return None
        snapshot = self.source.decode_content(content)
        if snapshot is not None:
            self._hold(content, snapshot)
        return snapshot

    def _note_failure(self, reader: DaemonAddress, reason: str) -> None:
        self.groups.note_failure(reader)
        self.metrics.count("shared_reads", label="failed")
        if not self.failing:
            self.failing = True
            log_change("reads the store itself", reader=reader.instance, reason=reason)


def _content_digest(content: StoreContent) -> int:
    """Return a digest of a content; revisions identify the values of an era."""
    revisions = sorted((key, *row[1:]) for key, row in content.rows.items())
    return xxhash.xxh64_intdigest(repr((content.era, revisions)).encode())


def _send_nothing(message: ReadRequest | ReadAnswer, host: str, port: int) -> bool:
    """Send nothing; the default until a socket is open."""
    return False
