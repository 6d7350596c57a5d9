"""Refusals that a faulty endpoint sends once more on a kept connection."""

import pytest

from linnetladder.errors import Ran
from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from tests.forwarding.test_transport import build_call, run_with_calls
from tests.support.forwarding import Script, broken, head, ready_daemon

NAMED = b"Linnetladder-Attempt-Id: a1\r\n"


def refusal(status=b"503 Service Unavailable", *, named=NAMED):
    return b"HTTP/1.1 %s\r\nLinnetladder-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n" % (
        status,
        named,
    )


async def open_and_close(calls, endpoint, attempt_id):
    """Return the head of the answer to a call."""
    exchange = await calls.open(build_call(endpoint, attempt_id))
    await exchange.read()
    exchange.close()
    return exchange.head


# Guards against a request that runs while its caller is told that it has not, or that
# is sent to a second endpoint.
@pytest.mark.parametrize("status", [b"503 Service Unavailable", b"421 Misdirected"])
@pytest.mark.parametrize("named", [NAMED, b""], ids=["named", "unnamed"])
@pytest.mark.parametrize("attempt_id", ["a1", "a2"])
def test_a_refusal_that_may_be_a_copy_does_not_show_that_nothing_ran(
    status, named, attempt_id
):
    async def work(calls, endpoint):
        assert (await open_and_close(calls, endpoint, "a1")).not_run
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, attempt_id))
        assert caught.value.kind is CallFaultKind.INVALID
        assert caught.value.may_have_run
        assert endpoint.connections == 1

    refused = refusal(status, named=named)
    run_with_calls(work, [refused], [refused])


# Guards against refusals that are not believed any more although nothing is unclear.
def test_refusals_of_different_requests_on_a_connection_are_believed():
    async def work(calls, endpoint):
        for attempt_id in ("a1", "a2", "a3"):
            assert (await open_and_close(calls, endpoint, attempt_id)).not_run
        assert endpoint.connections == 1

    names = [b"Linnetladder-Attempt-Id: a%d\r\n" % number for number in (1, 2, 3)]
    run_with_calls(work, *([refusal(named=name)] for name in names))


def test_a_request_whose_refusal_may_be_a_copy_is_not_sent_again():
    daemon = ready_daemon()
    copied = Script(fault=broken(kind=CallFaultKind.INVALID))
    reply = daemon.answer(head("/save/1"), copied, Script())
    assert reply.status == 502
    assert reply.refusal.ran is Ran.UNKNOWN
    assert len(daemon.calls.calls) == 1


# Guards against a peer that is not believed when a second endpoint refuses a request.
def test_a_peer_may_pass_on_several_refusals_of_a_request():
    async def work(calls, endpoint):
        for _ in range(2):
            call = build_call(endpoint, "a1")
            call.relay = endpoint.address
            exchange = await calls.open(call)
            assert exchange.head.not_run
            await exchange.read()
            exchange.close()
        assert endpoint.connections == 1

    run_with_calls(work, [refusal()], [refusal()])
