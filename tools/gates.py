"""Lists the days in the bench's journal that are short of their gate.

The bench does not call a day broken that serves too little, and a hunt passes it over. The journal
says so in another field.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click


@dataclass(frozen=True)
class PlayedDay:
    """A day of the journal, with the parts of the credit that it has earned.

    Attributes
    ----------
    served : float
        Credit earned of the credit owed, over the whole day, from 0 to 1.
    by_route, by_domain : tuple of float
        The same for each kind of request and for each failure domain of the callers.
    short : tuple of str
        What the day misses of its gate; empty if it passes.
    """

    entry: str
    commit: str
    site: str
    name: str
    seed: int | None
    served: float
    by_route: tuple[float, ...]
    by_domain: tuple[float, ...]
    short: tuple[str, ...]


def played_days(journal: Path) -> Iterator[PlayedDay]:
    """Yield the days of all entries in a journal folder, the oldest first.

    Raises
    ------
    click.ClickException
        If an entry is not valid JSON.
    """
    for path in sorted(journal.glob("*.json")):
        try:
            entry: dict[str, Any] = json.loads(path.read_text())
        except ValueError as error:
            raise click.ClickException(f"{path}: {error}") from error
        for day in entry.get("days", ()):
            yield PlayedDay(
                entry["id"],
                entry["head"][:7],
                entry["site"],
                day["name"].split(" --seed ")[0],
                day["seed"],
                day["served"],
                tuple(part for part in day["by_class"] if part is not None),
                tuple(part for part in day["by_zone"] if part is not None),
                tuple(day["short"]),
            )


@click.command(
    epilog="Example: python tools/gates.py journal --site gwres-refill --day scale-1 --short-only"
)
@click.argument("journal", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--site", help="Only days of this site.")
@click.option("--day", help="Only days of this name.")
@click.option("--short-only", is_flag=True, help="Only days that are short of their gate.")
def main(journal: Path, site: str | None, day: str | None, short_only: bool) -> None:
    """List the days in JOURNAL with the credit earned by route and by failure domain."""
    days = [
        each
        for each in played_days(journal)
        if site in (None, each.site) and day in (None, each.name)
    ]
    short = [each for each in days if each.short]
    for each in short if short_only else days:
        routes = " ".join(f"{part:.2f}" for part in each.by_route)
        domains = " ".join(f"{part:.2f}" for part in each.by_domain)
        click.echo(
            f"{each.entry} {each.commit} {each.site} {each.name} seed {each.seed}: "
            f"{each.served:.3f}; routes {routes}; domains {domains}"
        )
        for line in each.short:
            click.echo(f"    {line.splitlines()[0]}")
    click.echo(f"{len(days)} days, {len(short)} short of the gate")


if __name__ == "__main__":
    main()
