"""TCP options of the connections to callers, upstreams, peers and the platform."""

import socket
import struct
from typing import Any

__all__ = ["configure_socket", "reset_on_close"]

# A dead connection is detected after 2 + 2 * 1 seconds, within the shortest caller timeout of 5 s.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# The same bound for sent data that is not acknowledged.
_USER_TIMEOUT_MS = 4_000


def configure_socket(transport: Any) -> None:
    """Disable Nagle's algorithm and enable fast detection of dead connections."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(transport: Any, enabled: bool) -> None:
    """Choose whether a connection is reset when it is closed, also if the process is killed."""
    linger = struct.pack("ii", int(enabled), 0)
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
