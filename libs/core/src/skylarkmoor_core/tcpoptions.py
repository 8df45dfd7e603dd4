"""TCP options of the connections to callers, upstreams, peers and the platform."""

import fcntl
import os
import socket
import struct
import termios
from typing import Any

__all__ = [
    "close_when_written",
    "configure_socket",
    "count_unread",
    "find_sending_fault",
    "limit_kernel_buffers",
    "reset_on_close",
    "unsent_bytes",
]

# A dead connection is detected after 2 + 2 * 1 seconds, within the shortest caller timeout of 5 s.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# The same bound for sent data that is not acknowledged.
_USER_TIMEOUT_MS = 4_000
# Bytes on their way to a caller with a good connection: 2.5 MB/s at 100 ms.
_MAX_SEND_BUFFER_BYTES = 262_144
_COUNT = struct.Struct("i")


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


def limit_kernel_buffers(sock: socket.socket, size_bytes: int | None) -> None:
    """Bound what the kernel buffers in each direction; None for its default.

    Notes
    -----
    Connections that a listening socket accepts have its bounds. For what is sent, the bound is on
    the bytes that the other side has no room for: a smaller buffer would wait for a delayed
    acknowledgement after each segment. The kernel allows twice the size for what is received, for
    its own structures.
    """
    if size_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _MAX_SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size_bytes)


def reset_on_close(transport: Any, enabled: bool) -> None:
    """Choose whether a connection is reset when it is closed, also if the process is killed."""
    linger = struct.pack("ii", int(enabled), 0)
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def close_when_written(transport: Any) -> None:
    """Close a connection orderly, but only once the kernel has all bytes that were written to it.

    Notes
    -----
    For connections with `reset_on_close`. If the process is killed before, they are reset, so
    that what the other side has read does not look complete.
    """
    transport.registerProducer(_OrderlyCloser(transport), False)
    transport.loseConnection()


def unsent_bytes(transport: Any) -> int:
    """Return the bytes written to a transport that the kernel has not taken yet.

    Notes
    -----
    Twisted has no public count of them; a transport of a test may have none at all.
    """
    buffered = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    return int(buffered + getattr(transport, "_tempDataLen", 0))


class _OrderlyCloser:
    """A pull producer, which the transport asks for more when its buffer is empty."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_registered = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the transport close; called by Twisted at the registration too."""
        if not self._is_registered:
            self._is_registered = True
            return
        reset_on_close(self._transport, False)
        self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection was lost."""


def find_sending_fault(transport: Any) -> str | None:
    """Return why the other side cannot have read all bytes that the kernel has taken, or None.

    Notes
    -----
    For an open connection whose other side has sent its end. That end acknowledges all bytes that
    had arrived before it, so bytes without an acknowledgement were not read.
    """
    sock = transport.getHandle()
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        return f"the connection has failed: {os.strerror(error)}"
    count = _read_count(sock, termios.TIOCOUTQ)
    return f"{count} bytes were not acknowledged" if count else None


def count_unread(transport: Any) -> int:
    """Return how many bytes have arrived on an open connection that were not read yet."""
    return _read_count(transport.getHandle(), termios.FIONREAD)


def _read_count(sock: Any, request: int) -> int:
    count: int = _COUNT.unpack(fcntl.ioctl(sock.fileno(), request, bytes(_COUNT.size)))[0]
    return count
