"""The command ``skylarkmoorctl``: service documents, moves and draining of entry hosts."""

import getpass
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO

import click

from skylarkmoor_clients.hostlist import HostListClient
from skylarkmoor_clients.httpclient import parse_base_url
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import SystemClock
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.errors import DocumentError, SettingsError
from skylarkmoor_core.ids import HostId, Offset, ServiceName
from skylarkmoor_operator.check import MAX_CONFIGURATION_BYTES, check_against_log, run_check
from skylarkmoor_operator.drain import drain
from skylarkmoor_operator.moves import print_moves
from skylarkmoor_operator.publish import ExpectedOffset, move_deadline_faults, publish
from skylarkmoor_operator.runner import ExitCode, check_settings, print_error, run_command
from skylarkmoor_operator.status import print_status
from skylarkmoor_operator.validate import MAX_DOCUMENT_BYTES, decode_document_with_all_faults

__all__ = ["main"]

SettingCheck = tuple[str, Callable[[], object]]


@dataclass(frozen=True, slots=True)
class _ServiceUrls:
    log: str
    hosts: str

    def log_check(self) -> SettingCheck:
        return "--log-url", lambda: parse_base_url(self.log)

    def hosts_check(self) -> SettingCheck:
        return "--hosts-url", lambda: parse_base_url(self.hosts)


class _BaseParamType(click.ParamType[Any]):
    """Parameter type: a log offset, or ``none`` for a service without a document."""

    name = "offset"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> ExpectedOffset:
        if isinstance(value, ExpectedOffset):
            return value
        if value == "none":
            return ExpectedOffset(None)
        if not str(value).isdecimal():
            self.fail(f"{value!r} is neither an offset nor 'none'", param, ctx)
        return ExpectedOffset(Offset(int(value)))


@click.group(
    epilog="""\b
Exit status:
  0  done
  1  refused, or another publication won
  2  an option, argument or document is invalid
  3  the platform did not answer, or the outcome is unknown

\b
Examples:
  skylarkmoorctl validate assistant.json
  skylarkmoorctl --log-url http://127.0.0.1:7000 publish assistant.json --author mair
  skylarkmoorctl show assistant
"""
)
@click.option(
    "--log-url",
    envvar="SKYLARKMOOR_LOG_URL",
    show_envvar=True,
    default="",
    metavar="URL",
    help="Base URL of the log service, such as http://127.0.0.1:7000.",
)
@click.option(
    "--hosts-url",
    envvar="SKYLARKMOOR_HOSTS_URL",
    show_envvar=True,
    default="",
    metavar="URL",
    help="Base URL of the host list, such as http://127.0.0.1:7000.",
)
@click.pass_context
def main(ctx: click.Context, log_url: str, hosts_url: str) -> None:
    """Operate skylarkmoor: publish service documents, follow moves, drain entry hosts."""
    ctx.obj = _ServiceUrls(log_url, hosts_url)


@main.command(
    "validate",
    epilog="""\b
Examples:
  skylarkmoorctl validate assistant.json
  skylarkmoorctl validate - < assistant.json
""",
)
@click.argument("file", type=click.File("rb"))
def validate_command(file: BinaryIO) -> None:
    """Check the service document in FILE and print every fault with its path."""
    document = _load_document_or_exit(file)
    click.echo(f"valid: service {document.service}, version {document.version}")


@main.command(
    "check",
    epilog="""\b
Exit status:
  0  no findings
  1  findings
  2  a file cannot be read or is invalid

\b
Examples:
  skylarkmoorctl check config.json
  skylarkmoorctl check - --against in-force.json --json < config.json
""",
)
@click.argument("file", type=click.File("rb"))
@click.option(
    "--against",
    type=click.File("rb"),
    metavar="FILE",
    help="The version in force; print what differs from it.",
)
@click.option(
    "--against-log",
    is_flag=True,
    help="Print what differs from the accepted document of the service in the log.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--memory-mb",
    type=click.IntRange(1, 1_000_000_000),
    metavar="MB",
    help="Memory of the smallest host.",
)
@click.pass_obj
def check_command(
    urls: _ServiceUrls,
    file: BinaryIO,
    against: BinaryIO | None,
    against_log: bool,
    as_json: bool,
    memory_mb: int | None,
) -> None:
    """Check the configuration or service document in FILE before it is sent."""
    if against_log:
        if against is not None:
            raise click.UsageError("--against and --against-log exclude each other")
        check_settings([urls.log_check()])
    data = file.read(MAX_CONFIGURATION_BYTES + 1)
    if against_log:
        run_command(lambda: check_against_log(LogClient(urls.log), data, as_json=as_json))
    in_force = None if against is None else against.read(MAX_CONFIGURATION_BYTES + 1)
    sys.exit(run_check(data, in_force, as_json=as_json, memory_mb=memory_mb))


