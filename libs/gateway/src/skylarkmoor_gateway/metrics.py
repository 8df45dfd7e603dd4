"""Prometheus metrics of the gateway."""

from collections.abc import Sequence
from typing import Any

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["GatewayMetrics"]

# From short calls up to the longest timeout of a caller.
_TIME_BUCKETS_MS = [25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 4_000.0, 15_000.0]


class GatewayMetrics:
    """Prometheus collectors of one gateway and their registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = self._counter("requests_total", "Requests by service, route and end.")
        self._rejected = self._counter("rejected_total", "Faulty requests by status.")
        self._refused = self._counter(
            "refusals_total", "Requests refused by the gateway by status."
        )
        self._customer_units = self._counter(
            "customer_units_total",
            "Units of requests that a customer's limit has admitted or refused.",
        )
        self._reports_age_ms = self._gauge(
            "peer_reports_age_ms", "Age of the oldest state of a peer that is not silent."
        )
        self._platform_calls = self._counter(
            "platform_calls_total", "Calls to the platform by result."
        )
        self._shared_reads = self._counter(
            "shared_reads_total",
            "Reads of the store that a peer has passed on: used, or behind if a page was missing.",
        )
        self._restores = self._counter(
            "platform_restores_total", "Returns of the platform's store from an older copy."
        )
        self._first_byte = self._histogram("first_byte_ms", "Arrival to first byte of the answer.")
        self._duration = self._histogram("request_ms", "Arrival to end.")
        self._held = self._gauge("held_requests", "Requests that wait or run.")
        self._version = self._gauge("configuration_version", "Version in force.")
        self._configuration_age_ms = self._gauge(
            "configuration_age_ms", "Time since the version in force was confirmed as the newest."
        )
        self._upstreams = self._gauge("usable_upstreams", "Upstreams that may get work.")
        self._peers = self._gauge("heard_peers", "Other daemons heard within the last second.")
        self._peer_bytes = self._gauge("peer_sent_bytes", "Bytes sent to other daemons.")
        self._peer_drops = self._gauge(
            "peer_dropped_messages", "Messages between daemons that were dropped."
        )
        self._passes_states_on = self._gauge(
            "passes_states_on", "Whether the daemon sends the states of others, 0 or 1."
        )
        self._sent_through_peers = self._counter(
            "sent_through_peers_total", "Attempts that were sent through a peer, by service."
        )
        self._unreachable = self._gauge(
            "unreachable_upstreams", "Upstreams to which no connection can be made from here."
        )
        self._tunnels = self._gauge("tunnels", "Connections passed on for peers.")
        self._blocked_parts = self._gauge(
            "blocked_prompt_parts", "Parts of prompts that are blocked after crashes."
        )
        self._notices = self._counter(
            "upstream_notices_total",
            "Notices in answers of upstreams that began or ended, by kind.",
        )
        self._noticed_upstreams = self._gauge(
            "upstreams_with_notice", "Instances with a notice in force, by kind."
        )
        self._evacuations = self._counter(
            "evacuations_total", "Evacuations of failure domains that began or ended, by source."
        )
        self._evacuated_domains = self._gauge(
            "evacuated_domains", "Failure domains that are evacuated."
        )
        self._turned_back = self._counter(
            "turned_back_total",
            "Attempts that were placed again, because the upstream may not be sent requests, right"
            " before they were sent, by service.",
        )
        self._cold_starts = self._counter(
            "cold_starts_total", "Upstreams that this gateway has found to be cold, by cause."
        )
        self._cold_upstreams = self._gauge(
            "cold_upstreams", "Upstreams whose requests are limited because they are cold."
        )
        self._dropped_lines = self._gauge(
            "dropped_log_lines", "Log lines dropped because of volume."
        )
        self._early_refusals = self._counter(
            "early_refusals_total",
            "Requests refused because no slot becomes free in time, by service.",
        )
        self._customers_above_share = self._gauge(
            "customers_above_share",
            "Customers whose slot requests wait here and come after those of others.",
        )
        self._granted_slots = self._counter(
            "granted_slots_total",
            "Granted slots by route, and by whether the answer was expected to begin in time.",
        )
        self._gave_way = self._counter(
            "gave_way_total", "Connections and bodies that gave way at a bound, by cause."
        )
        self._held_bytes = self._gauge("held_bytes", "Bytes held for callers.")
        self._connections = self._gauge("caller_connections", "Connections of callers.")
        self._waiting_bodies = self._gauge("waiting_bodies", "Bodies that wait for memory.")

    def request_finished(self, service: str, route: str, end: str, elapsed_ms: int) -> None:
        """Count a finished request and record its duration."""
        self._requests.inc({"service": service, "route": route, "end": end})
        self._duration.add({"service": service, "route": route}, elapsed_ms)

    def first_byte(self, service: str, route: str, elapsed_ms: int) -> None:
        """Record the time from arrival to the first byte of the response."""
        self._first_byte.add({"service": service, "route": route}, elapsed_ms)

    def request_rejected(self, status: int) -> None:
        """Count an invalid request."""
        self._rejected.inc({"status": str(status)})

    def request_refused(self, status: int) -> None:
        """Count a valid request that was refused before placement."""
        self._refused.inc({"status": str(status)})

    def customer_units(self, customer: str, units: int, result: str) -> None:
        """Count the units of a request by what its customer's limit has decided."""
        self._customer_units.add({"customer": customer, "result": result}, units)

    def platform_call(self, result: str) -> None:
        """Count a call to the platform by its result."""
        self._platform_calls.inc({"result": result})

    def shared_read(self, result: str) -> None:
        """Count a read of the platform's store that a peer has passed on."""
        self._shared_reads.inc({"result": result})

    def platform_restored(self) -> None:
        """Count a return of the platform's store from an older copy."""
        self._restores.inc({})

    def notice(self, kind: str, state: str) -> None:
        """Count a notice of an upstream that was heard or has ended."""
        self._notices.inc({"notice": kind, "state": state})

    def sent_through_peer(self, service: str) -> None:
        """Count an attempt that is sent through a peer."""
        self._sent_through_peers.inc({"service": service})

    def evacuation(self, state: str, source: str) -> None:
        """Count an evacuation that began or ended, as the log or a peer has told."""
        self._evacuations.inc({"state": state, "source": source})

    def evacuated_domains(self, count: int) -> None:
        """Set the number of failure domains that are evacuated."""
        self._evacuated_domains.set({}, count)

    def cold_start(self, cause: str) -> None:
        """Count an upstream that was found to be cold."""
        self._cold_starts.inc({"cause": cause})

    def cold_upstreams(self, count: int) -> None:
        """Set the number of upstreams that are limited because they are cold."""
        self._cold_upstreams.set({}, count)

    def turned_back(self, service: str) -> None:
        """Count an attempt that was turned back right before it was sent."""
        self._turned_back.inc({"service": service})

    def upstreams_with_notice(self, kind: str, count: int) -> None:
        """Set the number of instances with a notice of a kind."""
        self._noticed_upstreams.set({"notice": kind}, count)

    def early_refusal(self, service: str) -> None:
        """Count a request that was refused before its wait for a slot had ended."""
        self._early_refusals.inc({"service": service})

    def slot_granted(self, service: str, route: str, *, in_time: bool) -> None:
        """Count a granted slot by whether the first token is expected within the route's goal."""
        expected = "in_time" if in_time else "late"
        self._granted_slots.inc({"service": service, "route": route, "expected": expected})

    def customers_above_share(self, count: int) -> None:
        """Set the number of customers above their share."""
        self._customers_above_share.set({}, count)

    def state(
        self,
        *,
        held: int,
        version: int,
        configuration_age_ms: int | None,
        upstreams: int,
        peers: int,
        peers_age_ms: int,
        unreachable_upstreams: int,
        tunnels: int,
        blocked_parts: int,
        dropped_lines: int,
    ) -> None:
        """Set the gauges."""
        self._held.set({}, held)
        self._version.set({}, version)
        if configuration_age_ms is not None:
            self._configuration_age_ms.set({}, configuration_age_ms)
        self._upstreams.set({}, upstreams)
        self._peers.set({}, peers)
        self._reports_age_ms.set({}, peers_age_ms)
        self._unreachable.set({}, unreachable_upstreams)
        self._tunnels.set({}, tunnels)
        self._blocked_parts.set({}, blocked_parts)
        self._dropped_lines.set({}, dropped_lines)

    def peer_traffic(self, sent_bytes: int, dropped: int, *, passes_states_on: bool) -> None:
        """Set the gauges of the messages between daemons."""
        self._peer_bytes.set({}, sent_bytes)
        self._peer_drops.set({}, dropped)
        self._passes_states_on.set({}, int(passes_states_on))

    def gave_way(self, cause: str) -> None:
        """Count a connection or body that gave way at a bound."""
        self._gave_way.inc({"cause": cause})

    def memory(self, *, held_bytes: int, connections: int, waiting_bodies: int) -> None:
        """Set the gauges of what is held for callers."""
        self._held_bytes.set({}, held_bytes)
        self._connections.set({}, connections)
        self._waiting_bodies.set({}, waiting_bodies)

    def render(self, accept_headers: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text with the response headers."""
        content, headers = render(self.registry, list(accept_headers))
        return content, headers

    def _counter(self, name: str, doc: str) -> Any:
        return Counter(f"skylarkmoor_gateway_{name}", doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Any:
        return Gauge(f"skylarkmoor_gateway_{name}", doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Any:
        return Histogram(
            f"skylarkmoor_gateway_{name}", doc, registry=self.registry, buckets=_TIME_BUCKETS_MS
        )
