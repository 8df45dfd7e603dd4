"""Writes a request to a connection and keeps track of how much of it the kernel has taken."""

from typing import Any

__all__ = ["RequestWriter"]

# The kernel takes as many bytes at once on a new connection, whose send buffer is small.
_FIRST_PART_BYTES = 16_384
# What Twisted writes to a socket at once.
_PART_BYTES = 131_072


class RequestWriter:
    """Pull producer that writes a request in parts.

    Parameters
    ----------
    transport : transport
        Transport of the connection, which has no other producer until the request is written.
    head : bytes
        Head of the request.
    body : bytes
        Body of the request, in its framing.

    Attributes
    ----------
    has_begun : bool
        Whether the kernel has taken the first part, so that the upstream may have read of it.
    is_written : bool
        Whether the kernel has taken the whole request.

    Notes
    -----
    A transport does not tell how much it holds of what was written to it, but it asks a pull
    producer for more when it holds nothing.
    """

    def __init__(self, transport: Any, head: bytes, body: bytes) -> None:
        self.has_begun = False
        self.is_written = False
        self._transport = transport
        self._body = body
        # Position in the body of what was not passed to the transport yet.
        self._position = 0
        self._first_part: bytes | None = head
        if len(head) + len(body) <= _FIRST_PART_BYTES:
            self._first_part = head + body
            self._position = len(body)
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next part; called by Twisted at the registration and when it holds nothing."""
        if self._first_part is not None:
            part, self._first_part = self._first_part, None
            self._transport.write(part)
            return
        self.has_begun = True
        if self._position < len(self._body):
            end = self._position + _PART_BYTES
            part, self._position = self._body[self._position : end], end
            self._transport.write(part)
            return
        self.is_written = True
        self._body = b""
        self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection was lost."""
