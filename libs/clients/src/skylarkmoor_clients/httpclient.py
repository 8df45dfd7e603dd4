"""HTTP requests to the platform's services, with bounds on time and response size."""

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

from skylarkmoor_clients.endpoints import AddressEndpointFactory
from skylarkmoor_core.errors import PlatformError, SettingsError
from skylarkmoor_core.settings import parse_address

__all__ = ["Answer", "AnswerTooLarge", "NoAnswer", "PlatformHttp", "parse_base_url"]

T = TypeVar("T")

# Servers commonly close an idle connection after 60 s. An append sent on a connection that the
# server has just closed has an unknown outcome, so the client closes idle connections well before.
_IDLE_CONNECTION_TIMEOUT_S = 15
# Statuses of HTTP (RFC 9110, section 15). Twisted takes any number for one.
_STATUSES = range(100, 600)


class AnswerTooLarge(PlatformError):
    """The response body exceeds the size limit of the caller."""


class NoAnswer(PlatformError):
    """No complete response has arrived; the request may have taken effect."""


class Answer:
    """An HTTP response whose body has been read completely."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def has_header(self, name: str, value: str) -> bool:
        """Return whether the header `name` is present with exactly `value`."""
        return value in (self.headers.getRawHeaders(name) or [])

    def summary(self) -> str:
        """Return the status and the first 200 bytes of the body, for error messages."""
        return f"{self.status}: {self.body[:200].decode(errors='replace')!r}"


def parse_base_url(text: str) -> str:
    """Validate the base URL of a platform service and remove a trailing slash.

    Parameters
    ----------
    text : str
        ``http://IP:PORT``, where the port may not be 0.

    Raises
    ------
    SettingsError
        If `text` does not have this form.

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
    """Sends requests to one HTTP service, with a timeout and a response size limit on each.

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
    The reactor is imported at the first request, so an instance may be created before a reactor
    is installed. The methods must be awaited from coroutines that Twisted runs
    (`Deferred.fromCoroutine`, `task.react`).
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = parse_base_url(base_url)
        self._client: HTTPClient | None = None
        self._unpooled_client: HTTPClient | None = None
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
        new_connection: bool = False,
    ) -> Answer:
        """Send a request and return the complete response.

        Parameters
        ----------
        timeout_ms : int
            Maximum total time for connecting, sending and reading the response.
        max_bytes : int
            Maximum size of the response body.
        body : bytes, optional
            JSON request body.
        new_connection : bool
            Whether to open a connection for this request only, because a kept one may have gone
            silent.

        Raises
        ------
        AnswerTooLarge
            If the body is longer than `max_bytes`.
        NoAnswer
            If no complete response arrives in time, or one whose status is none of HTTP. The
            request may have taken effect.

        Notes
        -----
        Requests other than GET are sent at most once. Twisted's connection pool retries a GET
        once if a reused connection turns out to be closed.
        """
        chunks: list[bytes] = []
        remaining_bytes = max_bytes

        def keep(chunk: bytes) -> None:
            nonlocal remaining_bytes
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                raise AnswerTooLarge(f"answer to {method} {path} exceeds {max_bytes} bytes")
            chunks.append(chunk)

        async def send_and_receive() -> Answer:
            response = await self._send(method, path, params, body, new_connection)
            await _receive_body(response, keep)
            _check_status(response)
            return Answer(response.code, response.headers, b"".join(chunks))

        what = f"{method} {self.base_url}{path}"

        def report_timeout(result: Any, _: float) -> Any:
            if isinstance(result, Failure):
                raise NoAnswer(f"{what}: no complete answer within {timeout_ms} ms")
            return result

        call = Deferred.fromCoroutine(send_and_receive())
        call.addTimeout(timeout_ms / 1000, _reactor(), onTimeoutCancel=report_timeout)
        return await _raise_platform_errors(call, what)

    async def stream(
        self, path: str, on_chunk: Callable[[bytes], None], *, idle_timeout_ms: int
    ) -> int:
        """Get `path`, pass the body of a 200 response to `on_chunk` and return the status.

        Parameters
        ----------
        on_chunk : callable
            Called with each chunk of the body. An exception raised by it aborts the transfer.
        idle_timeout_ms : int
            Maximum time without receiving data; the whole transfer may take longer.

        Raises
        ------
        PlatformError
            If the response ends early or no data arrives for `idle_timeout_ms`.
        """

        async def send_and_receive() -> int:
            response = await self._send("GET", path, None, None)
            status = int(response.code)

            def progress(chunk: bytes) -> None:
                idle_timer.reset(idle_timeout_ms / 1000)
                if status == 200:
                    on_chunk(chunk)

            await _receive_body(response, progress)
            _check_status(response)
            return status

        timed_out = False

        def expire() -> None:
            nonlocal timed_out
            timed_out = True
            call.cancel()

        idle_timer = _reactor().callLater(idle_timeout_ms / 1000, expire)
        call = Deferred.fromCoroutine(send_and_receive())
        try:
            return await _raise_platform_errors(call, f"GET {self.base_url}{path}")
        except (CancelledError, PlatformError):
            # A request that is cancelled before its head arrives fails with an error of the client.
            if timed_out:
                raise PlatformError(
                    f"GET {self.base_url}{path}: nothing received for {idle_timeout_ms} ms"
                ) from None
            raise
        finally:
            if idle_timer.active():
                idle_timer.cancel()

    def drop_connections(self) -> None:
        """Begin to close the idle connections; the next requests open new ones."""
        if self._pool is not None:
            self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]

    async def close(self) -> None:
        """Close idle connections."""
        if self._pool is not None:
            await self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]

    def _send(
        self,
        method: str,
        path: str,
        params: Mapping[str, str] | None,
        body: bytes | None,
        new_connection: bool = False,
    ) -> "Deferred[Any]":
        if self._client is None or self._unpooled_client is None:
            self._pool = HTTPConnectionPool(_reactor())  # type: ignore[no-untyped-call]
            self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_TIMEOUT_S
            make_agent: Any = Agent.usingEndpointFactory
            endpoints = AddressEndpointFactory(_reactor())
            self._client = HTTPClient(make_agent(_reactor(), endpoints, self._pool))
            self._unpooled_client = HTTPClient(make_agent(_reactor(), endpoints))
        client = self._unpooled_client if new_connection else self._client
        producer: Any = None
        if body is not None:
            producer = FileBodyProducer(BytesIO(body))  # type: ignore[no-untyped-call]
        return client.request(
            method,
            f"{self.base_url}{path}",
            params=dict(params or {}),
            headers=Headers({"Content-Type": ["application/json"]} if body is not None else {}),
            data=producer,
            # The platform's protocols use neither redirects nor cookies.
            allow_redirects=False,
            unbuffered=True,
        )


def _reactor() -> Any:
    # Importing the reactor installs the default one, so the import is deferred to the first use.
    from twisted.internet import reactor

    return reactor


async def _raise_platform_errors(call: "Deferred[T]", what: str) -> T:
    try:
        return await call
    except (CancelledError, PlatformError):
        raise
    except Exception as error:
        # The reactor and the HTTP client raise many unrelated exception types for a failed request.
        raise NoAnswer(f"{what}: no answer: {_describe_cause(error)}") from error


def _describe_cause(error: Exception) -> str:
    # Twisted reports the cause of a failed request as a list of failures.
    causes: list[Failure] = getattr(error, "reasons", None) or []
    cause = causes[0].value if causes else error
    return f"{type(cause).__name__}: {cause}"


def _check_status(response: Any) -> None:
    if response.code not in _STATUSES:
        raise NoAnswer(f"{response.code} is no status of HTTP")


class _BodyReceiver(Protocol):
    """Passes body chunks to a callback; closes the connection on cancellation or an error."""

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


def _receive_body(response: Any, on_chunk: Callable[[bytes], None]) -> "Deferred[None]":
    body = _BodyReceiver(on_chunk)
    response.deliverBody(body)
    return body.done
