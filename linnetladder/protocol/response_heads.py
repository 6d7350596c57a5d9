"""Heads of HTTP/1.1 responses, read as strictly as RFC 9110 and RFC 9112 define them.

HTTP libraries are lenient with responses: they take a status that does not exist, a
folded line or a framing that they do not know, and what they return is then not what
the server has sent. The reader here passes on only heads that have one meaning.
"""

import re

__all__ = [
    "MAXIMUM_FIELDS",
    "MAXIMUM_HEAD_BYTES",
    "ResponseHeadError",
    "ResponseHeadReader",
]

# Bytes of a head with all informational responses before it, and fields of one head.
MAXIMUM_HEAD_BYTES = 64 * 1024
MAXIMUM_FIELDS = 128

_VISIBLE = rb"[\t \x21-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: " + _VISIBLE + rb")?")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _VISIBLE + rb")")
_VERSION_PREFIX = b"HTTP/1."
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class ResponseHeadError(Exception):
    """A response's head is malformed; the message contains none of its bytes."""


class ResponseHeadReader:
    """Checks the head of one response line by line, as it arrives.

    Informational responses are checked and dropped. ``complete`` is set once the head
    of the final response was read. Lines may end without a carriage return, as RFC 9112
    allows recipients to accept.

    Examples
    --------
    >>> reader = ResponseHeadReader()
    >>> reader.feed(b"HTTP/1.1 103 Early Hints\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n")
    b''
    >>> reader.feed(b"Content-Length: 2\\r\\n\\r\\nok")
    b'HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok'
    """

    def __init__(self):
        self.complete = False
        self._read_bytes = 0
        self._unread = b""
        self._begin_response()

    def _begin_response(self) -> None:
        self._lines: list[bytes] = []
        self._status = 0
        self._is_version_1_0 = False
        self._content_length: bytes | None = None
        self._is_chunked = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole head and what follows it, or ``b""`` until it is complete.

        Raise `ResponseHeadError` as soon as a line is malformed or the head too long.
        """
        data = self._unread + data
        begin = 0
        while (end := data.find(b"\n", begin)) >= 0:
            line = data[begin:end].removesuffix(b"\r")
            self._check_size(end + 1 - begin)
            self._read_bytes += end + 1 - begin
            begin = end + 1
            if self._read_line(line):
                self.complete = True
                head = b"\r\n".join(self._lines)
                return head + b"\r\n\r\n" + data[begin:]
        self._check_size(len(data) - begin)
        self._unread = data[begin:]
        if not self._lines and not _may_be_status_line(self._unread):
            raise ResponseHeadError("the response is not HTTP/1.x")
        return b""

    def _check_size(self, line_bytes: int) -> None:
        if self._read_bytes + line_bytes > MAXIMUM_HEAD_BYTES:
            raise ResponseHeadError(f"the head exceeds {MAXIMUM_HEAD_BYTES} bytes")

    def _read_line(self, line: bytes) -> bool:
        """Check the next line; return whether it ends the final response's head."""
        if not self._lines:
            self._read_status_line(line)
        elif line:
            self._read_field(line)
        elif self._status < _FIRST_FINAL_STATUS:
            self._begin_response()
            return False
        else:
            self._check_framing()
            return True
        self._lines.append(line)
        return False

    def _read_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise ResponseHeadError("the status line is malformed")
        self._is_version_1_0 = match[1] == b"0"
        self._status = int(match[2])
        if self._status == _SWITCHING_PROTOCOLS:
            raise ResponseHeadError("the protocol was switched without being asked")

    def _read_field(self, line: bytes) -> None:
        if len(self._lines) > MAXIMUM_FIELDS:
            raise ResponseHeadError(f"the head has over {MAXIMUM_FIELDS} fields")
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise ResponseHeadError(_describe_malformed_field(line))
        name = match[1].lower()
        if name == b"content-length":
            if self._content_length is not None or not match[2].strip().isdigit():
                raise ResponseHeadError("Content-Length is not one number")
            self._content_length = match[2].strip()
        elif name == b"transfer-encoding":
            is_chunked = match[2].strip().lower() == b"chunked"
            if self._is_chunked or not is_chunked:
                raise ResponseHeadError("Transfer-Encoding is not chunked alone")
            self._is_chunked = True

    def _check_framing(self) -> None:
        if not self._is_chunked:
            return
        if self._content_length is not None:
            detail = "the response has a Content-Length beside a Transfer-Encoding"
            raise ResponseHeadError(detail)
        if self._is_version_1_0:
            raise ResponseHeadError("an HTTP/1.0 response has a Transfer-Encoding")


def _may_be_status_line(begun: bytes) -> bool:
    """Return whether an incomplete first line may become a status line."""
    return begun[: len(_VERSION_PREFIX)] == _VERSION_PREFIX[: len(begun)]


def _describe_malformed_field(line: bytes) -> str:
    if line[:1] in (b" ", b"\t"):
        return "a line of the head is folded"
    name, separator, _ = line.partition(b":")
    if not separator or _FIELD_LINE.fullmatch(name + separator) is None:
        return "the name of a field is malformed"
    return "the value of a field contains a control character"
