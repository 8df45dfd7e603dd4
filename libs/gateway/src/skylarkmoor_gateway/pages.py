"""Pages for the load balancer and for metrics."""

from typing import Any, Protocol

from klein import Klein
from twisted.web.server import Site

__all__ = ["PageSource", "make_site"]


class PageSource(Protocol):
    """What the pages show; the gateway."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""

    def render_metrics(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text with the headers to send."""


def make_site(source: PageSource) -> Site:
    """Return the site with `/ready` and `/metrics`."""
    app = Klein()

    @app.route("/ready")
    def ready(request: Any) -> bytes:
        if source.is_ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"

    @app.route("/metrics")
    def metrics(request: Any) -> bytes:
        accepts = request.requestHeaders.getRawHeaders("accept") or []
        content, headers = source.render_metrics(accepts)
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

    site = Site(app.resource())  # type: ignore[no-untyped-call]
    site.noisy = False
    return site
