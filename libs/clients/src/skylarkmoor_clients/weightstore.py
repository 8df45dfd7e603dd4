"""Client of the platform's rate-limited weight store."""

from collections.abc import Callable
from urllib.parse import quote

from skylarkmoor_clients.httpclient import PlatformHttp
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import VersionId

__all__ = ["WeightStoreClient"]

# The store limits the transfer rate: a download may take long but makes steady progress, so only
# the time without progress is bounded.
_DEFAULT_IDLE_TIMEOUT_MS = 10_000


class WeightStoreClient:
    """Downloads the model weights of a version.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.
    idle_timeout_ms : int
        Maximum time without receiving data.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.
    """

    def __init__(self, base_url: str, *, idle_timeout_ms: int = _DEFAULT_IDLE_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(base_url)
        self._idle_timeout_ms = idle_timeout_ms

    async def download(
        self, version: VersionId, on_chunk: Callable[[bytes], None], *, max_bytes: int
    ) -> int:
        """Stream the weights of `version` to `on_chunk`.

        Parameters
        ----------
        on_chunk : callable
            Called with each chunk in order; the client does not buffer them.
        max_bytes : int
            Maximum size of the weights.

        Returns
        -------
        int
            Size of the weights in bytes.

        Raises
        ------
        PlatformError
            If the store does not have the version, rejects the request because of its rate
            limit, stops before the end or sends more than `max_bytes`. The chunks passed to
            `on_chunk` before the error are incomplete weights.
        """
        received_bytes = 0

        def count(chunk: bytes) -> None:
            nonlocal received_bytes
            received_bytes += len(chunk)
            if received_bytes > max_bytes:
                raise PlatformError(f"weights of {version!r} exceed {max_bytes} bytes")
            on_chunk(chunk)

        path = f"/weights/{quote(version, safe='')}"
        status = await self._http.stream(path, count, idle_timeout_ms=self._idle_timeout_ms)
        if status != 200:
            raise PlatformError(f"download of version {version!r} failed with status {status}")
        return received_bytes

    async def close(self) -> None:
        """Close idle connections."""
        await self._http.close()
