"""Shows the accepted documents and what is in force on the entry hosts."""

import click
import msgspec

from skylarkmoor_clients.hostlist import HostEntry, HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.document import encode_document
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import ServiceName
from skylarkmoor_operator.entryhosts import HostStatus, entry_hosts, fetch_statuses
from skylarkmoor_operator.history import AcceptedDocument, ConfigHistory
from skylarkmoor_operator.runner import ExitCode, fail
from skylarkmoor_operator.text import printable, time_text

__all__ = ["show"]

Statuses = list[tuple[HostEntry, HostStatus | PlatformError]]


async def show(log: LogClient, hosts: HostListClient, service: ServiceName | None) -> ExitCode:
    """Print the accepted document of one service in full, or of all services in brief.

    Raises
    ------
    PlatformError
        If the log or the host list does not answer. What was read before is printed.
    """
    history = ConfigHistory()
    await history.catch_up(log)
    if service is not None and history.accepted(service) is None:
        fail(f"service {service!r} has no accepted document")
        return ExitCode.REFUSED
    services = [service] if service is not None else history.services()
    documents = [held for name in services if (held := history.accepted(name)) is not None]
    for held in documents:
        _print_document(held, in_full=service is not None)
    statuses = await fetch_statuses(entry_hosts(await hosts.fetch()))
    for held in documents:
        _print_in_force(held, statuses)
    return ExitCode.DONE


def _print_document(held: AcceptedDocument, *, in_full: bool) -> None:
    author = printable(held.author) or "unknown"
    click.echo(
        f"{held.document.service}: accepted at {held.summary()}, "
        f"by {author} at {time_text(held.at_ms)}"
    )
    if in_full:
        click.echo(msgspec.json.format(encode_document(held.document), indent=2).decode())


def _print_in_force(held: AcceptedDocument, statuses: Statuses) -> None:
    service = held.document.service
    current = 0
    lines: list[str] = []
    for host, status in statuses:
        is_current, text = _in_force(held, status)
        current += is_current
        lines.append(f"  {host.host} ({host.failure_domain}): {text}")
    click.echo(f"{service}: in force on {current} of {len(statuses)} entry hosts")
    for line in lines:
        click.echo(printable(line))


def _in_force(held: AcceptedDocument, status: HostStatus | PlatformError) -> tuple[bool, str]:
    if isinstance(status, PlatformError):
        return False, f"unknown, {status}"
    offset = status.documents.get(held.document.service)
    if offset == held.offset:
        return True, "current" if status.state == "alive" else f"current, {status.state}"
    text = "no document" if offset is None else f"offset {offset}"
    return False, f"{text}, {status.state}"
