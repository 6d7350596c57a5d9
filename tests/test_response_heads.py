"""Heads of responses, cut into pieces at each byte."""

import pytest

from linnetladder.protocol.response_heads import (
    MAXIMUM_FIELDS,
    MAXIMUM_HEAD_BYTES,
    ResponseHeadError,
    ResponseHeadReader,
)
from standins.broken_answers import BROKEN_HEADS, SOUND

BODY = b"a whole body"


def read_in_pieces(answer, cut):
    """Return what a reader passes on of an answer that arrives in two pieces."""
    reader = ResponseHeadReader()
    passed = b""
    for piece in (answer[:cut], answer[cut:]):
        passed += piece if reader.complete else reader.feed(piece)
    assert reader.complete
    return passed


# Guards against a check that misses what is split over two reads of a connection.
@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_a_malformed_head_is_found_however_it_arrives(name):
    answer = BROKEN_HEADS[name]("a1", BODY)
    for cut in range(len(answer)):
        with pytest.raises(ResponseHeadError) as caught:
            read_in_pieces(answer, cut)
        assert len(str(caught.value)) < 100


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_head_is_passed_on_unchanged(name):
    answer = SOUND[name]("a1", BODY)
    final = answer[answer.rindex(b"HTTP/1.") :]
    for cut in range(len(answer)):
        assert read_in_pieces(answer, cut) == final


def test_a_head_without_end_is_not_kept():
    reader = ResponseHeadReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nX-Long: ")
    with pytest.raises(ResponseHeadError):
        for _ in range(MAXIMUM_HEAD_BYTES // 1024 + 1):
            reader.feed(b"a" * 1024)


# Guards against informational responses and fields that are kept until all bytes that
# have arrived are read, which may be many more than a head may have.
@pytest.mark.parametrize("piece", [b"HTTP/1.1 102 P\r\nX-A: b\r\n\r\n", b"X-A: b\r\n"])
def test_a_head_without_end_that_arrives_at_once_is_read_up_to_its_bound(piece):
    reader = ResponseHeadReader()
    with pytest.raises(ResponseHeadError):
        reader.feed(b"HTTP/1.1 102 P\r\n" + piece * 100_000)
    assert len(reader._lines) <= MAXIMUM_FIELDS + 1
    assert reader._read_bytes <= MAXIMUM_HEAD_BYTES


def test_a_large_body_in_the_same_bytes_does_not_count_as_the_head():
    answer = SOUND["length"]("a1", b"a" * MAXIMUM_HEAD_BYTES * 2)
    assert ResponseHeadReader().feed(answer) == answer
