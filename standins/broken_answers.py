"""Answers that are no sound HTTP/1.1 responses, and unusual ones that are.

Each answers one attempt and bears the seal of a worker. Its sender closes the
connection in order after it. ``MARK`` stands in broken lines, so that logs can be
searched for it.
"""

import itertools
from collections.abc import Callable

__all__ = [
    "BROKEN",
    "BROKEN_HEADS",
    "ENDLESS",
    "MARK",
    "ODD_SEALS",
    "SOUND",
    "Answer",
    "seal_of",
]

Answer = Callable[[str, bytes], bytes]

MARK = b"mark-7c1f"
BAD_STATUSES = (b"000", b"001", b"099", b"101", b"600", b"999")
# What can't be part of a field's name, apart from the blank before the colon.
NAME_BYTES = b' \t\x00\x01\x0b\x1f\x7f\x80\xff()<>@,;\\"/[]?={}'
VALUE_BYTES = b"\x00\x01\x08\x0b\x0c\r\x1b\x1f\x7f"
TOKEN = b"X-!#$%&'*+-.^_`|~09AZaz"


def seal_of(attempt: str) -> str:
    """Return the seal with which a worker answers an attempt."""
    return f"seal-{attempt}"


def _length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def _chunks(body: bytes, *, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    half = len(body) // 2
    parts = [part for part in (body[:half], body[half:]) if part]
    chunks = b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts)
    head = b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0" + extension + b"\r\n" + trailer + b"\r\n"


def _close(body: bytes) -> bytes:
    return b"\r\n" + body


FRAMINGS = {"length": _length, "chunks": _chunks, "close": _close}


def _answer(
    *,
    start: bytes = b"HTTP/1.1 200 OK",
    fields: bytes = b"",
    before: bytes = b"",
    seal: bytes = b"",
    framed: Callable[[bytes], bytes] = _length,
) -> Answer:
    """Return an answer with one odd part; ``fields`` follow right after the seal."""

    def build(attempt: str, body: bytes) -> bytes:
        head = [
            start,
            b"Content-Type: text/event-stream",
            b"Linnetladder-Confidence: 99",
            b"Linnetladder-Weight-Versions: 1",
            b"Linnetladder-Attempt-Id: " + attempt.encode(),
            b"Linnetladder-Server-Seal: " + (seal or seal_of(attempt).encode()),
        ]
        return before + b"\r\n".join(head) + b"\r\n" + fields + framed(body)

    return build


def _broken_statuses() -> dict[str, Answer]:
    versions = (b"HTTP/1.1", b"HTTP/1.0")
    answers = {}
    for status, version, framing in itertools.product(BAD_STATUSES, versions, FRAMINGS):
        name = f"status {status.decode()} {version.decode()} {framing}"
        start = version + b" " + status + b" Odd"
        answers[name] = _answer(start=start, framed=FRAMINGS[framing])
        informed = _answer(
            start=start,
            before=b"HTTP/1.1 100 Continue\r\n\r\n",
            framed=FRAMINGS[framing],
        )
        answers[f"{name} after a 100"] = informed
    starts = (
        b"HTTP/1.1 2 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 +20 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1 \xd9\xa2\xd9\xa0 OK",
        b"HTTP/1.1200 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1 200OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/0.9 200 OK",
        b"http/1.1 200 OK",
        b" HTTP/1.1 200 OK",
        b"\r\nHTTP/1.1 200 OK",
        b"HTTP/1.1 200 O\x01K",
    )
    return answers | {f"start {start!r}": _answer(start=start) for start in starts}


def _broken_fields() -> dict[str, Answer]:
    answers = {}
    for value in NAME_BYTES:
        line = b"X-O%cdd: %s\r\n" % (value, MARK)
        answers[f"name with {value:#04x}"] = _answer(fields=line)
    for value in VALUE_BYTES:
        line = b"X-Odd: a%cb%s\r\n" % (value, MARK)
        answers[f"value with {value:#04x}"] = _answer(fields=line)
    lines = {
        "blank before the colon": b"X-Odd : %s\r\n",
        "no name": b": %s\r\n",
        "no colon": b"X-Odd %s\r\n",
        "folded with a blank": b" X-Odd: %s\r\n",
        "folded with a tab": b"\tX-Odd: %s\r\n",
        "folded empty line": b" \r\nX-Odd: %s\r\n",
    }
    return answers | {name: _answer(fields=line % MARK) for name, line in lines.items()}


