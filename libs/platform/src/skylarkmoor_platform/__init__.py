"""Clients of the platform's services."""

from skylarkmoor_platform.hostlist import HostEntry, HostKind, HostListClient, ListedState
from skylarkmoor_platform.httpclient import parse_base_url
from skylarkmoor_platform.logservice import LogClient, LogEntry, LogPage
from skylarkmoor_platform.weightstore import WeightStoreClient

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
