"""HTTP server that simulates the platform's host list."""

from typing import Any

from klein import Klein
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import MessageError
from skylarkmoor_standins.fault_settings import merge_faults
from skylarkmoor_standins.hosts_model import HostChange, HostListModel
from skylarkmoor_standins.server import (
    json_response,
    malformed_response,
    read_body,
    sleep_ms,
)

__all__ = ["HostListService"]


class HostListService:
    """Serves a `HostListModel` over HTTP.

    Parameters
    ----------
    model : HostListModel
        Host list, its history and fault settings.
    clock : Clock
        Its wall time, in epoch milliseconds, dates the changes.
    """

    app = Klein()

    def __init__(self, model: HostListModel, clock: Clock) -> None:
        self._model = model
        self._clock = clock

    @app.handle_errors(MessageError)
    def handle_malformed_request(self, request: Any, failure: Failure) -> bytes:
        """Answer 400 to a request that cannot be decoded."""
        return malformed_response(request, failure)

    @app.route("/hosts", methods=["GET"])
    async def visible_hosts(self, request: Any) -> bytes:
        """Return the host list as it was one lag ago."""
        if self._model.faults.delay_ms:
            await sleep_ms(self._model.faults.delay_ms)
        if self._model.faults.outage:
            return json_response(request, {"error": "the host list is down"}, 503)
        return json_response(request, {"hosts": self._model.visible_hosts(self._clock.wall_ms())})

    @app.route("/hosts", methods=["POST"])
    def change(self, request: Any) -> bytes:
        """Change the current host list, whatever the fault settings are."""
        change = read_body(request, HostChange)
        try:
            self._model.change(change, self._clock.wall_ms())
        except KeyError as error:
            raise MessageError(f"no host is called {error.args[0]!r}") from error
        return json_response(request, {})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Update the fault settings."""
        changes = read_body(request, dict[str, Any])
        self._model.faults = merge_faults(self._model.faults, changes)
        return json_response(request, self._model.faults)
