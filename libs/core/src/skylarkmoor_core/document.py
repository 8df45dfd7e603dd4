"""The service document: its schema and its validation."""

import re
from collections.abc import Iterator, Sequence
from enum import Enum

import msgspec

from skylarkmoor_core.errors import DocumentError
from skylarkmoor_core.ids import CustomerId, RouteName, ServiceName, TierRank, VersionId

__all__ = [
    "Customer",
    "Limits",
    "Route",
    "ServiceDocument",
    "ServiceKind",
    "Tier",
    "VersionMove",
    "decode_document",
    "encode_document",
    "validate_document",
]

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


class ServiceKind(Enum):
    """Kind of a service's upstreams: inference engines or plain servers."""

    ENGINE = "engine"
    PLAIN = "plain"


class _DocumentStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the types of a document; decoding rejects unknown fields."""


class Tier(_DocumentStruct, frozen=True):
    """A priority tier with its latency bounds; rank 0 is the highest priority."""

    name: str
    rank: TierRank
    first_token_ms: int = 400
    between_tokens_ms: int = 70


class Route(_DocumentStruct, frozen=True):
    """A request type that callers select by name."""

    name: RouteName
    tier: str
    idempotent: bool = True
    max_output_tokens: int = 1024
    deadline_ms: int = 60_000


class Customer(_DocumentStruct, frozen=True):
    """A customer with its weight in fair sharing and its limits."""

    name: CustomerId
    share: int = 1
    requests_per_s: int = 100
    max_waiting: int = 100


class Limits(_DocumentStruct, frozen=True):
    """Limits of the whole service."""

    max_body_bytes: int = 1_000_000
    max_waiting: int = 1_000
    max_answer_buffer_bytes: int = 256_000
    retry_budget_percent: int = 10
    dedup_window_ms: int = 600_000


class VersionMove(_DocumentStruct, frozen=True):
    """A gradual move of traffic to a new version.

    Attributes
    ----------
    version : str
        The target version.
    by_ms : int
        Deadline in epoch milliseconds: by then all traffic uses the new version or none does.
    steps_percent : tuple of int
        Increasing shares of traffic, the last of them 100.
    step_ms : int
        Minimum time between two steps.
    min_requests : int
        Minimum number of requests of the new version before a step may end.
    max_error_percent : int
        Excess of the new version's error rate over the old version's, in percentage points,
        that stops the move.
    max_slowdown_percent : int
        Slowdown relative to the old version that stops the move.
    comparison_percent : int
        Share of traffic that stays on the old version until the move is done, so that both
        versions are compared under the same load throughout.
    max_new_requests_per_s : int
        Maximum request rate of the new version until the move is done. It limits the share of a
        step, computed from the request rate at the start of the step, and so bounds the number
        of requests that fail before a stop.
    max_new_in_flight : int
        Maximum number of requests of the new version in flight in the whole fleet until the move
        is done, divided between the daemons, with at least one for each. A version that becomes
        slow delays all requests that it is running.
    max_watch_ms : int
        Maximum duration of the last step, which ends earlier if `by_ms` is near.
    """

    version: VersionId
    by_ms: int
    steps_percent: tuple[int, ...] = (1, 5, 25, 100)
    step_ms: int = 10_000
    min_requests: int = 20
    max_error_percent: int = 5
    max_slowdown_percent: int = 50
    comparison_percent: int = 25
    max_new_requests_per_s: int = 20
    max_new_in_flight: int = 16
    max_watch_ms: int = 600_000


class ServiceDocument(_DocumentStruct, frozen=True):
    """Declarative configuration of one service."""

    service: ServiceName
    kind: ServiceKind
    tiers: tuple[Tier, ...]
    routes: tuple[Route, ...]
    customers: tuple[Customer, ...]
    version: VersionId
    move: VersionMove | None = None
    limits: Limits = Limits()

    def route(self, name: str) -> Route | None:
        """Return the route called `name`, or None."""
        return next((route for route in self.routes if route.name == name), None)

    def customer(self, name: str) -> Customer | None:
        """Return the customer called `name`, or None."""
        return next((customer for customer in self.customers if customer.name == name), None)

    def tier(self, name: str) -> Tier | None:
        """Return the tier called `name`, or None."""
        return next((tier for tier in self.tiers if tier.name == name), None)


def decode_document(data: bytes) -> ServiceDocument:
    """Decode and validate a service document.

    Parameters
    ----------
    data : bytes
        JSON text.

    Raises
    ------
    DocumentError
        If the text is not JSON or does not match the schema.
    ExceptionGroup
        Of `DocumentError`, one for each validation rule that the document violates.
    """
    try:
        document = msgspec.json.decode(data, type=ServiceDocument)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(f"$: {error}") from error
    validate_document(document)
    return document


def encode_document(document: ServiceDocument) -> bytes:
    """Encode `document` as JSON text."""
    return msgspec.json.encode(document)


def validate_document(document: ServiceDocument) -> None:
    """Check the rules that the schema cannot express.

    Raises
    ------
    ExceptionGroup
        Of `DocumentError`, one for each violated rule; each message starts with the
        path of the field.
    """
    errors = list(_document_errors(document))
    if errors:
        raise ExceptionGroup(f"service document {document.service!r} is invalid", errors)


def _document_errors(document: ServiceDocument) -> Iterator[DocumentError]:
    yield from _name_errors(document)
    yield from _reference_errors(document)
    yield from _number_errors(document)
    yield from _move_errors(document)


def _name_errors(document: ServiceDocument) -> Iterator[DocumentError]:
    if not _NAME_PATTERN.fullmatch(document.service):
        yield DocumentError(f"$.service: {document.service!r} is not a valid name")
    if not _NAME_PATTERN.fullmatch(document.version):
        yield DocumentError(f"$.version: {document.version!r} is not a valid name")
    lists: list[tuple[str, Sequence[Tier | Route | Customer]]] = [
        ("tiers", document.tiers),
        ("routes", document.routes),
        ("customers", document.customers),
    ]
    for field, items in lists:
        if not items:
            yield DocumentError(f"$.{field}: at least one is needed")
        seen: set[str] = set()
        for i, item in enumerate(items):
            if not _NAME_PATTERN.fullmatch(item.name):
                yield DocumentError(f"$.{field}[{i}].name: {item.name!r} is not a valid name")
            if item.name in seen:
                yield DocumentError(f"$.{field}[{i}].name: {item.name!r} stands twice")
            seen.add(item.name)


def _reference_errors(document: ServiceDocument) -> Iterator[DocumentError]:
    for i, route in enumerate(document.routes):
        if document.tier(route.tier) is None:
            yield DocumentError(f"$.routes[{i}].tier: no tier is called {route.tier!r}")
        if not route.idempotent and document.kind is ServiceKind.ENGINE:
            yield DocumentError(f"$.routes[{i}].idempotent: engine routes must be idempotent")
    ranks = sorted(tier.rank for tier in document.tiers)
    if ranks != list(range(len(ranks))):
        yield DocumentError(f"$.tiers: ranks must be 0, 1, 2 and so on, got {ranks}")


def _number_errors(document: ServiceDocument) -> Iterator[DocumentError]:
    structs: list[tuple[str, _DocumentStruct]] = [("$.limits", document.limits)]
    structs += [(f"$.tiers[{i}]", tier) for i, tier in enumerate(document.tiers)]
    structs += [(f"$.routes[{i}]", route) for i, route in enumerate(document.routes)]
    structs += [(f"$.customers[{i}]", customer) for i, customer in enumerate(document.customers)]
    if document.move is not None:
        structs.append(("$.move", document.move))
    for path, struct in structs:
        for name in struct.__struct_fields__:
            value = getattr(struct, name)
            if type(value) is int and name != "rank" and value <= 0:
                yield DocumentError(f"{path}.{name}: must be positive, got {value}")


def _move_errors(document: ServiceDocument) -> Iterator[DocumentError]:
    move = document.move
    if move is None:
        return
    if move.version == document.version:
        yield DocumentError(f"$.move.version: {move.version!r} is already the version in service")
    if move.comparison_percent >= 100:
        percent = move.comparison_percent
        yield DocumentError(f"$.move.comparison_percent: must be below 100, got {percent}")
    steps = list(move.steps_percent)
    if not steps or steps[-1] != 100:
        yield DocumentError(f"$.move.steps_percent: the last step must be 100, got {steps}")
    if steps != sorted(set(steps)) or any(not 1 <= step <= 100 for step in steps):
        yield DocumentError(f"$.move.steps_percent: steps must rise from 1 to 100, got {steps}")
