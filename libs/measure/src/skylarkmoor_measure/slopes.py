"""Command that measures how the costs of each role scale, and fits lines to them."""

import platform
from collections.abc import Iterable, Sequence
from os import cpu_count
from pathlib import Path

import click
import msgspec

from skylarkmoor_core.settings import ENV_PREFIX
from skylarkmoor_measure.message_sizes import MessageSize, message_sizes
from skylarkmoor_measure.slope_cases import Case, Slope, measure_case
from skylarkmoor_measure.slopes_records import RECORD_CASES
from skylarkmoor_measure.slopes_recovery import RECOVERY_CASES
from skylarkmoor_measure.slopes_scheduling import SCHEDULING_CASES
from skylarkmoor_measure.slopes_sharing import SHARING_CASES

__all__ = ["CASES", "main", "render_sizes", "render_slopes"]

CASES: tuple[Case, ...] = (
    *SCHEDULING_CASES,
    *SHARING_CASES,
    *RECOVERY_CASES,
    *RECORD_CASES,
)


class _Results(msgspec.Struct, frozen=True):
    seed: int
    machine: str
    slopes: list[Slope]
    messages: list[MessageSize]


@click.command(
    context_settings={"auto_envvar_prefix": f"{ENV_PREFIX}_SLOPES"},
    epilog="Example: skylarkmoor-slopes --seed 1 --out out",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the synthetic load.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("out"),
    show_default=True,
    help="Folder for slopes.json.",
)
@click.option("--only", default="", help="Measure only the costs whose line has this text.")
def main(seed: int, out: Path, only: str) -> None:
    """Measure how processor time, memory and message bytes of each role grow.

    Each cost is measured at three or more sizes of the quantity that drives it. Counts, bytes
    and messages are the same for the same seed. Processor times depend on the machine.
    """
    machine = f"{cpu_count()} cores, {platform.python_implementation()} {platform.python_version()}"
    click.echo(f"seed {seed}, {machine}")
    slopes = []
    click.echo(_HEADER)
    for case in CASES:
        if only in f"{case.role}: {case.cost} over {case.driver}":
            slopes.append(measure_case(case, seed))
            click.echo(render_slopes(slopes[-1:]))
    sizes = message_sizes()
    click.echo(render_sizes(sizes))
    out.mkdir(parents=True, exist_ok=True)
    results = _Results(seed, machine, slopes, sizes)
    data = msgspec.json.format(msgspec.json.encode(results))
    (out / "slopes.json").write_bytes(data + b"\n")


_HEADER = f"{'intercept':>12} {'slope':>12} {'resid. %':>8}  cost, unit and driver: values at sizes"


def render_slopes(slopes: Iterable[Slope]) -> str:
    """Render one line of text per slope."""
    return "\n".join(map(_render_line, slopes))


def _render_line(slope: Slope) -> str:
    pairs = zip(slope.values, slope.sizes, strict=True)
    values = ", ".join(f"{value:,.6g} at {size:,}" for value, size in pairs)
    return (
        f"{slope.intercept:12,.5g} {slope.slope:12,.5g} {slope.residual_percent:8.1f}  "
        f"{slope.role}: {slope.cost} [{slope.unit}] over {slope.driver}: {values}"
    )


def render_sizes(sizes: Sequence[MessageSize]) -> str:
    """Render one line of text per message type."""
    head = "encoded bytes, and with the ZMTP frame; a TCP segment adds 52"
    lines = [f"{each.encoded_bytes:6} {each.framed_bytes:6}  {each.kind}" for each in sizes]
    return "\n".join([head, *lines])


if __name__ == "__main__":
    main()
