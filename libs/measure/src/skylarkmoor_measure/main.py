"""The measuring command."""

from pathlib import Path

import click

from skylarkmoor_core.settings import ENV_PREFIX
from skylarkmoor_measure.report import RunFigures, render_table, write_json, write_plot
from skylarkmoor_measure.scenarios import POLICIES, SCENARIOS, run_scenario

__all__ = ["main"]


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
    help="Folder for results.json and goodput.png.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICIES),
    help="Run only these policies.",
)
def main(seed: int, out: Path, policies: tuple[str, ...]) -> None:
    """Measure the scheduling decisions under load and faults beside the baselines.

    The same seed gives the same bytes.
    """
    results: dict[str, list[RunFigures]] = {}
    click.echo(f"seed {seed}")
    for scenario in SCENARIOS:
        results[scenario.name] = run_scenario(scenario, seed, policies or POLICIES)
        click.echo(render_table(scenario.name, results[scenario.name]))
    write_json(out / "results.json", results)
    write_plot(out / "goodput.png", results)


if __name__ == "__main__":
    main()
