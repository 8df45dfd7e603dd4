"""Drains an entry host and writes an audit record."""

import click

from skylarkmoor_clients.hostlist import HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import HostId
from skylarkmoor_operator.auditrecords import append_audit_record
from skylarkmoor_operator.entryhostapi import request_drain, select_entry_hosts
from skylarkmoor_operator.runner import ExitCode, print_error

__all__ = ["drain"]


async def drain(
    log: LogClient | None, hosts: HostListClient, clock: Clock, host: HostId, *, author: str
) -> ExitCode:
    """Ask entry host `host` to drain and print the result.

    Parameters
    ----------
    log : LogClient or None
        Log that receives the audit record; without it, none is written.

    Raises
    ------
    PlatformError
        If the host list or the host does not respond. If the host does not, it may be draining.
    """
    entries = {entry.host: entry for entry in select_entry_hosts(await hosts.fetch())}
    if host not in entries:
        print_error(
            f"{host!r} is not an entry host; the entry hosts are {', '.join(entries) or 'none'}"
        )
        return ExitCode.INVALID
    try:
        answer = await request_drain(entries[host])
    except PlatformError as error:
        raise PlatformError(f"{host!r} may be draining: {error}") from error
    if not 200 <= answer.status < 300:
        print_error(f"{host!r} refused to drain: {answer.summary()}")
        return ExitCode.REFUSED
    click.echo(f"draining: {host}")
    if log is not None:
        await append_audit_record(
            log, clock, who=author, what=f"drain {host}", before="alive", after="draining"
        )
    return ExitCode.SUCCESS
