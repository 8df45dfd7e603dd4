"""Requests to the administration endpoints of entry hosts."""

import msgspec
from twisted.internet.defer import DeferredSemaphore, gatherResults

from skylarkmoor_clients.hostlist import HostEntry, HostKind
from skylarkmoor_clients.httpclient import Answer, PlatformHttp
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import Offset, ServiceName

__all__ = [
    "EntryHostStatus",
    "select_entry_hosts",
    "fetch_status",
    "fetch_statuses",
    "request_drain",
]

_REQUEST_TIMEOUT_MS = 3_000
_MAX_RESPONSE_BYTES = 1_000_000
# Bounds the open connections: the largest planned fleet has 330 entry hosts.
_MAX_CONCURRENT_REQUESTS = 32


class EntryHostStatus(msgspec.Struct, frozen=True):
    """Status that an entry host reports.

    Attributes
    ----------
    state : str
        State of the daemon.
    documents : dict of str to int
        Offset of the document in force, by service.
    """

    state: str
    documents: dict[ServiceName, Offset]


def select_entry_hosts(hosts: tuple[HostEntry, ...]) -> list[HostEntry]:
    """Return the entry hosts among `hosts`, sorted by id."""
    entries = [host for host in hosts if host.kind is HostKind.ENTRY]
    return sorted(entries, key=lambda host: host.host)


async def fetch_status(host: HostEntry) -> EntryHostStatus:
    """Request the status of one entry host.

    Raises
    ------
    PlatformError
        If there is no valid response.
    """
    answer = await _request_host(host, "GET", "/admin/status")
    if answer.status != 200:
        raise PlatformError(f"{host.host!r} refused: {answer.summary()}")
    try:
        return msgspec.json.decode(answer.body, type=EntryHostStatus)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlatformError(f"{host.host!r} sent no valid status: {error}") from error


async def fetch_statuses(
    hosts: list[HostEntry],
) -> list[tuple[HostEntry, EntryHostStatus | PlatformError]]:
    """Request the status of all `hosts`; for a failed request, return the error instead."""
    semaphore = DeferredSemaphore(_MAX_CONCURRENT_REQUESTS)

    async def ask(host: HostEntry) -> tuple[HostEntry, EntryHostStatus | PlatformError]:
        try:
            return host, await fetch_status(host)
        except PlatformError as error:
            return host, error

    calls = [semaphore.run(ask, host) for host in hosts]
    return list(await gatherResults(calls))


async def request_drain(host: HostEntry) -> Answer:
    """Ask one entry host to drain.

    Raises
    ------
    PlatformError
        If there is no response; the host may be draining.
    """
    return await _request_host(host, "POST", "/admin/drain")


async def _request_host(host: HostEntry, method: str, path: str) -> Answer:
    http = PlatformHttp(f"http://{host.address}")
    try:
        return await http.request(
            method, path, timeout_ms=_REQUEST_TIMEOUT_MS, max_bytes=_MAX_RESPONSE_BYTES
        )
    finally:
        await http.close()