def _broken_framings() -> dict[str, Answer]:
    def coding(value: bytes) -> Answer:
        line = b"Transfer-Encoding: %s\r\n" % value
        return _answer(
            fields=line, framed=lambda body: _chunks(body).partition(b"\n")[2]
        )

    def lengths(*values: bytes) -> Answer:
        lines = b"".join(b"Content-Length: %s\r\n" % value for value in values)
        return _answer(fields=lines, framed=_close)

    answers = {
        f"transfer coding {value.decode()}": coding(value)
        for value in (
            b"xchunked",
            b"gzip, chunked",
            b"chunked, gzip",
            b"chunked, chunked",
            b"identity",
            b"gzip",
            b"chunked;q=1",
            b"",
        )
    }
    answers["chunks twice"] = _answer(
        fields=b"Transfer-Encoding: chunked\r\n", framed=_chunks
    )
    answers["chunks beside a length"] = _answer(
        fields=b"Content-Length: 3\r\n", framed=_chunks
    )
    answers["chunks in HTTP/1.0"] = _answer(start=b"HTTP/1.0 200 OK", framed=_chunks)
    for values in (
        (b"3", b"4"),
        (b"+3",),
        (b"-3",),
        (b"3, 3",),
        (b"3 3",),
        (b"0x3",),
        (b"",),
        (b"three",),
        (b"\xd9\xa3",),
    ):
        name = b" and ".join(values).decode("utf-8")
        answers[f"length {name!r}"] = lengths(*values)
    answers["blank in a framing field's name"] = _answer(
        fields=b"Content-Length : 3\r\n", framed=_close
    )
    return answers


def _broken_bodies() -> dict[str, Answer]:
    def chunked(framing: bytes) -> Answer:
        head = b"Transfer-Encoding: chunked\r\n\r\n"
        return _answer(framed=lambda body: head + framing)

    framings = {
        "size of a chunk that is no number": MARK + b"\r\nab\r\n0\r\n\r\n",
        "size of a chunk -1": b"-1\r\nab\r\n0\r\n\r\n",
        "size of a chunk 0x2": b"0x2\r\nab\r\n0\r\n\r\n",
        "chunk longer than its size": b"1\r\nab\r\n0\r\n\r\n",
        "no last chunk": b"2\r\nab\r\n",
        "no end after the last chunk": b"2\r\nab\r\n0\r\n",
        "trailer without a colon": b"2\r\nab\r\n0\r\nodd\r\n\r\n",
    }
    answers = {name: chunked(framing) for name, framing in framings.items()}
    line = b"Content-Length: %s\r\n" % (b"9" * 30)
    answers["length of 30 digits"] = _answer(fields=line, framed=_close)
    answers["content coding gzip"] = _answer(fields=b"Content-Encoding: gzip\r\n")
    return answers


BROKEN_HEADS: dict[str, Answer] = {
    **_broken_statuses(),
    **_broken_fields(),
    **_broken_framings(),
}
BROKEN: dict[str, Answer] = {**BROKEN_HEADS, **_broken_bodies()}

# Sound responses whose seal a daemon can't return unchanged.
ODD_SEALS: dict[str, Answer] = {
    "a seal that is not UTF-8": _answer(seal=b"seal-\xff" + MARK)
}
# The beginnings of answers whose bytes have no end.
ENDLESS: tuple[Answer, ...] = (
    lambda attempt, body: b"",
    _answer(framed=lambda body: b""),
    _answer(framed=_close),
    _answer(framed=lambda body: b"Transfer-Encoding: chunked\r\n\r\n1;"),
)

# Each is answered with the status in its name, 200 if there is none.
SOUND: dict[str, Answer] = {
    "length": _answer(),
    "no length and an orderly end": _answer(framed=_close),
    "chunks": _answer(framed=_chunks),
    "chunks with extensions and a trailer": _answer(
        framed=lambda body: _chunks(body, extension=b";a=b", trailer=b"X-T: 1\r\n")
    ),
    "no reason": _answer(start=b"HTTP/1.1 200 "),
    "no reason and no blank": _answer(start=b"HTTP/1.1 200"),
    "HTTP/1.0": _answer(start=b"HTTP/1.0 200 OK"),
    "HTTP/1.0 without a length": _answer(start=b"HTTP/1.0 200 OK", framed=_close),
    "a name of all characters of a token": _answer(fields=TOKEN + b": 1\r\n"),
    "an empty value": _answer(fields=b"X-Empty:\r\n"),
    "tabs in a value": _answer(fields=b"X-Tabs:\ta\tb\t\r\n"),
    "UTF-8 in a value": _answer(fields="X-Text: caf\u00e9 \u2713\r\n".encode()),
    "informational answers": _answer(
        before=b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        b"HTTP/1.1 199 Odd\r\n\r\n"
    ),
    "status 299": _answer(start=b"HTTP/1.1 299 Odd"),
    "status 404": _answer(start=b"HTTP/1.1 404 Not Found"),
    "status 418": _answer(start=b"HTTP/1.1 418 I'm a teapot", framed=_chunks),
    "status 499": _answer(start=b"HTTP/1.1 499 Odd"),
}
