"""Client of the platform's rate-limited weight store."""

from collections.abc import Callable
from urllib.parse import quote

from skylarkmoor_clients.httpclient import PlatformHttp
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.ids import VersionId

__all__ = ["WeightStoreClient"]

# The store limits the rate, so a download may take long, but it makes steady progress.
_IDLE_TIMEOUT_MS = 10_000


class WeightStoreClient:
    """Downloads the weights of versions.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.
    idle_timeout_ms : int
        Bound on the time without any progress.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.
    """

    def __init__(self, base_url: str, *, idle_timeout_ms: int = _IDLE_TIMEOUT_MS) -> None:
        self._http = PlatformHttp(base_url)
        self._idle_timeout_ms = idle_timeout_ms

    async def download(
        self, version: VersionId, on_chunk: Callable[[bytes], None], *, max_bytes: int
    ) -> int:
        """Pass the weights of `version` to `on_chunk` piece by piece.

        Parameters
        ----------
        on_chunk : callable
            Receives each piece in order; the client keeps none of them.
        max_bytes : int
            Bound on the length of the weights.

        Returns
        -------
        int
            Length of the weights in bytes.

        Raises
        ------
        PlatformError
            If the store does not have the version, refuses for its rate, stops midway or sends
            more than `max_bytes`. Pieces passed on before are then not a whole version.
        """
        received = 0

        def count(chunk: bytes) -> None:
            nonlocal received
            received += len(chunk)
            if received > max_bytes:
                raise PlatformError(f"weights of {version!r} exceed {max_bytes} bytes")
            on_chunk(chunk)

        path = f"/weights/{quote(version, safe='')}"
        status = await self._http.stream(path, count, idle_timeout_ms=self._idle_timeout_ms)
        if status != 200:
            raise PlatformError(f"weights of {version!r} were refused with status {status}")
        return received

    async def close(self) -> None:
        """Close idle connections."""
        await self._http.close()
