"""An HTTP server that answers requests it can't parse with a problem response."""

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from linnetladder.coordination import Refused
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.protocol import encode_problem
from linnetladder.protocol.problems import PROBLEM_CONTENT_TYPE
from linnetladder.telemetry import Metrics

__all__ = ["ProblemServer"]

UNPARSED_REQUEST_ID = "unread"


class ProblemHandler(web.RequestHandler):
    """Request handler that answers an unparsable request head with a problem."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the problem, after which the connection is closed.

        The request can't be identified, so whether it ran when it was sent before is
        unknown.
        """
        if request.writer.output_size > 0:
            raise ConnectionError(
                "can't send an error response: part of an answer was already sent"
            )
        refusal = _build_refusal(status, exc)
        metrics = self._manager.metrics
        metrics.count("requests")
        metrics.count("refused", label=refusal.kind)
        metrics.count("refused_ran", label=refusal.ran)
        refused = Refused(request_id=UNPARSED_REQUEST_ID, refusal=refusal, receipt="")
        response = web.Response(
            status=refusal.status,
            body=encode_problem(refused),
            headers={"Content-Type": PROBLEM_CONTENT_TYPE},
        )
        response.force_close()
        return response


class ProblemServer(web.Server):
    """Serve connections with `ProblemHandler`."""

    def __init__(self, handler, *, metrics: Metrics, **options: object):
        super().__init__(handler, **options)
        self.metrics = metrics

    def __call__(self) -> web.RequestHandler:
        """Return the handler for a new connection."""
        return ProblemHandler(self, loop=self._loop, **self._kwargs)


def _build_refusal(status: int, exc: BaseException | None) -> Refusal:
    if isinstance(exc, LineTooLong):
        detail = "a header or the request line is too long"
        return Refusal(ErrorKind.HEADER_TOO_LARGE, detail, Ran.UNKNOWN)
    if status < 500:
        detail = "the request is not valid HTTP"
        return Refusal(ErrorKind.MALFORMED_HTTP, detail, Ran.UNKNOWN)
    return Refusal(ErrorKind.INTERNAL, "the daemon failed", Ran.UNKNOWN)
