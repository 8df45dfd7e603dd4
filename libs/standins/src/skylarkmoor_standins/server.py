"""The HTTP server that all stand-ins share."""

import signal
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from klein import Klein
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web import server as _server

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.settings import Address

__all__ = [
    "CRASH_EXIT_CODE",
    "Timer",
    "answer",
    "answer_leaving",
    "answer_malformed",
    "drop_connection",
    "listen",
    "number_argument",
    "read_body",
    "serve",
    "sleep_ms",
]

# The reactor and the Site class have no static types, so both are typed as Any.
reactor: Any = _reactor
_Site: Any = _server.Site

# Tells the crash fault from other ends of a process.
CRASH_EXIT_CODE = 70

T = TypeVar("T")


def answer(request: Any, payload: object, status: int = 200) -> bytes:
    """Set the head of a JSON answer and return its body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(payload)


def answer_leaving(request: Any) -> bytes:
    """Answer that this upstream is leaving and that the request did not run."""
    request.setHeader(b"X-Leaving", b"1")
    return answer(request, {"error": "leaving"}, 503)


def answer_malformed(request: Any, failure: Failure) -> bytes:
    """Answer 400 to a request that does not have the protocol's shape."""
    return answer(request, {"error": str(failure.value)}, 400)


def read_body(request: Any, shape: type[T]) -> T:
    """Read the JSON body of a request.

    Raises
    ------
    MessageError
        If the body does not have the given shape.
    """
    try:
        return msgspec.json.decode(request.content.read(), type=shape)
    except msgspec.DecodeError as error:
        raise MessageError(f"invalid body: {error}") from error


def number_argument(request: Any, name: str, default: int) -> int:
    """Read a whole number that is not negative from the query of a request.

    Raises
    ------
    MessageError
        If the argument is not such a number.
    """
    values = request.args.get(name.encode())
    if not values:
        return default
    text = values[0].decode(errors="replace")
    if not text.isdecimal():
        raise MessageError(f"{name} must be a whole number, got {text!r}")
    return int(text)


def sleep_ms(delay_ms: float) -> Deferred[None]:
    """Return a deferred that fires after `delay_ms`."""
    return deferLater(reactor, delay_ms / 1000, lambda: None)


def drop_connection(request: Any) -> Deferred[None]:
    """Break the connection of a request without an answer.

    Returns
    -------
    Deferred
        Fires never; klein cancels the handler that waits for it once the connection is gone.
    """
    request.transport.abortConnection()
    return Deferred()


def listen(app: Klein, address: Address) -> IListeningPort:
    """Listen on `address` with the routes of `app`."""
    port: IListeningPort = reactor.listenTCP(
        address.port, _Site(app.resource()), interface=address.host
    )
    return port


def serve(app: Klein, address: Address) -> None:
    """Listen, print the ready line and run until SIGTERM or SIGINT."""
    port: Any = listen(app, address)
    host: Any = port.getHost()
    ready = {"ready": str(Address(host.host, host.port))}
    # A reader of the ready line may send a signal at once.
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGINT, _stop)
    print(msgspec.json.encode(ready).decode(), flush=True)
    reactor.run(installSignalHandlers=False)


def _stop(signum: int, frame: object) -> None:
    reactor.callFromThread(reactor.stop)


class Timer:
    """A single timer that can be set again.

    Parameters
    ----------
    clock : IReactorTime
        Reactor.
    action : callable
        Runs when the timer fires.
    """

    def __init__(self, clock: Any, action: Callable[[], None]) -> None:
        self._clock = clock
        self._action = action
        self._call: Any = None

    def set(self, delay_ms: float | None) -> None:
        """Fire after `delay_ms`, or never if it is None."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None
        if delay_ms is not None:
            self._call = self._clock.callLater(max(0.0, delay_ms) / 1000, self._action)
