"""Scaling measurements of claims, documents and the host list."""

from collections.abc import Callable
from functools import cache, partial
from time import thread_time_ns

import msgspec

from skylarkmoor_clients.hostlist import HostEntry, HostKind, ListedState
from skylarkmoor_core.document import decode_document, encode_document
from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation, Offset, ServiceName
from skylarkmoor_core.messages import ClaimRequest, DocumentOffer, Envelope, encode_envelope
from skylarkmoor_core.records import (
    Claim,
    ClaimBatch,
    DocumentPublished,
    decode_record,
    encode_record,
)
from skylarkmoor_measure.fleet import (
    INCARNATION,
    START_MS,
    host_name,
    make_service_document,
    upstream_id,
)
from skylarkmoor_measure.slope_cases import Case, Unit
from skylarkmoor_measure.timing import cpu_us, kept_bytes
from skylarkmoor_policy.claimindex import ClaimIndex, claim_id
from skylarkmoor_policy.claimowner import (
    AppendBatch,
    ClaimOwner,
    LogRecord,
    OwnerDecision,
    ReadStream,
)
from skylarkmoor_policy.configuration import DocumentAccepted, DocumentFollower

__all__ = ["RECORD_CASES", "OwnerRun", "make_host_list", "run_owner"]

_DEDUP_WINDOW_MS = 600_000
_POLL_INTERVAL_MS = 10
# Round-trip times to a log in the same region.
_APPEND_LATENCY_MS = 10
_READ_LATENCY_MS = 10


def _make_claim(number: int) -> Claim:
    host = host_name(number % 330)
    return Claim(
        claim=claim_id(host, INCARNATION, number),
        key_hash=hash64("key", str(number)),
        body_hash=hash64("body", str(number)),
        host=host,
        incarnation=INCARNATION,
        issued_wall_ms=int(INCARNATION),
    )


