"""Runs a command on the asyncio reactor and exits the process with its exit code."""

import sys
from collections.abc import Awaitable, Callable, Iterable
from enum import IntEnum
from typing import Any

import click
from twisted.internet import task
from twisted.internet.defer import CancelledError

from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.settings import collect_faults

__all__ = ["ExitCode", "check_settings", "print_error", "sleep_ms", "run_command", "print_warning"]


class ExitCode(IntEnum):
    """Exit status of a command."""

    SUCCESS = 0
    REFUSED = 1
    INVALID = 2
    UNAVAILABLE = 3


def print_error(message: str) -> None:
    """Print an error to standard error."""
    click.echo(f"error: {message}", err=True)


def print_warning(message: str) -> None:
    """Print a warning to standard error."""
    click.echo(f"warning: {message}", err=True)


def check_settings(checks: Iterable[tuple[str, Callable[[], object]]]) -> None:
    """Run all checks; if any fails, print every error and exit the process.

    Parameters
    ----------
    checks : iterable of (str, callable)
        Name of the setting and a function that raises `SettingsError` if it is invalid.

    Raises
    ------
    SystemExit
        With `ExitCode.INVALID` if a check fails.
    """
    try:
        collect_faults(checks)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print_error(str(fault))
        sys.exit(ExitCode.INVALID)


async def sleep_ms(wait_ms: int) -> None:
    """Wait for `wait_ms` without blocking the reactor."""
    from twisted.internet import reactor

    clock: Any = reactor
    await task.deferLater(clock, wait_ms / 1000)


async def exit_code_of(call: Callable[[], Awaitable[ExitCode]]) -> ExitCode:
    """Await `call`; report a platform error or a cancellation and return its exit code."""
    try:
        return await call()
    except PlatformError as error:
        print_error(str(error))
    except CancelledError:
        print_error("interrupted; a change in progress may have taken effect")
    return ExitCode.UNAVAILABLE


def run_command(call: Callable[[], Awaitable[ExitCode]]) -> None:
    """Await `call` on the asyncio reactor, then exit the process.

    Raises
    ------
    SystemExit
        With the exit code of `call`.
    """
    # The default reactor is installed by the first import of `twisted.internet.reactor`.
    from twisted.internet import asyncioreactor

    asyncioreactor.install()  # type: ignore[no-untyped-call]

    async def main(_: Any) -> None:
        raise SystemExit(int(await exit_code_of(call)))

    task.react(main)
