"""Scaling measurements of the scheduler, credit leases, queue and prefix index."""

import random
from collections.abc import Callable
from functools import cache, partial

from skylarkmoor_core.ids import FailureDomain, UpstreamId
from skylarkmoor_measure.fleet import (
    START_MS,
    FleetLoad,
    FleetRun,
    host_name,
    make_report,
    make_request,
    make_scheduler,
    make_service_document,
    run_fleet,
    upstream_id,
)
from skylarkmoor_measure.slope_cases import Case, Unit
from skylarkmoor_measure.timing import cpu_us, kept_bytes
from skylarkmoor_policy.actions import Dispatch
from skylarkmoor_policy.prefixes import PrefixIndex
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult
from skylarkmoor_policy.scheduler import Scheduler

__all__ = ["SCHEDULING_CASES"]

# Share of one service in the design size: 9,600 requests/s over 330 daemons and 4 models, and 600
# upstreams over 4 models and 11 failure domains. A domain of the design size has 30 daemons; 12
# are simulated when another quantity varies, which takes seconds instead of minutes.
_REQUESTS_PER_S = 7.3
_DOMAIN_UPSTREAMS = 14
_DAEMONS = 12

_cached_run_fleet = cache(run_fleet)


def _run_with_upstreams(upstreams: int, seed: int) -> FleetRun:
    return _cached_run_fleet(FleetLoad(_DAEMONS, upstreams, _REQUESTS_PER_S), seed)


def _run_with_daemons(daemons: int, seed: int) -> FleetRun:
    return _cached_run_fleet(FleetLoad(daemons, _DOMAIN_UPSTREAMS, _REQUESTS_PER_S), seed)


def _run_with_rate(rate: int, seed: int) -> FleetRun:
    return _cached_run_fleet(FleetLoad(_DAEMONS, _DOMAIN_UPSTREAMS, rate), seed)


def _run_across_domains(upstreams: int, seed: int) -> FleetRun:
    return _cached_run_fleet(FleetLoad(2, upstreams, _REQUESTS_PER_S, domains=11), seed)


def _message_rate(run_for_size: Callable[[int, int], FleetRun], size: int, seed: int) -> float:
    return run_for_size(size, seed).messages_per_s()


def _byte_rate(run_for_size: Callable[[int, int], FleetRun], size: int, seed: int) -> float:
    return run_for_size(size, seed).bytes_per_s()


def _request_cycle_us(upstreams: int, seed: int) -> float:
    run = _run_across_domains(upstreams, seed)
    return run.submits.mean_us + run.ends.mean_us


def _tick_us(upstreams: int, seed: int) -> float:
    return _run_across_domains(upstreams, seed).ticks.mean_us


def _receive_message_us(daemons: int, seed: int) -> float:
    return _run_with_daemons(daemons, seed).receives.mean_us


def _idle_tick_us(upstreams: int, seed: int) -> float:
    iterations = 50

    def prepare() -> Callable[[], object]:
        scheduler = make_scheduler(host_name(0), random.Random(seed), 30, upstreams, domains=11)
        # The first tick announces this daemon to every owner, which is not part of the idle cost.
        scheduler.tick(START_MS)
        later_ms = START_MS + 60_000
        return lambda: [scheduler.tick(later_ms + 20 * i) for i in range(iterations)]

    return cpu_us(prepare) / iterations


def _request_by_customers_us(customers: int, seed: int) -> float:
    iterations = 200

    def prepare() -> Callable[[], object]:
        scheduler = _scheduler_with_credit(seed, customers=customers)
        return partial(_run_requests, scheduler, iterations, customers)

    return cpu_us(prepare) / iterations


def _run_requests(scheduler: Scheduler, count: int, customers: int) -> None:
    for number in range(count):
        now_ms = START_MS + 1_000 + 20 * number
        for action in scheduler.submit(make_request(number, now_ms, customers), now_ms):
            if isinstance(action, Dispatch):
                scheduler.record_attempt_end(_completed_attempt(action), now_ms + 10)


def _scheduler_with_credit(seed: int, customers: int = 16) -> Scheduler:
    """Return the scheduler of a single daemon that holds credit at every upstream."""
    scheduler = make_scheduler(
        host_name(0), random.Random(seed), 1, _DOMAIN_UPSTREAMS, customers=customers
    )
    for now_ms in range(START_MS, START_MS + 500, 20):
        scheduler.tick(now_ms)
    return scheduler


def _completed_attempt(dispatch: Dispatch) -> AttemptEnd:
    return AttemptEnd(
        request=dispatch.request,
        attempt=dispatch.attempt,
        upstream=dispatch.upstream,
        version=dispatch.version,
        result=AttemptResult.COMPLETED,
        position_tokens=240,
        prefill_tokens=400,
        first_token_ms=200,
        between_tokens_ms=40,
    )


def _token_progress_us(streams: int, seed: int) -> float:
    rounds = 40

    def prepare() -> Callable[[], object]:
        scheduler = _scheduler_with_credit(seed)
        now_ms = START_MS + 500
        attempts = [
            action.attempt
            for number in range(streams)
            for action in scheduler.submit(make_request(number, now_ms), now_ms)
            if isinstance(action, Dispatch)
        ]
        if len(attempts) != streams:
            raise RuntimeError(f"expected {streams} dispatched requests, got {len(attempts)}")

        def work() -> None:
            for position in range(1, rounds + 1):
                for attempt in attempts:
                    scheduler.record_attempt_progress(attempt, position, now_ms + 40 * position)

        return work

    return cpu_us(prepare) / rounds / streams


