"""Play variants of the code on the same days and seeds, and compare them in pairs.

``python -m bench.experiment FILE --fleetbench PROGRAM --sites DIRECTORY`` reads an
experiment from a TOML file: sites with their days, seeds, and variants. A variant is a
copy of the repository's committed files in which some texts are replaced. Each play's
figures are kept in a file of JSON lines, so that an interrupted experiment goes on
where it stopped. The users' bench is run as its manual says; this program only reads
the report that it writes.

The result is a table with the mean difference of each variant to the first one, over
pairs of the same site, day and seed, with a bootstrap interval.
"""

import concurrent.futures
import io
import json
import shutil
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path

import numpy as np
import pydantic
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

__all__ = ["Experiment", "ExperimentError", "Play", "compare", "read_experiment"]

FLAGS = flags.FLAGS
EXIT_USAGE = 2
INTERVAL_PERCENT = 90.0
BOOTSTRAP_SAMPLES = 4_000
BOOTSTRAP_SEED = 1
# The seed that a day's own plan names.
OWN_SEED = 0
REPOSITORY = Path(__file__).parent.parent


class ExperimentError(Exception):
    """An experiment can't be read or a play failed."""


class Change(pydantic.BaseModel):
    """A text of a file, which must occur once, and what replaces it."""

    model_config = pydantic.ConfigDict(extra="forbid")

    file: str
    old: str = pydantic.Field(min_length=1)
    new: str


class Variant(pydantic.BaseModel):
    """A variant of the code; the first one of an experiment is the baseline."""

    model_config = pydantic.ConfigDict(extra="forbid")

    name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    revision: str = "HEAD"
    changes: list[Change] = []


class Site(pydantic.BaseModel):
    """A site's file, relative to the directory of sites, and the days to play."""

    model_config = pydantic.ConfigDict(extra="forbid")

    file: str
    days: list[str] = pydantic.Field(min_length=1)


class Experiment(pydantic.BaseModel):
    """What to play; each variant plays each day of each site with each seed."""

    model_config = pydantic.ConfigDict(extra="forbid")

    why: str = pydantic.Field(min_length=1)
    seeds: list[int] = pydantic.Field([OWN_SEED], min_length=1)
    sites: list[Site] = pydantic.Field(min_length=1)
    variants: list[Variant] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def check_names(self):
        """Check that no two variants have the same name."""
        names = [variant.name for variant in self.variants]
        if len(set(names)) < len(names):
            raise ValueError("two variants have the same name")
        return self


class Play(pydantic.BaseModel):
    """The figures of one play.

    ``classes`` gives the requests that were late, failed and refused of each class.
    """

    variant: str
    site: str
    day: str
    seed: int
    worth: float
    whole_day: float
    late: int
    failed: int
    refused: int
    broken_rules: list[str]
    classes: dict[str, tuple[int, int, int]]

    @property
    def pair(self) -> tuple[str, str, int]:
        """What a play of another variant has to share to be compared."""
        return self.site, self.day, self.seed

    @property
    def not_in_time(self) -> int:
        """The requests that were late, failed or refused."""
        return self.late + self.failed + self.refused


def read_experiment(path: Path) -> Experiment:
    """Return the experiment in a file; raise `ExperimentError` if it is invalid."""
    try:
        experiment = Experiment.model_validate(tomllib.loads(path.read_text()))
        for variant in experiment.variants:
            variant.revision = resolve_revision(variant.revision)
        return experiment
    except (OSError, tomllib.TOMLDecodeError, pydantic.ValidationError) as error:
        raise ExperimentError(f"{path}: {error}") from error


def resolve_revision(revision: str) -> str:
    """Return the id of a commit, so that all variants stay on the same one."""
    command = ["git", "rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}"]
    found = subprocess.run(command, cwd=REPOSITORY, capture_output=True, text=True)
    if found.returncode:
        raise ExperimentError(f"no revision {revision!r} in the repository")
    return found.stdout.strip()


def read_plays(path: Path) -> list[Play]:
    """Return the plays that are kept in a file, without a line that was cut off."""
    if not path.exists():
        return []
    plays = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        try:
            plays.append(Play.model_validate_json(line))
        except pydantic.ValidationError:
            print(f"{path}:{number}: not a play, ignored", file=sys.stderr)
    return plays


def parse_report(content: str) -> dict[str, object]:
    """Return the figures of a report that the users' bench wrote."""
    try:
        report = json.loads(content)
        overall = report["all"]
        return {
            "worth": report["G"],
            "whole_day": report["served"],
            "late": overall["late"],
            "failed": overall["failed"],
            "refused": overall["refused"],
            "broken_rules": sorted(report["breaks"]),
            "classes": {
                row["name"]: (row["late"], row["failed"], row["refused"])
                for row in report["classes"]
            },
        }
    except (ValueError, KeyError, TypeError) as error:
        raise ExperimentError(f"the bench's report can't be read: {error!r}") from error


