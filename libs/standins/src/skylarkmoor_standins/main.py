"""Command-line entry point `skylarkmoor-standin`, with one subcommand per service."""

import json
import random
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_core.errors import SettingsError, SkylarkmoorError
from skylarkmoor_core.settings import Address, parse_address

__all__ = ["cli", "main"]

_ENV_PREFIX = "SKYLARKMOOR_STANDIN"


class _AddressType(click.ParamType[Address]):
    """Parses an option of the form ``ip:port`` into an `Address`."""

    name = "ip:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except SettingsError as error:
            self.fail(str(error), param, ctx)


class _JsonObjectType(click.ParamType[dict[str, Any]]):
    """Parses an option that holds a JSON object into a dict."""

    name = "json"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> dict[str, Any]:
        if isinstance(value, dict):
            return value
        try:
            decoded = json.loads(value)
        except ValueError as error:
            self.fail(f"{value!r} is not JSON: {error}", param, ctx)
        if not isinstance(decoded, dict):
            self.fail(f"{value!r} is not a JSON object", param, ctx)
        return decoded


_address_option = click.option(
    "--address",
    type=_AddressType(),
    default="127.0.0.1:0",
    show_default=True,
    show_envvar=True,
    help="Where to listen; port 0 lets the operating system choose.",
)
_faults_option = click.option(
    "--faults",
    type=_JsonObjectType(),
    default="{}",
    show_envvar=True,
    help="Fault switches at start, as in POST /faults.",
)


_Command = TypeVar("_Command", bound=Callable[..., Any])


def _number_option(
    name: str, default: float, help_text: str, kind: type = int, minimum: int = 0
) -> Callable[[_Command], _Command]:
    return click.option(
        name,
        type=click.FloatRange(min=minimum) if kind is float else click.IntRange(min=minimum),
        default=default,
        show_default=True,
        show_envvar=True,
        help=help_text,
    )


_seed_option = _number_option("--seed", 1, "Seed of the random choices.")
_version_option = click.option(
    "--version",
    multiple=True,
    default=("v1",),
    show_default=True,
    show_envvar=True,
    help="Version that is ready at start; may be given several times.",
)


@click.group(context_settings={"auto_envvar_prefix": _ENV_PREFIX})
def cli() -> None:
    """Run one stand-in of the platform or of an upstream, for tests and demonstrations.

    Prints {"ready": "ip:port"} when it listens and stops on SIGTERM.

    Example: skylarkmoor-standin log --address 127.0.0.1:7001
    """


@cli.command()
@_address_option
@_faults_option
@_number_option("--appends-per-s", 300, "Appends allowed a second over all streams.", minimum=1)
@_number_option("--retention-ms", 3_600_000, "Age at which a record is dropped.")
def log(address: Address, faults: dict[str, Any], appends_per_s: int, retention_ms: int) -> None:
    """Run the append-only log.

    Example: skylarkmoor-standin log --address 127.0.0.1:7001 --retention-ms 60000
    """
    from skylarkmoor_standins.fault_settings import merge_faults
    from skylarkmoor_standins.log import LogService
    from skylarkmoor_standins.log_model import LogModel
    from skylarkmoor_standins.server import serve

    clock = SystemClock()
    model = LogModel(appends_per_s, retention_ms, clock.wall_ms())
    model.faults = merge_faults(model.faults, faults)
    serve(LogService(model, clock).app, address)


@cli.command()
@_address_option
@_faults_option
@_seed_option
@_version_option
@_number_option("--service-ms", 50, "Time that each call takes.")
@_number_option("--capacity", 8, "Calls that run at a time; the others wait.")
def plain(
    address: Address,
    faults: dict[str, Any],
    seed: int,
    version: tuple[str, ...],
    service_ms: int,
    capacity: int,
) -> None:
    """Run a plain service.

    Example: skylarkmoor-standin plain --address 127.0.0.1:7002 --service-ms 20
    """
    from skylarkmoor_standins.fault_settings import merge_faults
    from skylarkmoor_standins.plain import PlainService
    from skylarkmoor_standins.plain_model import PlainModel
    from skylarkmoor_standins.server import serve

    model = PlainModel(service_ms, capacity, random.Random(seed))
    model.faults = merge_faults(model.faults, faults)
    serve(PlainService(model, SystemClock(), version).app, address)


