"""In-memory model of the platform's host list, which readers see with a lag."""

from enum import Enum

import msgspec

from skylarkmoor_standins.fault_settings import NonNegativeInt

__all__ = ["HostChange", "HostEntry", "HostKind", "HostListFaults", "HostListModel", "HostState"]


class HostKind(Enum):
    """Role of a host: a gateway entry point or an upstream."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(Enum):
    """Lifecycle state of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host in the list; `service` is set for upstreams, `peer_address` for entry hosts."""

    host: str
    kind: HostKind
    address: str
    failure_domain: str
    service: str | None = None
    state: HostState = HostState.LIVE
    checks_fencing: bool = False
    peer_address: str | None = None


class HostChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes to the list: hosts to add or replace, to remove, and to mark as leaving."""

    add: tuple[HostEntry, ...] = ()
    remove: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class HostListFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that the host list injects; `lag_ms` overrides the configured lag."""

    outage: bool = False
    delay_ms: NonNegativeInt = 0
    lag_ms: NonNegativeInt | None = None


class HostListModel:
    """Host list whose readers see its state of `lag_ms` ago.

    Parameters
    ----------
    lag_ms : int
        Delay after which a change becomes visible.
    """

    def __init__(self, lag_ms: int) -> None:
        self.faults = HostListFaults()
        self._lag_ms = lag_ms
        self._current: dict[str, HostEntry] = {}
        self._history: list[tuple[int, tuple[HostEntry, ...]]] = []

    def change(self, change: HostChange, now_ms: int) -> None:
        """Apply a change to the current list.

        Raises
        ------
        KeyError
            If a host to remove or to mark as leaving is not in the list; no part of the change
            is then applied.
        """
        hosts = self._current | {entry.host: entry for entry in change.add}
        for host in change.leaving:
            hosts[host] = msgspec.structs.replace(hosts[host], state=HostState.LEAVING)
        for host in change.remove:
            del hosts[host]
        self._current = hosts
        self._history.append((now_ms, tuple(hosts.values())))

    def visible_hosts(self, now_ms: int) -> tuple[HostEntry, ...]:
        """Return the hosts as of `lag_ms` before `now_ms`."""
        lag_ms = self._lag_ms if self.faults.lag_ms is None else self.faults.lag_ms
        visible_hosts: tuple[HostEntry, ...] = ()
        for at_ms, entries in self._history:
            if at_ms > now_ms - lag_ms:
                break
            visible_hosts = entries
        return visible_hosts
