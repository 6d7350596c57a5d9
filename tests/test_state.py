"""State: settings resolution, signed tokens, duplicate bills, leaving endpoints."""

import dataclasses
import string

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetladder.protocol.declarations import parse_declarations
from linnetladder.state import (
    Bill,
    EndpointReport,
    EndpointTable,
    KeyRing,
    Session,
    SigningKey,
    VersionRef,
)
from linnetladder.state.ledger import bill_id, encode_block, fold_bills
from linnetladder.state.sessions import issue_session_token, verify_session_token
from linnetladder.state.settings import SETTING_DEFAULTS
from linnetladder.state.snapshot import (
    Snapshot,
    build_manifest,
    decode_manifest,
    encode_manifest,
    encode_part,
)
from linnetladder.state.tree import DEFAULT_ORIGIN
from tests.support.site import declarations_text

KEYS = tuple(SigningKey(f"{n:010d}", f"secret-{n}", float(n)) for n in (1, 2, 3))


def build_snapshot(text: str | None = None, *, withdrawals=()) -> Snapshot:
    parts = parse_declarations(text or declarations_text(), file="t").unwrap().parts
    encoded = [encode_part(part) for part in parts]
    manifest = build_manifest(
        previous=None,
        parts=tuple(ref for ref, _ in encoded),
        withdrawals=withdrawals,
        change_id="c",
        author="a",
        message="m",
        time_seconds=0.0,
    )
    return Snapshot(manifest=manifest, parts={part.name: part for part in parts})


def test_inherited_values_name_the_node_that_set_them():
    resolved = build_snapshot().tree.resolve("limited")
    assert resolved.values.requests_per_second == 0.01
    assert resolved.origins["requests_per_second"] == "firm/limited"
    assert resolved.origins["allowed_versions"] == "firm"
    assert resolved.origins["maximum_priority"] == DEFAULT_ORIGIN
    assert resolved.values.maximum_priority == SETTING_DEFAULTS.maximum_priority


def test_manifest_round_trips_through_its_encoding():
    manifest = build_snapshot().manifest
    assert decode_manifest(encode_manifest(manifest)) == manifest


def test_checkpoint_id_depends_on_the_previous_checkpoint():
    first = build_snapshot().manifest
    other = dataclasses.replace(first, checkpoint_id="0" * 32)
    following = [
        build_manifest(
            previous=previous,
            parts=first.parts,
            withdrawals=(),
            change_id="c",
            author="a",
            message="m",
            time_seconds=0.0,
        )
        for previous in (first, other)
    ]
    assert following[0].checkpoint_id != following[1].checkpoint_id


def session(expires: float = 10.0) -> Session:
    return Session(
        session_id="s",
        account="studio",
        pin=VersionRef("small", "1"),
        revision=3,
        expires_seconds=expires,
    )


def test_session_token_verifies_until_its_key_is_removed():
    ring = KeyRing(keys=KEYS[:1])
    token = issue_session_token(session(), keys=ring)
    ring.add(KEYS[1])
    assert verify_session_token(token, keys=ring) == session()
    ring.add(KEYS[2])
    ring.retain(frozenset(key.key_id for key in KEYS[1:]))
    assert verify_session_token(token, keys=ring) is None


@given(position=st.integers(0, 200), character=st.characters(codec="ascii"))
def test_modified_token_never_yields_another_session(position, character):
    ring = KeyRing(keys=KEYS[:1])
    token = issue_session_token(session(), keys=ring)
    position %= len(token)
    changed = token[:position] + character + token[position + 1 :]
    assert verify_session_token(changed, keys=ring) in (None, session())


def test_token_with_another_last_character_is_rejected():
    ring = KeyRing(keys=KEYS[:1])
    token = issue_session_token(session(), keys=ring)
    # The last Base64 character has unused bits, so several characters decode alike.
    alphabet = string.ascii_letters + string.digits + "-_"
    accepted = [c for c in alphabet if verify_session_token(token[:-1] + c, keys=ring)]
    assert accepted == [token[-1]]


def bill(key: str, record: str, *, voids: bool = False) -> Bill:
    return Bill(
        bill_id=bill_id(account="studio", request_key=key),
        record_id=record,
        account="studio",
        request_key=key,
        target="small@1",
        input_tokens=1,
        output_tokens=1,
        price=1.0,
        time_seconds=0.0,
        voids=voids,
    )


def test_duplicate_records_bill_a_request_once():
    block = encode_block([bill("a", "1"), bill("b", "2")])
    other = encode_block([bill("a", "3")])
    folded = fold_bills([block, block, other])
    assert sorted(b.record_id for b in folded.values()) == ["1", "2"]


def test_next_record_applies_when_the_first_is_voided():
    blocks = [
        encode_block([bill("a", "1")]),
        encode_block([bill("a", "2")]),
        encode_block([bill("a", "1", voids=True)]),
    ]
    assert [b.record_id for b in fold_bills(blocks).values()] == ["2"]


def report(incarnation: str, *, leaving: bool = False) -> EndpointReport:
    return EndpointReport(
        name="engine",
        incarnation=incarnation,
        address="127.0.0.1:1",
        failure_domain="riga-ke",
        service="models",
        versions=frozenset({VersionRef("small", "1")}),
        capacity=4,
        in_flight=0,
        leaving=leaving,
    )


@settings(max_examples=200)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12)
)
def test_leaving_incarnation_never_accepts_work_again(reports):
    table = EndpointTable()
    departed: set[str] = set()
    for incarnation, leaving in reports:
        table.merge(report(incarnation, leaving=leaving))
        if leaving:
            departed.add(incarnation)
        current = table.endpoints["engine"]
        if current.incarnation in departed:
            assert not current.accepts_work(0.0)


def test_replaced_incarnation_does_not_come_back():
    table = EndpointTable()
    for incarnation in ("old", "new", "old"):
        table.merge(report(incarnation))
    assert table.endpoints["engine"].incarnation == "new"
    assert table.accepts_work(VersionRef("small", "1"), 0.0)
