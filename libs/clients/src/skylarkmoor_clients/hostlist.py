"""Client of the platform's list of hosts."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from skylarkmoor_clients.httpclient import PlatformHttp
from skylarkmoor_core.errors import PlatformError, SettingsError
from skylarkmoor_core.ids import FailureDomain, ServiceName
from skylarkmoor_core.settings import parse_address

__all__ = ["HostEntry", "HostKind", "HostListClient", "ListedState"]

_REQUEST_TIMEOUT_MS = 5_000
# The largest planned fleet has 930 hosts, each listed in about 250 bytes.
_MAX_HOST_LIST_BYTES = 2_000_000


class HostKind(Enum):
    """Role of a host: entry hosts accept customer requests, upstreams run a service."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class ListedState(Enum):
    """State of a host in the platform's list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """An entry of the host list.

    Attributes
    ----------
    host : str
        Id of the entry host or the upstream.
    address : str
        ``ip:port`` of the host's HTTP interface.
    service : str or None
        The service that an upstream runs; None for an entry host.
    checks_fencing : bool
        Whether an upstream rejects control requests with an outdated fencing token.
    peer_address : str or None
        ``ip:port`` for peer messages; None for an upstream.
    """

    host: str
    kind: HostKind
    address: str
    failure_domain: FailureDomain
    state: ListedState
    service: ServiceName | None = None
    checks_fencing: bool = False
    peer_address: str | None = None


class _HostList(msgspec.Struct, frozen=True):
    hosts: tuple[HostEntry, ...]


class HostListClient:
    """Fetches the list of live and leaving hosts.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.
    timeout_ms : int
        Maximum time for each request.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.
    """

    def __init__(self, base_url: str, *, timeout_ms: int = _REQUEST_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(base_url)
        self._timeout_ms = timeout_ms

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the current host list.

        Raises
        ------
        PlatformError
            If there is no valid response. A list with an invalid entry is rejected as a whole,
            because a missing entry would look like a host that left; callers keep the last list.
        """
        answer = await self._http.request(
            "GET", "/hosts", timeout_ms=self._timeout_ms, max_bytes=_MAX_HOST_LIST_BYTES
        )
        if answer.status != 200:
            raise PlatformError(f"host list request failed with status {answer.summary()}")
        try:
            hosts = msgspec.json.decode(answer.body, type=_HostList).hosts
        except (msgspec.DecodeError, RecursionError) as error:
            raise PlatformError(f"host list cannot be decoded: {error}") from error
        faults = list(_host_list_faults(hosts))
        if faults:
            raise PlatformError(f"host list is invalid: {'; '.join(faults)}")
        return hosts

    async def close(self) -> None:
        """Close idle connections."""
        await self._http.close()


def _host_list_faults(hosts: tuple[HostEntry, ...]) -> Iterator[str]:
    seen: set[str] = set()
    for entry in hosts:
        if not entry.host:
            yield f"a host at {entry.address!r} has no id"
        if entry.host in seen:
            yield f"{entry.host!r} is listed twice"
        seen.add(entry.host)
        yield from _address_faults(entry.host, "address", entry.address)
        if entry.kind is HostKind.UPSTREAM:
            if entry.service is None:
                yield f"upstream {entry.host!r} has no service"
        elif entry.peer_address is None:
            yield f"entry host {entry.host!r} has no peer_address"
        else:
            yield from _address_faults(entry.host, "peer_address", entry.peer_address)


def _address_faults(host: str, field: str, text: str) -> Iterator[str]:
    try:
        parse_address(text)
    except SettingsError as error:
        yield f"{field} of {host!r}: {error}"
