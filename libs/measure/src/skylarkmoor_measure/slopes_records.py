"""Slopes of claims, documents and the host list."""

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

_WINDOW_MS = 600_000
_POLL_MS = 10
# Round trips of a log in the same region.
_APPEND_MS = 10
_READ_MS = 10


def _claim(number: int) -> Claim:
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
    """Memory of an index that has read its claims from the log, 50 to a record."""

    def build() -> object:
        index = ClaimIndex(_WINDOW_MS)
        for offset in range(keys // 50):
            batch = ClaimBatch(entries=tuple(_claim(50 * offset + i) for i in range(50)))
            index.apply(Offset(offset), int(INCARNATION), decode_record(encode_record(batch)))
        return index

    return kept_bytes(build)


def _batch(size: int) -> ClaimBatch:
    return ClaimBatch(entries=tuple(_claim(i) for i in range(size)))


def _apply_us(size: int, seed: int) -> float:
    batch = _batch(size)

    def prepare() -> Callable[[], object]:
        index = ClaimIndex(_WINDOW_MS)
        return lambda: index.apply(Offset(0), int(INCARNATION), batch)

    return cpu_us(prepare)


def _batch_decode_us(size: int, seed: int) -> float:
    data = encode_record(_batch(size))
    return cpu_us(lambda: lambda: decode_record(data))


def _batch_bytes(size: int, seed: int) -> float:
    return len(encode_record(_batch(size)))


class OwnerRun(msgspec.Struct, frozen=True):
    """What an owner did in a run.

    Attributes
    ----------
    answers, appends, reads : int
        Claims answered, and calls to the log.
    cpu_us : float
        Processor time of the owner's decisions.
    """

    answers: int
    appends: int
    reads: int
    cpu_us: float


def run_owner(claims_per_s: int, seconds: int) -> OwnerRun:
    """Drive the owner of one partition with claims at an even rate."""
    host = host_name(0)
    owner = ClaimOwner(host, _WINDOW_MS)
    log: list[LogRecord] = []
    later: dict[int, list[AppendBatch | ReadStream]] = {}
    answers = appends = reads = number = 0
    spent = 0.0
    for now_ms in range(START_MS, START_MS + 1_000 * seconds, _POLL_MS):
        decisions: list[OwnerDecision] = []
        start_us = _thread_us()
        for call in later.pop(now_ms, []):
            match call:
                case AppendBatch(batch=batch):
                    log.append(LogRecord(Offset(len(log)), now_ms, batch))
                    owner.append_succeeded(Offset(len(log) - 1))
                case ReadStream(start=start):
                    decisions += owner.handle_read(log[start:], Offset(0), Offset(len(log)))
        while number < claims_per_s * (now_ms - START_MS) / 1_000:
            number += 1
            decisions += owner.handle_request(*_request(number), now_ms, host)
        decisions += owner.poll(now_ms)
        spent += _thread_us() - start_us
        for decision in decisions:
            match decision:
                case AppendBatch():
                    appends += 1
                    later.setdefault(now_ms + _APPEND_MS, []).append(decision)
                case ReadStream():
                    reads += 1
                    later.setdefault(now_ms + _READ_MS, []).append(decision)
                case _:
                    answers += 1
    return OwnerRun(answers=answers, appends=appends, reads=reads, cpu_us=spent)


def _request(number: int) -> tuple[HostId, ClaimRequest, Incarnation]:
    claim = _claim(number)
    request = ClaimRequest(claim.claim, claim.key_hash, claim.body_hash, claim.issued_wall_ms)
    return claim.host, request, claim.incarnation


_counted = cache(run_owner)


def _thread_us() -> float:
    return thread_time_ns() / 1_000


def _appends_per_s(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return _counted(claims_per_s, seconds).appends / seconds


def _reads_per_s(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return _counted(claims_per_s, seconds).reads / seconds


def _owner_us(claims_per_s: int, seed: int) -> float:
    seconds = 10
    return min(run_owner(claims_per_s, seconds).cpu_us for _ in range(3)) / seconds


def _published(customers: int, routes: int = 8) -> DocumentPublished:
    document = make_service_document(customers, routes)
    return DocumentPublished(
        service=document.service, document=document, based_on=None, author="capacity"
    )


def _document_bytes(customers: int, seed: int) -> float:
    return len(encode_document(make_service_document(customers)))


def _route_bytes(routes: int, seed: int) -> float:
    return len(encode_document(make_service_document(16, routes)))


def _decode_us(customers: int, seed: int) -> float:
    """Time to read a document and to check it."""
    data = encode_document(make_service_document(customers))
    return cpu_us(lambda: lambda: decode_document(data))


def _routes_us(routes: int, seed: int) -> float:
    data = encode_document(make_service_document(16, routes))
    return cpu_us(lambda: lambda: decode_document(data))


def _follow_us(customers: int, seed: int) -> float:
    """Time to decode a record and to decide on it."""
    data = encode_record(_published(customers))

    def prepare() -> Callable[[], object]:
        follower = DocumentFollower()

        def work() -> None:
            decision = follower.apply_record(Offset(0), decode_record(data))
            if not isinstance(decision, DocumentAccepted):
                raise RuntimeError(f"the document was not accepted: {decision}")

        return work

    return cpu_us(prepare)


def _follower_bytes(customers: int, seed: int) -> float:
    data = encode_record(_published(customers))

    def build() -> object:
        follower = DocumentFollower()
        follower.apply_record(Offset(0), decode_record(data))
        return follower

    return kept_bytes(build)


def _offer_bytes(customers: int, seed: int) -> float:
    offer = DocumentOffer(ServiceName("assistant"), Offset(7), make_service_document(customers))
    return len(encode_envelope(Envelope(host_name(0), INCARNATION, offer)))


def _find_customer_us(customers: int, seed: int) -> float:
    """Time to find all customers by name, divided by their number."""
    document = make_service_document(customers)
    names = [customer.name for customer in document.customers]
    return cpu_us(lambda: lambda: [document.customer(name) for name in names]) / customers


class _HostList(msgspec.Struct, frozen=True):
    hosts: tuple[HostEntry, ...]


def make_host_list(hosts: int) -> bytes:
    """Return a list with `hosts` hosts, of which about a third are entry hosts."""
    return msgspec.json.encode(_HostList(tuple(_entry(i) for i in range(hosts))))


def _entry(number: int) -> HostEntry:
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


def _list_bytes(hosts: int, seed: int) -> float:
    return len(make_host_list(hosts))


def _list_us(hosts: int, seed: int) -> float:
    """Time to decode a list, without the checks that the client adds."""
    data = make_host_list(hosts)
    return cpu_us(lambda: lambda: msgspec.json.decode(data, type=_HostList))


_CUSTOMERS = (100, 600, 1_800)
_ROUTES = (8, 32, 128)
_BATCH = (10, 50, 200)
_RATES = (10, 60, 200)
_LISTED = (100, 400, 930)

_owner = partial(Case, "claim owner")
_follower = partial(Case, "follower")

RECORD_CASES = (
    _owner("claim index", "keys in the window", Unit.MEMORY, (2_000, 8_000, 40_000), _index_bytes),
    _owner("claim index, one batch", "claims in the batch", Unit.CPU, _BATCH, _apply_us),
    _owner("decoding of one batch", "claims in the batch", Unit.CPU, _BATCH, _batch_decode_us),
    _owner("record of one batch", "claims in the batch", Unit.WIRE, _BATCH, _batch_bytes),
    _owner("appends/s of one partition", "claims/s", Unit.COUNT, _RATES, _appends_per_s),
    _owner("reads/s of one partition", "claims/s", Unit.COUNT, _RATES, _reads_per_s),
    _owner("decisions of one partition in 1 s", "claims/s", Unit.CPU, _RATES, _owner_us),
    _follower("document", "customers", Unit.WIRE, _CUSTOMERS, _document_bytes),
    _follower("document", "routes", Unit.WIRE, _ROUTES, _route_bytes),
    _follower("document decoded and checked", "customers", Unit.CPU, _CUSTOMERS, _decode_us),
    _follower("document decoded and checked", "routes", Unit.CPU, _ROUTES, _routes_us),
    _follower("record decoded and decided on", "customers", Unit.CPU, _CUSTOMERS, _follow_us),
    _follower("document in force", "customers", Unit.MEMORY, _CUSTOMERS, _follower_bytes),
    _follower("document offered to a peer", "customers", Unit.WIRE, _CUSTOMERS, _offer_bytes),
    _follower("host list", "hosts", Unit.WIRE, _LISTED, _list_bytes),
    _follower("host list decoded", "hosts", Unit.CPU, _LISTED, _list_us),
    Case(
        "entry daemon",
        "customer found by name",
        "customers",
        Unit.CPU,
        _CUSTOMERS,
        _find_customer_us,
    ),
)