def _membership_change_us(hosts: int, seed: int) -> float:
    """Time of a membership change and the tick after it, with 150 upstreams."""

    def prepare() -> Callable[[], object]:
        scheduler = make_scheduler(host_name(0), random.Random(seed), hosts, 150, domains=11)
        scheduler.tick(START_MS)
        remaining_members = {
            host_name(i): FailureDomain(f"domain-{i % 11:02d}") for i in range(hosts - 1)
        }

        def work() -> None:
            scheduler.set_members(remaining_members)
            scheduler.tick(START_MS + 20)

        return work

    return cpu_us(prepare)


def _waiting_requests_bytes(requests: int, seed: int) -> float:
    def build() -> object:
        scheduler = Scheduler(host_name(0), make_service_document(16), random.Random(seed))
        for number in range(requests):
            scheduler.submit(make_request(number, START_MS, 16), START_MS)
        return scheduler

    return kept_bytes(build)


def _load_reports_us(upstreams: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        scheduler = make_scheduler(host_name(0), random.Random(seed), 1, upstreams)
        reports = [make_report(upstream_id(i), START_MS + 1_000) for i in range(upstreams)]

        def work() -> None:
            for report in reports:
                scheduler.record_load_report(report)

        return work

    return cpu_us(prepare)


def _cache_event_us(blocks: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        scheduler = make_scheduler(host_name(0), random.Random(seed), 1, 1)
        added = list(range(blocks))
        return lambda: scheduler.record_cache_event(upstream_id(0), added, ())

    return cpu_us(prepare)


def _prefix_index_bytes(blocks: int, seed: int) -> float:
    rng = random.Random(seed)

    def build() -> object:
        index = PrefixIndex()
        index.add(UpstreamId("worker-0000"), (rng.getrandbits(63) for _ in range(blocks)))
        return index

    return kept_bytes(build)


def _scheduler_bytes(upstreams: int, seed: int) -> float:
    return kept_bytes(
        lambda: make_scheduler(host_name(0), random.Random(seed), 330, upstreams, domains=11)
    )


SCHEDULING_CASES = (
    Case("entry daemon", "idle tick", "upstreams", Unit.CPU, (50, 150, 300, 600), _idle_tick_us),
    Case("entry daemon", "tick under load", "upstreams", Unit.CPU, (22, 66, 150), _tick_us),
    Case(
        "entry daemon",
        "submit, dispatch and end of a request",
        "upstreams",
        Unit.CPU,
        (22, 66, 150),
        _request_cycle_us,
    ),
    Case(
        "entry daemon",
        "submit, dispatch and end of a request",
        "customers",
        Unit.CPU,
        (16, 600, 1_800),
        _request_by_customers_us,
    ),
    Case(
        "entry daemon",
        "progress of one token",
        "running streams",
        Unit.CPU,
        (50, 200, 500),
        _token_progress_us,
    ),
    Case(
        "entry daemon",
        "membership change, 150 upstreams",
        "daemons",
        Unit.CPU,
        (30, 110, 330),
        _membership_change_us,
    ),
    Case(
        "entry daemon",
        "waiting requests",
        "requests",
        Unit.MEMORY,
        (200, 500, 1_000),
        _waiting_requests_bytes,
    ),
    Case(
        "entry daemon",
        "load reports, one of each upstream",
        "upstreams",
        Unit.CPU,
        (50, 150, 600),
        _load_reports_us,
    ),
    Case(
        "entry daemon",
        "cache event",
        "blocks",
        Unit.CPU,
        (100, 1_000, 4_000),
        _cache_event_us,
    ),
    Case(
        "entry daemon",
        "prefix index of one upstream",
        "cached blocks",
        Unit.MEMORY,
        (500, 1_500, 3_000),
        _prefix_index_bytes,
    ),
    Case("entry daemon", "scheduler", "upstreams", Unit.MEMORY, (50, 150, 300), _scheduler_bytes),
    Case(
        "entry daemon and owner",
        "Demand and Grant sent/s a daemon (12 daemons, 7.3 requests/s each)",
        "upstreams of the domain",
        Unit.COUNT,
        (7, 14, 28),
        partial(_message_rate, _run_with_upstreams),
    ),
    Case(
        "entry daemon and owner",
        "Demand and Grant sent/s a daemon (12 daemons, 7.3 requests/s each)",
        "upstreams of the domain",
        Unit.WIRE,
        (7, 14, 28),
        partial(_byte_rate, _run_with_upstreams),
    ),
    Case(
        "entry daemon and owner",
        "Demand and Grant sent/s a daemon (14 upstreams, 7.3 requests/s each)",
        "daemons of the domain",
        Unit.COUNT,
        (6, 15, 30),
        partial(_message_rate, _run_with_daemons),
    ),
    Case(
        "entry daemon and owner",
        "Demand and Grant sent/s a daemon (14 upstreams, 7.3 requests/s each)",
        "daemons of the domain",
        Unit.WIRE,
        (6, 15, 30),
        partial(_byte_rate, _run_with_daemons),
    ),
    Case(
        "entry daemon and owner",
        "Demand and Grant sent/s a daemon (12 daemons, 14 upstreams)",
        "requests/s a daemon",
        Unit.COUNT,
        (4, 8, 16),
        partial(_message_rate, _run_with_rate),
    ),
    Case(
        "upstream owner",
        "taking a Demand or Grant (14 upstreams)",
        "daemons of the domain",
        Unit.CPU,
        (6, 15, 30),
        _receive_message_us,
    ),
)