def _index_bytes(keys: int, seed: int) -> float:
    """Memory of an index whose claims were decoded from log records of 50 claims."""

    def build() -> object:
        index = ClaimIndex(_DEDUP_WINDOW_MS)
        for offset in range(keys // 50):
            batch = ClaimBatch(entries=tuple(_make_claim(50 * offset + i) for i in range(50)))
            index.apply(Offset(offset), int(INCARNATION), decode_record(encode_record(batch)))
        return index

    return kept_bytes(build)


def _make_batch(size: int) -> ClaimBatch:
    return ClaimBatch(entries=tuple(_make_claim(i) for i in range(size)))


def _apply_batch_us(size: int, seed: int) -> float:
    batch = _make_batch(size)

    def prepare() -> Callable[[], object]:
        index = ClaimIndex(_DEDUP_WINDOW_MS)
        return lambda: index.apply(Offset(0), int(INCARNATION), batch)

    return cpu_us(prepare)


def _batch_decode_us(size: int, seed: int) -> float:
    data = encode_record(_make_batch(size))
    return cpu_us(lambda: lambda: decode_record(data))


def _batch_bytes(size: int, seed: int) -> float:
    return len(encode_record(_make_batch(size)))


class OwnerRun(msgspec.Struct, frozen=True):
    """Operations and processor time of a claim owner in a run.

    Attributes
    ----------
    answers, appends, reads : int
        Answers to claims, and append and read calls to the log.
    cpu_us : float
        Processor time of the owner's decisions.
    """

    answers: int
    appends: int
    reads: int
    cpu_us: float


def run_owner(claims_per_s: int, seconds: int) -> OwnerRun:
    """Simulate the owner of one partition with evenly spaced claims."""
    host = host_name(0)
    owner = ClaimOwner(host, _DEDUP_WINDOW_MS)
    log: list[LogRecord] = []
    pending_calls: dict[int, list[AppendBatch | ReadStream]] = {}
    answers = appends = reads = number = 0
    total_cpu_us = 0.0
    for now_ms in range(START_MS, START_MS + 1_000 * seconds, _POLL_INTERVAL_MS):
        decisions: list[OwnerDecision] = []
        start_us = _thread_us()
        for call in pending_calls.pop(now_ms, []):
            match call:
                case AppendBatch(batch=batch):
                    log.append(LogRecord(Offset(len(log)), now_ms, batch))
                    owner.append_succeeded(Offset(len(log) - 1))
                case ReadStream(start=start):
                    decisions += owner.handle_read(log[start:], Offset(0), Offset(len(log)))
        while number < claims_per_s * (now_ms - START_MS) / 1_000:
            number += 1
            decisions += owner.handle_request(*_make_request(number), now_ms, host)
        decisions += owner.poll(now_ms)
        total_cpu_us += _thread_us() - start_us
        for decision in decisions:
            match decision:
                case AppendBatch():
                    appends += 1
                    pending_calls.setdefault(now_ms + _APPEND_LATENCY_MS, []).append(decision)
                case ReadStream():
                    reads += 1
                    pending_calls.setdefault(now_ms + _READ_LATENCY_MS, []).append(decision)
                case _:
                    answers += 1
    return OwnerRun(answers=answers, appends=appends, reads=reads, cpu_us=total_cpu_us)


def _make_request(number: int) -> tuple[HostId, ClaimRequest, Incarnation]:
    claim = _make_claim(number)
    request = ClaimRequest(claim.claim, claim.key_hash, claim.body_hash, claim.issued_wall_ms)
    return claim.host, request, claim.incarnation


_cached_run_owner = cache(run_owner)


def _thread_us() -> float:
    return thread_time_ns() / 1_000


def _appends_per_s(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return _cached_run_owner(claims_per_s, seconds).appends / seconds


def _reads_per_s(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return _cached_run_owner(claims_per_s, seconds).reads / seconds


def _owner_us(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return min(run_owner(claims_per_s, seconds).cpu_us for _ in range(3)) / seconds


def _document_record(customers: int, routes: int = 8) -> DocumentPublished:
    document = make_service_document(customers, routes)
    return DocumentPublished(
        service=document.service, document=document, based_on=None, author="capacity"
    )


def _customer_document_bytes(customers: int, seed: int) -> float:
    return len(encode_document(make_service_document(customers)))


def _route_document_bytes(routes: int, seed: int) -> float:
    return len(encode_document(make_service_document(16, routes)))


def _decode_customers_us(customers: int, seed: int) -> float:
    """Time to decode and validate a document."""
    data = encode_document(make_service_document(customers))
    return cpu_us(lambda: lambda: decode_document(data))


def _decode_routes_us(routes: int, seed: int) -> float:
    data = encode_document(make_service_document(16, routes))
    return cpu_us(lambda: lambda: decode_document(data))


def _apply_record_us(customers: int, seed: int) -> float:
    """Time to decode a document record and accept the document."""
    data = encode_record(_document_record(customers))

    def prepare() -> Callable[[], object]:
        follower = DocumentFollower()

        def work() -> None:
            decision = follower.apply_record(Offset(0), decode_record(data))
            if not isinstance(decision, DocumentAccepted):
                raise RuntimeError(f"expected the document to be accepted, got {decision}")

        return work

    return cpu_us(prepare)


def _follower_bytes(customers: int, seed: int) -> float:
    data = encode_record(_document_record(customers))

    def build() -> object:
        follower = DocumentFollower()
        follower.apply_record(Offset(0), decode_record(data))
        return follower

    return kept_bytes(build)


def _offer_bytes(customers: int, seed: int) -> float:
    offer = DocumentOffer(ServiceName("assistant"), Offset(7), make_service_document(customers))
    return len(encode_envelope(Envelope(host_name(0), INCARNATION, offer)))


def _find_customer_us(customers: int, seed: int) -> float:
    """Mean time of a lookup by name, over all customers."""
    document = make_service_document(customers)
    names = [customer.name for customer in document.customers]
    return cpu_us(lambda: lambda: [document.customer(name) for name in names]) / customers


class _HostList(msgspec.Struct, frozen=True):
    hosts: tuple[HostEntry, ...]


def make_host_list(hosts: int) -> bytes:
    """Return an encoded host list of `hosts` hosts, about a third of them entry hosts."""
    return msgspec.json.encode(_HostList(tuple(_make_entry(i) for i in range(hosts))))


def _make_entry(number: int) -> HostEntry:
    is_entry = number % 3 == 0
    address = f"10.{number % 11}.{number // 250}.{number % 250}:8080"
    return HostEntry(
        host=host_name(number) if is_entry else upstream_id(number),
        kind=HostKind.ENTRY if is_entry else HostKind.UPSTREAM,
        address=address,
        failure_domain=FailureDomain(f"domain-{number % 11:02d}"),
        state=ListedState.LIVE,
        service=None if is_entry else ServiceName("assistant"),
        peer_address=address if is_entry else None,
    )


def _host_list_bytes(hosts: int, seed: int) -> float:
    return len(make_host_list(hosts))


def _decode_host_list_us(hosts: int, seed: int) -> float:
    """Time to decode a host list, without the validation that the client adds."""
    data = make_host_list(hosts)
    return cpu_us(lambda: lambda: msgspec.json.decode(data, type=_HostList))


_CUSTOMER_COUNTS = (100, 600, 1_800)
_ROUTE_COUNTS = (8, 32, 128)
_BATCH_SIZES = (10, 50, 200)
_CLAIM_RATES = (10, 60, 200)
_HOST_COUNTS = (100, 400, 930)

_owner_case = partial(Case, "claim owner")
_follower_case = partial(Case, "follower")

RECORD_CASES = (
    _owner_case(
        "claim index", "keys in the window", Unit.MEMORY, (2_000, 8_000, 40_000), _index_bytes
    ),
    _owner_case(
        "claim index, one batch", "claims in the batch", Unit.CPU, _BATCH_SIZES, _apply_batch_us
    ),
    _owner_case(
        "decoding of one batch", "claims in the batch", Unit.CPU, _BATCH_SIZES, _batch_decode_us
    ),
    _owner_case(
        "record of one batch", "claims in the batch", Unit.WIRE, _BATCH_SIZES, _batch_bytes
    ),
    _owner_case("appends/s of one partition", "claims/s", Unit.COUNT, _CLAIM_RATES, _appends_per_s),
    _owner_case("reads/s of one partition", "claims/s", Unit.COUNT, _CLAIM_RATES, _reads_per_s),
    _owner_case("decisions of one partition in 1 s", "claims/s", Unit.CPU, _CLAIM_RATES, _owner_us),
    _follower_case("document", "customers", Unit.WIRE, _CUSTOMER_COUNTS, _customer_document_bytes),
    _follower_case("document", "routes", Unit.WIRE, _ROUTE_COUNTS, _route_document_bytes),
    _follower_case(
        "document decoded and checked",
        "customers",
        Unit.CPU,
        _CUSTOMER_COUNTS,
        _decode_customers_us,
    ),
    _follower_case(
        "document decoded and checked", "routes", Unit.CPU, _ROUTE_COUNTS, _decode_routes_us
    ),
    _follower_case(
        "record decoded and decided on", "customers", Unit.CPU, _CUSTOMER_COUNTS, _apply_record_us
    ),
    _follower_case(
        "document in force", "customers", Unit.MEMORY, _CUSTOMER_COUNTS, _follower_bytes
    ),
    _follower_case(
        "document offered to a peer", "customers", Unit.WIRE, _CUSTOMER_COUNTS, _offer_bytes
    ),
    _follower_case("host list", "hosts", Unit.WIRE, _HOST_COUNTS, _host_list_bytes),
    _follower_case("host list decoded", "hosts", Unit.CPU, _HOST_COUNTS, _decode_host_list_us),
    Case(
        "entry daemon",
        "customer found by name",
        "customers",
        Unit.CPU,
        _CUSTOMER_COUNTS,
        _find_customer_us,
    ),
)
