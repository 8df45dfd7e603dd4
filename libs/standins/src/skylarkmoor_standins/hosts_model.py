"""Model of the platform's host list, which lags behind the real state."""

from enum import Enum

import msgspec

from skylarkmoor_standins.faults import Count

__all__ = ["HostChange", "HostEntry", "HostKind", "HostListFaults", "HostListModel", "HostState"]


class HostKind(Enum):
    """What runs on a host."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(Enum):
    """Whether a host stays."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry of the list; `service` is set for upstreams, `peer_address` for entry hosts."""

    host: str
    kind: HostKind
    address: str
    failure_domain: str
    service: str | None = None
    state: HostState = HostState.LIVE
    checks_fencing: bool = False
    peer_address: str | None = None


class HostChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entries to add or replace, and names of hosts to remove or to mark as leaving."""

    add: tuple[HostEntry, ...] = ()
    remove: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class HostListFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of the host list; `lag_ms` replaces the lag given at start."""

    outage: bool = False
    delay_ms: Count = 0
    lag_ms: Count | None = None


class HostListModel:
    """A list of hosts that is shown as it was some time ago.

    Parameters
    ----------
    lag_ms : int
        Age of the list that is shown.
    """

    def __init__(self, lag_ms: int) -> None:
        self.faults = HostListFaults()
        self._lag_ms = lag_ms
        self._current: dict[str, HostEntry] = {}
        self._history: list[tuple[int, tuple[HostEntry, ...]]] = []

    def change(self, change: HostChange, now_ms: int) -> None:
        """Change the real list.

        Raises
        ------
        KeyError
            If a host to remove or to mark as leaving is not in the list; nothing is changed.
        """
        hosts = self._current | {entry.host: entry for entry in change.add}
        for host in change.leaving:
            hosts[host] = msgspec.structs.replace(hosts[host], state=HostState.LEAVING)
        for host in change.remove:
            del hosts[host]
        self._current = hosts
        self._history.append((now_ms, tuple(hosts.values())))

    def shown(self, now_ms: int) -> tuple[HostEntry, ...]:
        """Return the list as it was one lag ago."""
        lag_ms = self._lag_ms if self.faults.lag_ms is None else self.faults.lag_ms
        shown: tuple[HostEntry, ...] = ()
        for at_ms, entries in self._history:
            if at_ms > now_ms - lag_ms:
                break
            shown = entries
        return shown
