"""Changes between two contents of the store, as passed between daemons.

A member of a group that holds an earlier content gets only the rows that changed.
"""

import dataclasses
import zlib

import orjson
import pydantic

__all__ = ["ContentChanges", "decode_changes", "encode_changes"]

COMPRESSION_LEVEL = 1
# Bounds what a small message can expand to.
MAXIMUM_PLAIN_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ContentChanges:
    """The rows that were written and removed since the content ``base``.

    ``base`` is a digest, 0 if ``rows`` is the whole content.
    """

    base: int
    era: int
    rows: dict[str, tuple[str, int, int]]
    removed: tuple[str, ...] = ()


_ADAPTER = pydantic.TypeAdapter(
    tuple[int, int, dict[str, tuple[str, int, int]], tuple[str, ...]]
)


def encode_changes(changes: ContentChanges) -> bytes:
    """Return changes as compressed JSON."""
    fields = (changes.base, changes.era, changes.rows, changes.removed)
    return zlib.compress(orjson.dumps(fields), COMPRESSION_LEVEL)


def decode_changes(data: bytes) -> ContentChanges:
    """Return the changes; raise `ValueError` if they are not valid."""
    try:
        plain = zlib.decompressobj().decompress(data, MAXIMUM_PLAIN_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    base, era, rows, removed = _ADAPTER.validate_json(plain)
    return ContentChanges(base=base, era=era, rows=rows, removed=removed)