@main.command(
    "publish",
    epilog="""\b
Examples:
  skylarkmoorctl publish assistant.json --author mair --reason "more depots"
  skylarkmoorctl publish assistant.json --author mair --based-on 41
""",
)
@click.argument("file", type=click.File("rb"))
@click.option("--author", required=True, metavar="NAME", help="Who publishes the document.")
@click.option(
    "--based-on",
    type=_BaseParamType(),
    metavar="OFFSET",
    help="Offset of the document that this one replaces, or 'none'. "
    "Without it, the accepted offset is read from the log.",
)
@click.option("--reason", default="", metavar="TEXT", help="Why, for the audit trail.")
@click.pass_obj
def publish_command(
    urls: _ServiceUrls, file: BinaryIO, author: str, based_on: ExpectedOffset | None, reason: str
) -> None:
    """Publish the service document in FILE and tell whether it was accepted."""
    check_settings([urls.log_check(), ("--author", lambda: _check_author(author))])
    document = _load_document_or_exit(file)
    clock = SystemClock()
    _exit_on_faults(
        [DocumentError(text) for text in move_deadline_faults(document, clock.wall_ms())]
    )
    run_command(
        lambda: publish(
            LogClient(urls.log), clock, document, author=author, reason=reason, based_on=based_on
        )
    )


@main.command(
    "show",
    epilog="""\b
Examples:
  skylarkmoorctl show
  skylarkmoorctl show assistant
""",
)
@click.argument("service", required=False)
@click.pass_obj
def show_command(urls: _ServiceUrls, service: str | None) -> None:
    """Show accepted documents and what is in force on each entry host.

    With SERVICE, the whole document is printed.
    """
    check_settings([urls.log_check(), urls.hosts_check()])
    service_name = ServiceName(service) if service is not None else None
    run_command(lambda: print_status(LogClient(urls.log), HostListClient(urls.hosts), service_name))


@main.command(
    "moves",
    epilog="""\b
Examples:
  skylarkmoorctl moves
  skylarkmoorctl moves assistant
""",
)
@click.argument("service", required=False)
@click.pass_obj
def moves_command(urls: _ServiceUrls, service: str | None) -> None:
    """Show each move: its share, its steps, and whether and why it is done or undone."""
    check_settings([urls.log_check()])
    service_name = ServiceName(service) if service is not None else None
    run_command(lambda: print_moves(LogClient(urls.log), service_name))


@main.command(
    "drain",
    epilog="""\b
Examples:
  skylarkmoorctl --hosts-url http://127.0.0.1:7001 drain nadi-1
  skylarkmoorctl drain nadi-1 --author mair
""",
)
@click.argument("host")
@click.option(
    "--author",
    default=getpass.getuser,
    show_default="login name",
    metavar="NAME",
    help="Who drains the host.",
)
@click.pass_obj
def drain_command(urls: _ServiceUrls, host: str, author: str) -> None:
    """Drain entry host HOST: it refuses new requests and finishes those in progress.

    The audit record is written only if a log URL is given.
    """
    checks = [urls.hosts_check(), ("--author", lambda: _check_author(author))]
    check_settings([*checks, urls.log_check()] if urls.log else checks)
    log = LogClient(urls.log) if urls.log else None
    run_command(
        lambda: drain(log, HostListClient(urls.hosts), SystemClock(), HostId(host), author=author)
    )


def _load_document_or_exit(file: BinaryIO) -> ServiceDocument:
    try:
        return decode_document_with_all_faults(file.read(MAX_DOCUMENT_BYTES + 1))
    except ExceptionGroup as group:
        _exit_on_faults(list(group.exceptions))
        raise


def _exit_on_faults(faults: list[Any]) -> None:
    for fault in faults:
        print_error(str(fault))
    if faults:
        sys.exit(ExitCode.INVALID)


def _check_author(author: str) -> None:
    if not author.strip() or not author.isprintable():
        raise SettingsError(f"{author!r} is empty or contains non-printable characters")