@cli.command()
@_address_option
@_faults_option
@_number_option("--lag-ms", 500, "Age of the list that is shown.")
def hosts(address: Address, faults: dict[str, Any], lag_ms: int) -> None:
    """Run the host list.

    Example: skylarkmoor-standin hosts --address 127.0.0.1:7003 --lag-ms 2000
    """
    from skylarkmoor_standins.fault_settings import merge_faults
    from skylarkmoor_standins.hosts import HostListService
    from skylarkmoor_standins.hosts_model import HostListModel
    from skylarkmoor_standins.server import serve

    model = HostListModel(lag_ms)
    model.faults = merge_faults(model.faults, faults)
    serve(HostListService(model, SystemClock()).app, address)


@cli.command()
@_address_option
@_faults_option
@_seed_option
@_version_option
@click.option("--role", default="mixed", show_default=True, show_envvar=True, help="Role.")
@_number_option(
    "--prefill-tokens-per-s", 8000, "Prompt tokens computed a second.", float, minimum=1
)
@_number_option("--decode-ms", 15, "Fixed part of a decode step.", float)
@_number_option(
    "--decode-ms-per-running", 1, "Part of a decode step for each attempt in it.", float
)
@_number_option("--prefill-chunk-tokens", 128, "Prompt tokens that one step computes.", minimum=1)
@_number_option("--max-batch", 8, "Attempts that run at a time; the others wait.", minimum=1)
@_number_option("--kv-capacity-tokens", 32768, "Tokens of the attempts that run at a time.")
@_number_option("--cache-tokens", 16384, "Tokens in the prefix cache.")
@_number_option("--report-lag-ms", 500, "Age of the counts in a report.")
@_number_option("--event-delay-ms", 300, "Age at which a cache event is published.")
@_number_option("--event-gap-rate", 0.02, "Share of the cache events that are lost.", float)
@_number_option(
    "--resume-grace-ms", 1000, "Time for which an attempt goes on without a connection."
)
@_number_option("--keep-ms", 10000, "Time for which the text of an ended attempt is kept.")
@_number_option("--load-ms", 1000, "Time to load a version without a weight store.")
@click.option("--weights-url", show_envvar=True, help="Weight store from which versions load.")
@click.option(
    "--checks-fencing/--no-checks-fencing",
    default=True,
    show_default=True,
    show_envvar=True,
    help="Whether orders with an old fencing token are refused.",
)
def engine(
    address: Address,
    faults: dict[str, Any],
    seed: int,
    version: tuple[str, ...],
    role: str,
    weights_url: str | None,
    **settings: Any,
) -> None:
    """Run a model engine.

    Example: skylarkmoor-standin engine --address 127.0.0.1:7004 --decode-ms 30 --max-batch 4
    """
    from skylarkmoor_standins.engine import EngineService
    from skylarkmoor_standins.engine_model import EngineModel
    from skylarkmoor_standins.engine_types import EngineSettings
    from skylarkmoor_standins.fault_settings import merge_faults
    from skylarkmoor_standins.server import serve

    clock = SystemClock()
    rng = random.Random(seed)
    model = EngineModel(EngineSettings(**settings), version, role, rng, clock.wall_ms())
    model.faults = merge_faults(model.faults, faults)
    serve(EngineService(model, clock, rng, settings["load_ms"], weights_url).app, address)


@cli.command()
@_address_option
@_faults_option
@_number_option("--bytes-per-s", 10_000_000, "Rate over all downloads.", minimum=1)
@_number_option("--size-bytes", 20_000_000, "Size of each version.")
def weights(address: Address, faults: dict[str, Any], bytes_per_s: int, size_bytes: int) -> None:
    """Run the weight store.

    Example: skylarkmoor-standin weights --address 127.0.0.1:7005 --size-bytes 1000000
    """
    from skylarkmoor_standins.fault_settings import merge_faults
    from skylarkmoor_standins.server import serve
    from skylarkmoor_standins.weights import WeightService
    from skylarkmoor_standins.weights_model import WeightModel

    clock = SystemClock()
    model = WeightModel(bytes_per_s, size_bytes, clock.now_ms())
    model.faults = merge_faults(model.faults, faults)
    serve(WeightService(model, clock).app, address)


def main() -> None:
    """Install the asyncio reactor and run the command line; errors end it with exit code 2."""
    # Importing klein installs the default reactor, so the asyncio reactor is installed before.
    from twisted.internet import asyncioreactor
    from twisted.internet.error import CannotListenError

    install: Any = asyncioreactor.install
    install()
    try:
        cli()
    except (SkylarkmoorError, CannotListenError, ValueError) as error:
        print(f"skylarkmoor-standin: {error}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
