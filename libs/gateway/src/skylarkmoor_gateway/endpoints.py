"""HTTP endpoints for load balancer health checks and for metrics."""

from typing import Any, Protocol

from klein import Klein
from twisted.web.server import Site

__all__ = ["StatusSource", "make_site"]


class StatusSource(Protocol):
    """Data behind the endpoints; implemented by the gateway."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""

    def render_metrics(self, accept_headers: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text with the response headers."""


def make_site(source: StatusSource) -> Site:
    """Return a Twisted site that serves `/ready` and `/metrics`."""
    app = Klein()

    @app.route("/ready")
    def ready(request: Any) -> bytes:
        if source.is_ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"

    @app.route("/metrics")
    def metrics(request: Any) -> bytes:
        accept_headers = request.requestHeaders.getRawHeaders("accept") or []
        content, headers = source.render_metrics(accept_headers)
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

    site = Site(app.resource())  # type: ignore[no-untyped-call]
    site.noisy = False
    return site