def make_copy(variant: Variant, directory: Path) -> None:
    """Copy the committed files to a directory and make the variant's changes."""
    if directory.exists():
        shutil.rmtree(directory)
    command = ["git", "archive", "--format=tar", variant.revision]
    archive = subprocess.run(command, cwd=REPOSITORY, capture_output=True)
    if archive.returncode:
        raise ExperimentError(archive.stderr.decode(errors="replace").strip())
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")
    shutil.rmtree(directory / "journal", ignore_errors=True)
    dependencies = REPOSITORY / "target"
    if dependencies.exists():
        shutil.copytree(dependencies, directory / "target", symlinks=True)
    for change in variant.changes:
        path = directory / change.file
        if not path.exists():
            raise ExperimentError(f"{variant.name}: no file {change.file}")
        content = path.read_text()
        if content.count(change.old) != 1:
            raise ExperimentError(
                f"{variant.name}: {change.file} has {content.count(change.old)} times "
                f"the text that is to be replaced: {change.old!r}"
            )
        path.write_text(content.replace(change.old, change.new))


def play_day(
    variant: Variant, directory: Path, site: Site, day: str, seed: int, why: str
) -> Play:
    """Let the users' bench play a day and return its figures."""
    label = f"{variant.name}-{Path(site.file).stem}-{day}-{seed}"
    report = directory.parent / f"{label}.json"
    command = [
        str(Path(FLAGS.fleetbench).resolve()),
        "run",
        str((Path(FLAGS.sites) / site.file).resolve()),
        day,
        "--no-cpu",
        "--jobs",
        "1",
        "--report",
        str(report),
        "--why",
        f"{why}; trial, variant {variant.name}",
    ]
    if seed != OWN_SEED:
        command += ["--seed", str(seed)]
    played = subprocess.run(command, cwd=directory, capture_output=True, text=True)
    if not report.exists():
        raise ExperimentError(f"{label}: {played.stdout[-500:]}{played.stderr[-500:]}")
    figures = parse_report(report.read_text())
    return Play(variant=variant.name, site=site.file, day=day, seed=seed, **figures)


def keep_journal(directory: Path) -> None:
    """Copy the entries that the bench wrote beside a variant into the repository."""
    source = directory / "journal"
    if source.exists():
        shutil.copytree(source, REPOSITORY / "journal", dirs_exist_ok=True)


def compare(plays: list[Play], baseline: str, variant: str) -> list[tuple[Play, Play]]:
    """Return the pairs of plays of two variants on the same site, day and seed."""
    by_pair = {play.pair: play for play in plays if play.variant == baseline}
    return [
        (by_pair[play.pair], play)
        for play in plays
        if play.variant == variant and play.pair in by_pair
    ]


def bootstrap_interval(differences: list[float]) -> tuple[float, float]:
    """Return the percentile interval of the mean of some differences."""
    generator = np.random.default_rng(BOOTSTRAP_SEED)
    samples = generator.choice(differences, (BOOTSTRAP_SAMPLES, len(differences)))
    tail = (100.0 - INTERVAL_PERCENT) / 2
    low, high = np.percentile(samples.mean(axis=1), (tail, 100.0 - tail))
    return float(low), float(high)


def print_table(experiment: Experiment, plays: list[Play], console: Console) -> None:
    """Print what each variant changes, by site and over all."""
    baseline = experiment.variants[0].name
    table = Table(title=experiment.why)
    columns = (
        "variant",
        "site",
        "pairs",
        "worth",
        "difference",
        f"{INTERVAL_PERCENT:g}%",
    )
    for column in (*columns, "better", "late", "failed", "refused", "rules broken"):
        table.add_column(column)
    for variant in experiment.variants:
        pairs = compare(plays, baseline, variant.name)
        for site in (*(site.file for site in experiment.sites), None):
            chosen = [p for p in pairs if site in (None, p[1].site)]
            if not chosen or (site is None and len(experiment.sites) == 1):
                continue
            table.add_row(variant.name, site or "all", *_describe_pairs(chosen))
    console.print(table)


