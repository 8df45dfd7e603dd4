"""Command that runs the simulated load and rollout benchmarks and writes their figures."""

from collections.abc import Sequence
from pathlib import Path

import click

from skylarkmoor_core.settings import ENV_PREFIX
from skylarkmoor_measure.movereport import render_moves, run_moves
from skylarkmoor_measure.report import RunFigures, render_table, write_json, write_plot
from skylarkmoor_measure.scenarios import POLICIES, SCENARIOS, run_scenario

__all__ = ["main"]

GROUPS = ("load", "moves")


@click.command(
    context_settings={"auto_envvar_prefix": f"{ENV_PREFIX}_MEASURE"},
    epilog="Example: skylarkmoor-measure --seed 1 --out out",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the workload and the policies.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("out"),
    show_default=True,
    help="Folder for results.json, goodput.png and moves.json.",
)
@click.option(
    "--group",
    "groups",
    multiple=True,
    type=click.Choice(GROUPS),
    help="Run only these groups of scenarios.",
)
@click.option(
    "--move-seeds",
    default=3,
    show_default=True,
    type=click.IntRange(min=1),
    help="Runs of each move, with seeds from --seed on.",
)
@click.option(
    "--jobs",
    default=4,
    show_default=True,
    type=click.IntRange(min=1),
    help="Processes that share the moves.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICIES),
    help="Run only these policies under load.",
)
def main(
    seed: int,
    out: Path,
    groups: tuple[str, ...],
    move_seeds: int,
    jobs: int,
    policies: tuple[str, ...],
) -> None:
    """Measure the decisions under load, faults and moves beside the baselines.

    The same seed gives the same bytes.
    """
    click.echo(f"seed {seed}")
    if "load" in (groups or GROUPS):
        _measure_load(seed, out, policies or POLICIES)
    if "moves" in (groups or GROUPS):
        moves = run_moves(range(seed, seed + move_seeds), jobs)
        click.echo(render_moves(moves))
        write_json(out / "moves.json", moves)


def _measure_load(seed: int, out: Path, policies: Sequence[str]) -> None:
    results: dict[str, list[RunFigures]] = {}
    for scenario in SCENARIOS:
        results[scenario.name] = run_scenario(scenario, seed, policies)
        click.echo(render_table(scenario.name, results[scenario.name]))
    write_json(out / "results.json", results)
    write_plot(out / "goodput.png", results)


if __name__ == "__main__":
    main()
