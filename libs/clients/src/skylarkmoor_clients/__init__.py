"""HTTP clients of the platform's log, host list and weight store."""

from skylarkmoor_clients.hostlist import HostEntry, HostKind, HostListClient, ListedState
from skylarkmoor_clients.httpclient import parse_base_url
from skylarkmoor_clients.logservice import LogClient, LogEntry, LogPage
from skylarkmoor_clients.weightstore import WeightStoreClient

__all__ = [
    "HostEntry",
    "HostKind",
    "HostListClient",
    "ListedState",
    "LogClient",
    "LogEntry",
    "LogPage",
    "WeightStoreClient",
    "parse_base_url",
]
