"""Prints the accepted documents and the documents in force on the entry hosts."""

import click
import msgspec

from skylarkmoor_clients.hostlist import HostEntry, HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.document import encode_document
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import ServiceName
from skylarkmoor_operator.entryhostapi import EntryHostStatus, fetch_statuses, select_entry_hosts
from skylarkmoor_operator.formatting import escape_unprintable, format_utc_time
from skylarkmoor_operator.history import AcceptedDocument, ConfigHistory
from skylarkmoor_operator.runner import ExitCode, print_error

__all__ = ["print_status"]

HostStatuses = list[tuple[HostEntry, EntryHostStatus | PlatformError]]


async def print_status(
    log: LogClient, hosts: HostListClient, service: ServiceName | None
) -> ExitCode:
    """Print the accepted documents and on how many entry hosts each is in force.

    With `service`, print the whole document of that service.

    Raises
    ------
    PlatformError
        If the log or the host list does not respond. If only the host list does not, the
        accepted documents are still printed.
    """
    history = ConfigHistory()
    await history.catch_up(log)
    if service is not None and history.accepted_document(service) is None:
        print_error(f"service {service!r} has no accepted document")
        return ExitCode.REFUSED
    services = [service] if service is not None else history.services()
    documents = [
        accepted_document
        for name in services
        if (accepted_document := history.accepted_document(name)) is not None
    ]
    for accepted_document in documents:
        _print_document(accepted_document, with_content=service is not None)
    statuses = await fetch_statuses(select_entry_hosts(await hosts.fetch()))
    for accepted_document in documents:
        _print_host_statuses(accepted_document, statuses)
    return ExitCode.SUCCESS


def _print_document(accepted_document: AcceptedDocument, *, with_content: bool) -> None:
    author = escape_unprintable(accepted_document.author) or "unknown"
    click.echo(
        f"{accepted_document.document.service}: accepted at {accepted_document.summary()}, "
        f"by {author} at {format_utc_time(accepted_document.at_ms)}"
    )
    if with_content:
        click.echo(
            msgspec.json.format(encode_document(accepted_document.document), indent=2).decode()
        )


def _print_host_statuses(accepted_document: AcceptedDocument, statuses: HostStatuses) -> None:
    service = accepted_document.document.service
    current = 0
    lines: list[str] = []
    for host, status in statuses:
        is_current, text = _describe_host_status(accepted_document, status)
        current += is_current
        lines.append(f"  {host.host} ({host.failure_domain}): {text}")
    click.echo(f"{service}: in force on {current} of {len(statuses)} entry hosts")
    for line in lines:
        click.echo(escape_unprintable(line))


def _describe_host_status(
    accepted_document: AcceptedDocument, status: EntryHostStatus | PlatformError
) -> tuple[bool, str]:
    if isinstance(status, PlatformError):
        return False, f"unknown, {status}"
    offset = status.documents.get(accepted_document.document.service)
    if offset == accepted_document.offset:
        return True, "current" if status.state == "alive" else f"current, {status.state}"
    text = "no document" if offset is None else f"offset {offset}"
    return False, f"{text}, {status.state}"
