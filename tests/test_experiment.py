"""The experiment tool: what it refuses, and how it pairs plays."""

import json

import pytest

from bench.experiment import (
    Change,
    ExperimentError,
    Play,
    Variant,
    bootstrap_interval,
    compare,
    make_copy,
    parse_report,
    read_experiment,
    read_plays,
)

EXPERIMENT = """
why = "a test"
seeds = [0, 1]
[[sites]]
file = "site.toml"
days = ["quiet"]
[[variants]]
name = "base"
"""
REPORT = {
    "G": 0.5,
    "served": 0.75,
    "breaks": {"LOST": 4},
    "all": {"late": 3, "failed": 2, "refused": 1},
    "classes": [{"name": "draft", "late": 3, "failed": 2, "refused": 1}],
}


def play(variant, *, day="quiet", seed=0, worth=0.5):
    figures = parse_report(json.dumps(REPORT)) | {"worth": worth}
    return Play(variant=variant, site="site.toml", day=day, seed=seed, **figures)


def test_an_experiment_is_read_with_the_commit_of_each_variant(tmp_path):
    path = tmp_path / "experiment.toml"
    path.write_text(EXPERIMENT)
    (variant,) = read_experiment(path).variants
    assert len(variant.revision) == 40


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ("why = ", "Invalid value"),
        (EXPERIMENT + "colour = 1", "colour"),
        (EXPERIMENT + '[[variants]]\nname = "base"', "the same name"),
        (EXPERIMENT + 'revision = "no-such-branch"', "no-such-branch"),
        (EXPERIMENT.replace('["quiet"]', "[]"), "days"),
    ],
)
def test_an_invalid_experiment_is_refused_with_its_error(tmp_path, content, message):
    path = tmp_path / "experiment.toml"
    path.write_text(content)
    with pytest.raises(ExperimentError, match=message):
        read_experiment(path)


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(ExperimentError, match="missing.toml"):
        read_experiment(tmp_path / "missing.toml")


@pytest.mark.parametrize(
    ("file", "old", "message"),
    [("README.md", "no such text", "0 times"), ("missing.py", "x", "no file")],
)
def test_a_change_that_does_not_apply_is_refused(tmp_path, file, old, message):
    """Guards against variants that are played although they change nothing."""
    variant = Variant(name="off", changes=[Change(file=file, old=old, new="")])
    with pytest.raises(ExperimentError, match=message):
        make_copy(variant, tmp_path / "copy")


def test_a_change_replaces_a_text_in_a_copy(tmp_path):
    change = Change(file="Makefile", old="SECONDS ?= 60", new="SECONDS ?= 61")
    make_copy(Variant(name="longer", changes=[change]), tmp_path / "copy")
    assert "SECONDS ?= 61" in (tmp_path / "copy" / "Makefile").read_text()


@pytest.mark.parametrize("content", ["", "[]", '{"G": 1}'])
def test_a_report_without_figures_is_refused(content):
    with pytest.raises(ExperimentError, match="report"):
        parse_report(content)


def test_plays_are_paired_by_site_day_and_seed():
    plays = [
        play("base", seed=1, worth=0.5),
        play("base", seed=2, worth=0.6),
        play("off", seed=2, worth=0.7),
        play("off", seed=3, worth=0.9),
    ]
    ((old, new),) = compare(plays, "base", "off")
    assert (old.worth, new.worth) == (0.6, 0.7)
    assert new.broken_rules == ["LOST"]


def test_a_line_that_was_cut_off_is_left_out(tmp_path):
    """Guards against an interrupted experiment that can't go on."""
    path = tmp_path / "plays.jsonl"
    line = play("base").model_dump_json()
    path.write_text(f"{line}\n{line[:40]}")
    assert read_plays(path) == [play("base")]


def test_the_interval_holds_the_mean_and_shrinks_with_more_pairs():
    few = bootstrap_interval([0.0, 0.02, -0.01, 0.03])
    many = bootstrap_interval([0.0, 0.02, -0.01, 0.03] * 8)
    assert few[0] < 0.01 < few[1]
    assert many[1] - many[0] < few[1] - few[0]
