"""Bounded HTTP calls to the platform's services."""

from collections.abc import Callable, Mapping
from io import BytesIO
from typing import Any, TypeVar
from urllib.parse import urlsplit

from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from skylarkmoor_core.errors import PlatformError, SettingsError
from skylarkmoor_core.settings import parse_address

__all__ = ["Answer", "AnswerTooLarge", "PlatformHttp", "parse_base_url"]

T = TypeVar("T")

# Servers commonly drop an idle connection after 60 s. An append on a connection that the server
# has just dropped would count as lost, so idle connections are given up well before that.
_IDLE_CONNECTION_S = 15


class AnswerTooLarge(PlatformError):
    """An answer is longer than the caller allows."""


class Answer:
    """An HTTP answer with its whole body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def has_header(self, name: str, value: str) -> bool:
        """Return whether the header `name` is present with exactly `value`."""
        return value in (self.headers.getRawHeaders(name) or [])

    def summary(self) -> str:
        """Return the status and the start of the body, for error messages."""
        return f"{self.status}: {self.body[:200].decode(errors='replace')!r}"


def parse_base_url(text: str) -> str:
    """Check the base URL of a platform service and drop a trailing slash.

    Parameters
    ----------
    text : str
        ``http://IP:PORT``, where the port may not be 0.

    Raises
    ------
    SettingsError
        If `text` has another shape.

    Examples
    --------
    >>> parse_base_url("http://127.0.0.1:7000/")
    'http://127.0.0.1:7000'
    """
    parts = urlsplit(text)
    if parts.scheme != "http" or parts.path not in ("", "/") or parts.query or parts.fragment:
        raise SettingsError(f"{text!r} does not have the form http://IP:PORT")
    if parse_address(parts.netloc).port == 0:
        raise SettingsError(f"{text!r} has port 0")
    return f"http://{parts.netloc}"


class PlatformHttp:
    """Calls to one HTTP service, with a timeout and a bound on every answer.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.

    Notes
    -----
    The reactor is looked up at the first call, so an object may be made before a reactor is
    installed. Methods are awaited from coroutines that Twisted runs
    (`Deferred.fromCoroutine`, `task.react`).
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = parse_base_url(base_url)
        self._client: HTTPClient | None = None
        self._pool: HTTPConnectionPool | None = None

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: int,
        max_bytes: int,
        params: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answer:
        """Send a request and return the whole answer.

        Parameters
        ----------
        timeout_ms : int
            Bound on connecting, sending and reading the answer together.
        max_bytes : int
            Bound on the length of the answer's body.
        body : bytes, optional
            JSON text to send.

        Raises
        ------
        AnswerTooLarge
            If the body is longer than `max_bytes`.
        PlatformError
            If there is no complete answer in time. The request may have taken effect.

        Notes
        -----
        Every method but GET is sent at most once. Twisted's connection pool sends a GET a
        second time if a kept connection turns out to be closed.
        """
        chunks: list[bytes] = []
        room = max_bytes

        def keep(chunk: bytes) -> None:
            nonlocal room
            room -= len(chunk)
            if room < 0:
                raise AnswerTooLarge(f"answer to {method} {path} exceeds {max_bytes} bytes")
            chunks.append(chunk)

        async def exchange() -> Answer:
            response = await self._send(method, path, params, body)
            await _deliver(response, keep)
            return Answer(response.code, response.headers, b"".join(chunks))

        call = Deferred.fromCoroutine(exchange())
        call.addTimeout(timeout_ms / 1000, _reactor())
        return await _platform_errors(call, f"{method} {self.base_url}{path}")

    async def stream(
        self, path: str, on_chunk: Callable[[bytes], None], *, idle_timeout_ms: int
    ) -> int:
        """Get `path`, pass each chunk of a 200 answer to `on_chunk` and return the status.

        Parameters
        ----------
        on_chunk : callable
            Receives the body piece by piece. An exception raised here ends the transfer.
        idle_timeout_ms : int
            Bound on the time without any progress; the whole transfer may take longer.

        Raises
        ------
        PlatformError
            If the answer stops before its end.
        """

        async def exchange() -> int:
            response = await self._send("GET", path, None, None)
            status = int(response.code)

            def progress(chunk: bytes) -> None:
                watchdog.reset(idle_timeout_ms / 1000)
                if status == 200:
                    on_chunk(chunk)

            await _deliver(response, progress)
            return status

        timed_out = False

        def expire() -> None:
            nonlocal timed_out
            timed_out = True
            call.cancel()

        watchdog = _reactor().callLater(idle_timeout_ms / 1000, expire)
        call = Deferred.fromCoroutine(exchange())
        try:
            return await _platform_errors(call, f"GET {self.base_url}{path}")
        except CancelledError:
            if timed_out:
                raise PlatformError(
                    f"GET {self.base_url}{path}: nothing received for {idle_timeout_ms} ms"
                ) from None
            raise
        finally:
            if watchdog.active():
                watchdog.cancel()

    async def close(self) -> None:
        """Close idle connections."""
        if self._pool is not None:
            await self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]

    def _send(
        self, method: str, path: str, params: Mapping[str, str] | None, body: bytes | None
    ) -> "Deferred[Any]":
        if self._client is None:
            self._pool = HTTPConnectionPool(_reactor())  # type: ignore[no-untyped-call]
            self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
            agent: Any = Agent(_reactor(), pool=self._pool)  # type: ignore[no-untyped-call]
            self._client = HTTPClient(agent)
        producer: Any = None
        if body is not None:
            producer = FileBodyProducer(BytesIO(body))  # type: ignore[no-untyped-call]
        return self._client.request(
            method,
            f"{self.base_url}{path}",
            params=dict(params or {}),
            headers=Headers({"Content-Type": ["application/json"]} if body is not None else {}),
            data=producer,
            # Redirects and cookies are no part of the platform's protocols.
            allow_redirects=False,
            unbuffered=True,
        )


def _reactor() -> Any:
    # Importing the reactor installs the default one, so this waits until one is needed.
    from twisted.internet import reactor

    return reactor


async def _platform_errors(call: "Deferred[T]", what: str) -> T:
    try:
        return await call
    except (CancelledError, PlatformError):
        raise
    except Exception as error:
        # The reactor and the HTTP client raise many unrelated types for a failed call.
        raise PlatformError(f"{what}: no answer: {_reason(error)}") from error


def _reason(error: Exception) -> str:
    # Twisted wraps the cause of a failed request in a list of failures.
    causes: list[Failure] = getattr(error, "reasons", None) or []
    cause = causes[0].value if causes else error
    return f"{type(cause).__name__}: {cause}"


class _Body(Protocol):
    """Passes a body on piece by piece and closes the connection on any early end."""

    def __init__(self, on_chunk: Callable[[bytes], None]) -> None:
        self.done: Deferred[None] = Deferred(lambda _: self._close())
        self._on_chunk = on_chunk

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.done.called:
            return
        try:
            self._on_chunk(data)
        except Exception:
            self.done.errback(Failure())  # type: ignore[no-untyped-call]
            self._close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.done.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.done.callback(None)
        else:
            self.done.errback(reason)

    def _close(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def _deliver(response: Any, on_chunk: Callable[[bytes], None]) -> "Deferred[None]":
    body = _Body(on_chunk)
    response.deliverBody(body)
    return body.done
