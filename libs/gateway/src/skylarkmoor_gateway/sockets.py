"""Socket options that every connection of the gateway gets."""

import socket
from typing import Any

__all__ = ["tune"]

# A connection whose other end is silent is found dead after 2 + 2 * 1 seconds, before the
# 5 s in which a caller's shortest patience runs out.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# The same time for bytes that the other end does not acknowledge.
_UNACKNOWLEDGED_MS = 4_000


def tune(transport: Any) -> None:
    """Send small writes at once, and notice a connection that has gone silent."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
