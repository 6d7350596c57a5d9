"""Declarations: each problem is reported with its line; a valid file has none."""

import pytest
from returns.result import Failure

from linnetladder.protocol.declarations import parse_declarations
from tests.support.site import declarations_text


def problem_messages(text: str) -> list[str]:
    loaded = parse_declarations(text, file="f.yaml")
    if not isinstance(loaded, Failure):
        return []
    return [str(problem) for problem in loaded.failure()]


def test_valid_file_has_no_problems():
    assert problem_messages(declarations_text()) == []


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("burst: 1000", "bursts: 1000", "key 'bursts' is unknown"),
        ("[small, large]", "[small, huge]", "model 'huge' is not declared"),
        ("[small, large]", "[small@9]", "version '9' of model 'small' is not declared"),
        ('{stable: "1"}', '{stable: "7"}', "version '7' of model 'small'"),
        ("allowed_services: [desk]", "allowed_services: [x]", "service 'x' is not"),
        ("name: cheap", "name: studio", "node 'studio' is declared twice"),
        ("parent: firm", "parent: nobody", "parent 'nobody' of node"),
        ("burst: 1000", "burst: many", "valid integer"),
        ("burst: 1000", "burst: 1000\n      burst: 7", "duplicate key 'burst'"),
        (
            "burst: 1000",
            "cascade_policy: guess",
            "cascade policy 'guess' is not one of",
        ),
    ],
)
def test_problem_is_reported_with_its_line(old, new, expected):
    text = declarations_text().replace(old, new, 1)
    reported = problem_messages(text)
    assert any(expected in problem for problem in reported), reported
    line = int(reported[0].split(":")[1])
    assert line > 1


def test_reported_line_is_the_line_of_the_key():
    text = declarations_text().replace("burst: 1000", "bursts: 1000")
    line = 1 + text[: text.index("bursts")].count("\n")
    assert problem_messages(text)[0].startswith(
        f"f.yaml:{line}: nodes[0].settings.bursts"
    )


def test_parent_cycle_is_refused():
    text = declarations_text().replace(
        "- name: firm", "- name: firm\n    parent: studio"
    )
    assert any("is its own ancestor" in problem for problem in problem_messages(text))


def test_override_wider_than_a_locked_setting_is_refused():
    text = declarations_text().replace(
        "- name: firm", "- name: firm\n    locked: [requests_per_second]"
    )
    wider = text.replace("requests_per_second: 0.01", "requests_per_second: 2000")
    assert problem_messages(text) == []
    assert any(
        "which node 'firm' locks" in problem for problem in problem_messages(wider)
    )


def test_unreadable_yaml_is_one_problem():
    assert len(problem_messages("models: [")) == 1
