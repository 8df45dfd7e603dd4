"""HTTP request, response and start-up helpers shared by the simulated services."""

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
    "json_response",
    "leaving_response",
    "malformed_response",
    "drop_connection",
    "listen",
    "read_query_int",
    "read_body",
    "serve",
    "sleep_ms",
]

# The reactor and the Site class have no static types, so both are typed as Any.
reactor: Any = _reactor
_Site: Any = _server.Site

# Exit code of an injected crash, distinct from all other exit codes of these processes.
CRASH_EXIT_CODE = 70

T = TypeVar("T")


def json_response(request: Any, payload: object, status: int = 200) -> bytes:
    """Set the status and content type of a JSON response and return its encoded body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return msgspec.json.encode(payload)


def leaving_response(request: Any) -> bytes:
    """Answer 503 with `X-Leaving`, which tells the caller that the request did not run."""
    request.setHeader(b"X-Leaving", b"1")
    return json_response(request, {"error": "leaving"}, 503)


def malformed_response(request: Any, failure: Failure) -> bytes:
    """Answer 400 with the error message of the failure."""
    return json_response(request, {"error": str(failure.value)}, 400)


def read_body(request: Any, body_type: type[T]) -> T:
    """Decode the JSON body of a request as `body_type`.

    Raises
    ------
    MessageError
        If the body is not JSON of the given type.
    """
    try:
        return msgspec.json.decode(request.content.read(), type=body_type)
    except msgspec.DecodeError as error:
        raise MessageError(f"invalid body: {error}") from error


def read_query_int(request: Any, name: str, default: int) -> int:
    """Return a non-negative integer from the query string, or `default` if it is absent.

    Raises
    ------
    MessageError
        If the value is not a non-negative integer.
    """
    values = request.args.get(name.encode())
    if not values:
        return default
    text = values[0].decode(errors="replace")
    if not text.isdecimal():
        raise MessageError(f"{name} must be a whole number, got {text!r}")
    return int(text)


def sleep_ms(delay_ms: float) -> Deferred[None]:
    """Return a Deferred that fires after `delay_ms`."""
    return deferLater(reactor, delay_ms / 1000, lambda: None)


def drop_connection(request: Any) -> Deferred[None]:
    """Abort the connection of a request without sending a response.

    Returns
    -------
    Deferred
        Never fires; klein cancels the handler that awaits it once the connection is lost.
    """
    request.transport.abortConnection()
    return Deferred()


def listen(app: Klein, address: Address) -> IListeningPort:
    """Serve the routes of `app` on `address`."""
    port: IListeningPort = reactor.listenTCP(
        address.port, _Site(app.resource()), interface=address.host
    )
    return port


def serve(app: Klein, address: Address) -> None:
    """Serve `app`, print the ready line and run until SIGTERM or SIGINT."""
    port: Any = listen(app, address)
    host: Any = port.getHost()
    ready = {"ready": str(Address(host.host, host.port))}
    # Installed before the ready line is printed, because its reader may send a signal at once.
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGINT, _stop)
    print(msgspec.json.encode(ready).decode(), flush=True)
    reactor.run(installSignalHandlers=False)


def _stop(signum: int, frame: object) -> None:
    reactor.callFromThread(reactor.stop)


class Timer:
    """Calls a function after a delay that can be changed or cancelled.

    Parameters
    ----------
    clock : IReactorTime
        Reactor that schedules the callback.
    callback : callable
        Called when the timer fires.
    """

    def __init__(self, clock: Any, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._delayed_call: Any = None

    def set(self, delay_ms: float | None) -> None:
        """Replace the pending delay with `delay_ms`, or cancel the timer if it is None."""
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
        self._delayed_call = None
        if delay_ms is not None:
            self._delayed_call = self._clock.callLater(max(0.0, delay_ms) / 1000, self._callback)
