"""Long prompts go to engines whose memory holds them, whatever their free slots."""

import orjson

from linnetladder.forwarding.protocol import daemon_messages
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from linnetladder.forwarding.state import Prompt, PromptPart
from tests.support.forwarding import ManualClock, head, ready_daemon

SECRET = b"secret"
# A third of an engine's memory in the tests' configuration.
LONG_TOKENS = 33_000


def long_head(number):
    """Return the head of a request whose prompt and output take `LONG_TOKENS`."""
    parts = (PromptPart("session", 800), PromptPart(f"own-{number}", 32_100))
    prompt = Prompt(input_tokens=LONG_TOKENS - 100, output_tokens=100, parts=parts)
    return head(attempt_id=f"a{number}", prompt=prompt)


def admit(daemon, request_head):
    return daemon.forwarder.admission.admit(
        request_head, b"", received=daemon.clock.monotonic()
    ).unwrap()


def send(daemon, request):
    """Send a request that reads its prompt at once and does not end."""
    inputs = daemon.sender.selection_inputs(request, "small")
    endpoint = daemon.selection.choose(inputs)
    load = daemon.sender.begin_load(request, endpoint, "small")
    daemon.loads.record_first_token(load)
    return endpoint, load


def exchange_reports(sender, receiver):
    datagram = encode_message(sender.peers.build(), secret=SECRET)
    receiver.peers.apply(decode_message(datagram, secret=SECRET))


def test_long_prompts_of_one_session_leave_an_engine_before_its_memory_is_full():
    """Guards against engines that preempt streams although they have free slots."""
    daemon = ready_daemon()
    names = [send(daemon, admit(daemon, long_head(n)))[0].name for n in range(9)]
    assert [names.count(name) for name in sorted(set(names))] == [3, 3, 3]


def test_memory_that_peers_use_counts():
    """Guards against daemons that together fill an engine that each finds empty."""
    clock = ManualClock()
    one = ready_daemon(name="daemon-1", clock=clock)
    two = ready_daemon(name="daemon-2", clock=clock)
    for number in range(3):
        home, _ = send(one, admit(one, long_head(number)))
    exchange_reports(one, two)
    known = two.table.endpoints[home.name]
    assert two.peers.room.tokens_left(known) == 100_000 - 3 * LONG_TOKENS
    request = admit(two, long_head(9))
    inputs = two.sender.selection_inputs(request, "small")
    assert two.selection.choose(inputs) is not known


def test_ended_requests_give_their_memory_back():
    """Guards against endpoints that look full for ever."""
    daemon = ready_daemon()
    loads = [send(daemon, admit(daemon, long_head(n))) for n in range(3)]
    for endpoint, load in loads:
        daemon.loads.end(endpoint, load)
    assert daemon.loads.cache_tokens == {}
    assert daemon.peers.build().report.tokens == []


def test_full_engines_remain_a_last_resort():
    """Guards against requests without an endpoint because of an estimate."""
    daemon = ready_daemon()
    for number in range(12):
        send(daemon, admit(daemon, long_head(number)))
    assert daemon.answer(long_head(13)).status == 200


def test_reports_with_tokens_are_read_by_daemons_that_know_none(monkeypatch):
    """Guards against daemons of the version before that lose reports altogether."""
    daemon = ready_daemon()
    home, _ = send(daemon, admit(daemon, long_head(1)))
    datagram = encode_message(daemon.peers.build(), secret=SECRET)
    monkeypatch.setattr(daemon_messages, "SUMS_PREFIX", "unknown")
    report = decode_message(datagram, secret=SECRET).report
    loads = {name: in_flight for name, in_flight, _ in report.loads}
    assert loads[home.name] == 1
    assert loads.keys() - daemon.table.endpoints.keys() == {"#tokens"}


def test_reports_without_tokens_keep_their_encoding():
    """Guards against rows that take the place of loads where slots are the limit."""
    daemon = ready_daemon()
    send(daemon, admit(daemon, head()))
    assert sum(daemon.loads.cache_tokens.values()) == 1080
    content = encode_message(daemon.peers.build(), secret=SECRET)[16:]
    array = orjson.loads(daemon_messages.zlib.decompress(content))
    assert len(array) == 7
    assert "#tokens" not in array[5][0]
