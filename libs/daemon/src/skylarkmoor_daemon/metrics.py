"""Metrics of one daemon, rendered in the Prometheus text format."""

from collections.abc import Sequence
from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

_LATENCY_BUCKETS_MS = [10.0, 20.0, 40.0, 70.0, 100.0, 200.0, 400.0, 800.0, 1600.0, 5000.0, 20000.0]


class Metrics:
    """Collectors of one daemon and the registry that holds them.

    Notes
    -----
    Each daemon has its own registry, so that several daemons can run in one process.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self._answers = self._counter("answers_total", "Answers by service, route and code.")
        self._refusals = self._counter("refusals_total", "Error answers of the API by code.")
        self._attempts = self._counter("attempts_total", "Attempts by service and result.")
        self._tokens = self._counter("tokens_total", "Tokens by service and kind.")
        self._claims = self._counter("claims_total", "Claim requests by answer.")
        self._time_to_first_token = self._histogram("first_token_ms", "Arrival to first token.")
        self._time_between_tokens = self._histogram(
            "between_tokens_ms", "Mean time between tokens."
        )
        self._waiting = self._gauge("waiting_requests", "Requests that wait, by service.")
        self._running = self._gauge("running_requests", "Requests that run, by service.")
        self._document_offset = self._gauge("document_offset", "Offset of the document in force.")
        self._move_share = self._gauge("move_share_percent", "Share of the move in progress.")
        self._dropped_messages = self._gauge("peer_messages_dropped", "Messages dropped by reason.")

    def answered(self, service: str, route: str, code: str) -> None:
        """Count an answer of a route; `code` is ``ok`` or an error code."""
        self._answers.inc({"service": service, "route": route, "code": code})

    def refused(self, code: str) -> None:
        """Count an error answer that the HTTP API sent."""
        self._refusals.inc({"code": code})

    def attempted(self, service: str, result: str) -> None:
        """Count an ended attempt by its result."""
        self._attempts.inc({"service": service, "result": result})

    def prefilled(self, service: str, computed: int, cached: int, wasted: int) -> None:
        """Count the prompt tokens of an attempt: computed, read from a cache, and wasted."""
        for kind, tokens in (("computed", computed), ("cached", cached), ("wasted", wasted)):
            if tokens > 0:
                self._tokens.add({"service": service, "kind": kind}, tokens)

    def claimed(self, answer: str) -> None:
        """Count a claim request by its answer."""
        self._claims.inc({"answer": answer})

    def first_token(self, service: str, tier: int, elapsed_ms: int) -> None:
        """Observe the time from a request's arrival to its first token."""
        self._time_to_first_token.add({"service": service, "tier": str(tier)}, elapsed_ms)

    def between_tokens(self, service: str, tier: int, elapsed_ms: int) -> None:
        """Observe an attempt's mean time between tokens."""
        self._time_between_tokens.add({"service": service, "tier": str(tier)}, elapsed_ms)

    def held(self, service: str, waiting: int, running: int) -> None:
        """Set the numbers of waiting and running requests."""
        self._waiting.set({"service": service}, waiting)
        self._running.set({"service": service}, running)

    def document(self, service: str, offset: int) -> None:
        """Set the offset of the document in force."""
        self._document_offset.set({"service": service}, offset)

    def share(self, service: str, percent: int) -> None:
        """Set the percentage of requests that a move sends to the new version."""
        self._move_share.set({"service": service}, percent)

    def dropped(self, full: int, stale: int) -> None:
        """Set the totals of peer messages dropped as unsent and as stale."""
        self._dropped_messages.set({"reason": "unsent"}, full)
        self._dropped_messages.set({"reason": "stale"}, stale)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its response headers for the accepted media types."""
        content, headers = render(self.registry, list(accepts))
        return content, headers

    def _counter(self, name: str, help_text: str) -> Any:
        return Counter(f"skylarkmoor_{name}", help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Any:
        return Gauge(f"skylarkmoor_{name}", help_text, registry=self.registry)

    def _histogram(self, name: str, help_text: str) -> Any:
        return Histogram(
            f"skylarkmoor_{name}", help_text, registry=self.registry, buckets=_LATENCY_BUCKETS_MS
        )