def _describe_pairs(pairs: list[tuple[Play, Play]]) -> list[str]:
    differences = [new.worth - old.worth for old, new in pairs]
    low, high = bootstrap_interval(differences)
    broken = sorted({rule for _, new in pairs for rule in new.broken_rules})
    return [
        str(len(pairs)),
        f"{np.mean([new.worth for _, new in pairs]):.3f}",
        f"{np.mean(differences):+.4f}",
        f"{low:+.3f} to {high:+.3f}",
        f"{sum(d > 0 for d in differences)} of {len(differences)}",
        *(
            f"{sum(getattr(old, name) for old, _ in pairs)} to "
            f"{sum(getattr(new, name) for _, new in pairs)}"
            for name in ("late", "failed", "refused")
        ),
        " ".join(broken),
    ]


def print_classes(experiment: Experiment, plays: list[Play], console: Console) -> None:
    """Print late, failed and refused requests of each variant by class."""
    table = Table(title="late, failed, refused by class")
    table.add_column("class")
    for variant in experiment.variants:
        table.add_column(variant.name)
    names = sorted({name for play in plays for name in play.classes})
    for name in names:
        row = []
        for variant in experiment.variants:
            counts = [
                play.classes[name]
                for play in plays
                if play.variant == variant.name and name in play.classes
            ]
            row.append(
                ", ".join(str(sum(column)) for column in zip(*counts, strict=True))
            )
        table.add_row(name, *row)
    console.print(table)


def write_plot(experiment: Experiment, plays: list[Play], path: Path) -> None:
    """Write a plot of the mean differences and their intervals."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    baseline = experiment.variants[0].name
    rows = []
    for variant in experiment.variants[1:]:
        pairs = compare(plays, baseline, variant.name)
        if pairs:
            differences = [new.worth - old.worth for old, new in pairs]
            rows.append(
                (variant.name, np.mean(differences), *bootstrap_interval(differences))
            )
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.35 * len(rows)))
    for position, (_, mean, low, high) in enumerate(rows):
        axes.plot((low, high), (position, position), color="tab:blue")
        axes.plot(mean, position, "o", color="tab:blue")
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(rows)), [row[0] for row in rows])
    axes.invert_yaxis()
    axes.set_xlabel(f"difference of the worth to {baseline}")
    figure.tight_layout()
    figure.savefig(path)


def run_experiment(experiment: Experiment, work: Path, kept: Path) -> list[Play]:
    """Play what is missing and return all plays of the experiment."""
    plays = read_plays(kept)
    done = {(play.variant, *play.pair) for play in plays}
    with concurrent.futures.ThreadPoolExecutor(FLAGS.jobs) as pool:
        for variant in experiment.variants:
            missing = [
                (site, day, seed)
                for site in experiment.sites
                for day in site.days
                for seed in experiment.seeds
                if (variant.name, site.file, day, seed) not in done
            ]
            if not missing:
                continue
            directory = work / variant.name
            make_copy(variant, directory)
            futures = [
                pool.submit(play_day, variant, directory, *what, experiment.why)
                for what in missing
            ]
            try:
                for future in concurrent.futures.as_completed(futures):
                    play = future.result()
                    plays.append(play)
                    with kept.open("a") as file:
                        file.write(play.model_dump_json() + "\n")
            finally:
                for future in futures:
                    future.cancel()
                keep_journal(directory)
    names = {variant.name for variant in experiment.variants}
    return [play for play in plays if play.variant in names]


def main(arguments: list[str]) -> int:
    """Run the experiment named on the command line."""
    if len(arguments) != 2:
        print("usage: python -m bench.experiment FILE --fleetbench PROGRAM --sites DIR")
        return EXIT_USAGE
    if not FLAGS.fleetbench or not Path(FLAGS.fleetbench).is_file():
        print("--fleetbench must name the program of the users' bench", file=sys.stderr)
        return EXIT_USAGE
    path = Path(arguments[1])
    work = Path(FLAGS.work).resolve() / path.stem
    try:
        experiment = read_experiment(path)
        work.mkdir(parents=True, exist_ok=True)
        plays = run_experiment(experiment, work, work / "plays.jsonl")
    except ExperimentError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    console = Console(width=160)
    print_table(experiment, plays, console)
    print_classes(experiment, plays, console)
    if FLAGS.plot:
        write_plot(experiment, plays, Path(FLAGS.plot))
    return 0


if __name__ == "__main__":
    flags.DEFINE_string("fleetbench", None, "Program of the users' bench.")
    flags.DEFINE_string("sites", ".", "Directory that holds the files of the sites.")
    flags.DEFINE_string("work", "var/experiments", "Directory for copies and figures.")
    flags.DEFINE_string("plot", None, "File for a plot of the differences.")
    flags.DEFINE_integer("jobs", 3, "Days that are played at once.", lower_bound=1)
    absl_app.run(lambda arguments: sys.exit(main(arguments)))
