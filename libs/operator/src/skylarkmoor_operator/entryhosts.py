"""Calls to the operator interface of entry hosts."""

import msgspec
from twisted.internet.defer import DeferredSemaphore, gatherResults

from skylarkmoor_clients.hostlist import HostEntry, HostKind
from skylarkmoor_clients.httpclient import Answer, PlatformHttp
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import Offset, ServiceName

__all__ = ["HostStatus", "entry_hosts", "fetch_status", "fetch_statuses", "request_drain"]

_TIMEOUT_MS = 3_000
_MAX_STATUS_BYTES = 1_000_000
# The design size has 330 entry hosts; asking them in groups bounds the open connections.
_PARALLEL_CALLS = 32


class HostStatus(msgspec.Struct, frozen=True):
    """What an entry host says of itself.

    Attributes
    ----------
    state : str
        State of the daemon.
    documents : dict of str to int
        Offset of the document in force, by service.
    """

    state: str
    documents: dict[ServiceName, Offset]


def entry_hosts(hosts: tuple[HostEntry, ...]) -> list[HostEntry]:
    """Return the entry hosts by id."""
    entries = [host for host in hosts if host.kind is HostKind.ENTRY]
    return sorted(entries, key=lambda host: host.host)


async def fetch_status(host: HostEntry) -> HostStatus:
    """Ask one entry host for its status.

    Raises
    ------
    PlatformError
        If there is no valid answer.
    """
    answer = await _call(host, "GET", "/admin/status")
    if answer.status != 200:
        raise PlatformError(f"{host.host!r} refused: {answer.summary()}")
    try:
        return msgspec.json.decode(answer.body, type=HostStatus)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PlatformError(f"{host.host!r} sent no valid status: {error}") from error


async def fetch_statuses(
    hosts: list[HostEntry],
) -> list[tuple[HostEntry, HostStatus | PlatformError]]:
    """Ask all `hosts`; the error stands in place of the status of one that fails."""
    slots = DeferredSemaphore(_PARALLEL_CALLS)

    async def ask(host: HostEntry) -> tuple[HostEntry, HostStatus | PlatformError]:
        try:
            return host, await fetch_status(host)
        except PlatformError as error:
            return host, error

    calls = [slots.run(ask, host) for host in hosts]
    return list(await gatherResults(calls))


async def request_drain(host: HostEntry) -> Answer:
    """Tell one entry host to drain.

    Raises
    ------
    PlatformError
        If there is no answer; the host may be draining.
    """
    return await _call(host, "POST", "/admin/drain")


async def _call(host: HostEntry, method: str, path: str) -> Answer:
    http = PlatformHttp(f"http://{host.address}")
    try:
        return await http.request(method, path, timeout_ms=_TIMEOUT_MS, max_bytes=_MAX_STATUS_BYTES)
    finally:
        await http.close()
