"""Drains an entry host."""

import click

from skylarkmoor_clients.hostlist import HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import HostId
from skylarkmoor_operator.entryhosts import entry_hosts, request_drain
from skylarkmoor_operator.runner import ExitCode, fail
from skylarkmoor_operator.trail import write_audit

__all__ = ["drain"]


async def drain(
    log: LogClient | None, hosts: HostListClient, clock: Clock, host: HostId, *, author: str
) -> ExitCode:
    """Tell entry host `host` to drain.

    Parameters
    ----------
    log : LogClient or None
        Where the audit record goes; without a log, none is written.

    Raises
    ------
    PlatformError
        If the host list does not answer, or the host gives no answer; it may be draining then.
    """
    entries = {entry.host: entry for entry in entry_hosts(await hosts.fetch())}
    if host not in entries:
        fail(f"{host!r} is not an entry host; the entry hosts are {', '.join(entries) or 'none'}")
        return ExitCode.INVALID
    try:
        answer = await request_drain(entries[host])
    except PlatformError as error:
        raise PlatformError(f"{host!r} may be draining: {error}") from error
    if not 200 <= answer.status < 300:
        fail(f"{host!r} refused to drain: {answer.summary()}")
        return ExitCode.REFUSED
    click.echo(f"draining: {host}")
    if log is not None:
        await write_audit(
            log, clock, who=author, what=f"drain {host}", before="alive", after="draining"
        )
    return ExitCode.DONE
