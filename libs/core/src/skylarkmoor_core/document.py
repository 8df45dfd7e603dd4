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

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


class ServiceKind(Enum):
    """What kind of upstream runs a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the parts of a document; unknown fields are refused."""


class Tier(_Strict, frozen=True):
    """A tier of requests; rank 0 is the highest."""

    name: str
    rank: TierRank
    first_token_ms: int = 400
    between_tokens_ms: int = 70


class Route(_Strict, frozen=True):
    """A kind of request that callers name."""

    name: RouteName
    tier: str
    idempotent: bool = True
    max_output_tokens: int = 1024
    deadline_ms: int = 60_000


class Customer(_Strict, frozen=True):
    """A customer with its share of the service and its limits."""

    name: CustomerId
    share: int = 1
    requests_per_s: int = 100
    max_waiting: int = 100


class Limits(_Strict, frozen=True):
    """Bounds that hold for the whole service."""

    max_body_bytes: int = 1_000_000
    max_waiting: int = 1_000
    max_answer_buffer_bytes: int = 256_000
    retry_budget_percent: int = 10
    dedup_window_ms: int = 600_000


class VersionMove(_Strict, frozen=True):
    """A move of traffic to a new version.

    Attributes
    ----------
    version : str
        The version wanted.
    by_ms : int
        Time in epoch milliseconds by which all traffic uses it or none does.
    steps_percent : tuple of int
        Rising shares of traffic, the last of them 100.
    step_ms : int
        Shortest time between two steps.
    min_requests : int
        Requests of the new version that a step needs as evidence.
    max_error_percent : int
        Errors above those of the old version that stop the move.
    max_slowdown_percent : int
        Slowdown against the old version that stops the move.
    comparison_percent : int
        Share of traffic that stays on the old version until the move is done, so that both
        versions are compared under the same load up to the end.
    max_new_requests_per_s : int
        Requests of the new version, by the rate seen when a step begins, that the step's share
        is limited to until the move is done. It bounds what fails before a stop.
    max_new_in_flight : int
        Requests of the new version that the whole fleet runs at once until the move is done,
        divided between the daemons, with at least one for each. A version that becomes slow
        hurts all requests that it is running.
    max_watch_ms : int
        Longest time that the last step goes on while there is time until `by_ms`.
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


class ServiceDocument(_Strict, frozen=True):
    """What one service's team declares."""

    service: ServiceName
    kind: ServiceKind
    tiers: tuple[Tier, ...]
    routes: tuple[Route, ...]
    customers: tuple[Customer, ...]
    version: VersionId
    move: VersionMove | None = None
    limits: Limits = Limits()

    def route(self, name: str) -> Route | None:
        """Return the route called `name`, if there is one."""
        return next((route for route in self.routes if route.name == name), None)

    def customer(self, name: str) -> Customer | None:
        """Return the customer called `name`, if there is one."""
        return next((customer for customer in self.customers if customer.name == name), None)

    def tier(self, name: str) -> Tier | None:
        """Return the tier called `name`, if there is one."""
        return next((tier for tier in self.tiers if tier.name == name), None)


def decode_document(data: bytes) -> ServiceDocument:
    """Read and validate a service document.

    Parameters
    ----------
    data : bytes
        JSON text.

    Raises
    ------
    DocumentError
        If the text is not JSON or does not have the schema's shape.
    ExceptionGroup
        Of `DocumentError`, one for each rule that a well-formed document breaks.
    """
    try:
        document = msgspec.json.decode(data, type=ServiceDocument)
    except msgspec.DecodeError as error:
        raise DocumentError(f"$: {error}") from error
    validate_document(document)
    return document


def encode_document(document: ServiceDocument) -> bytes:
    """Return `document` as JSON text."""
    return msgspec.json.encode(document)


def validate_document(document: ServiceDocument) -> None:
    """Check the rules that the schema cannot express.

    Raises
    ------
    ExceptionGroup
        Of `DocumentError`, one for each rule broken; each message starts with the path.
    """
    faults = list(_faults(document))
    if faults:
        raise ExceptionGroup(f"service document {document.service!r} is invalid", faults)


def _faults(document: ServiceDocument) -> Iterator[DocumentError]:
    yield from _name_faults(document)
    yield from _reference_faults(document)
    yield from _number_faults(document)
    yield from _move_faults(document)


def _name_faults(document: ServiceDocument) -> Iterator[DocumentError]:
    if not _NAME.fullmatch(document.service):
        yield DocumentError(f"$.service: {document.service!r} is not a valid name")
    if not _NAME.fullmatch(document.version):
        yield DocumentError(f"$.version: {document.version!r} is not a valid name")
    groups: list[tuple[str, Sequence[Tier | Route | Customer]]] = [
        ("tiers", document.tiers),
        ("routes", document.routes),
        ("customers", document.customers),
    ]
    for group, items in groups:
        if not items:
            yield DocumentError(f"$.{group}: at least one is needed")
        seen: set[str] = set()
        for i, item in enumerate(items):
            if not _NAME.fullmatch(item.name):
                yield DocumentError(f"$.{group}[{i}].name: {item.name!r} is not a valid name")
            if item.name in seen:
                yield DocumentError(f"$.{group}[{i}].name: {item.name!r} stands twice")
            seen.add(item.name)


def _reference_faults(document: ServiceDocument) -> Iterator[DocumentError]:
    for i, route in enumerate(document.routes):
        if document.tier(route.tier) is None:
            yield DocumentError(f"$.routes[{i}].tier: no tier is called {route.tier!r}")
        if not route.idempotent and document.kind is ServiceKind.ENGINE:
            yield DocumentError(f"$.routes[{i}].idempotent: engine routes must be idempotent")
    ranks = sorted(tier.rank for tier in document.tiers)
    if ranks != list(range(len(ranks))):
        yield DocumentError(f"$.tiers: ranks must be 0, 1, 2 and so on, got {ranks}")


def _number_faults(document: ServiceDocument) -> Iterator[DocumentError]:
    parts: list[tuple[str, _Strict]] = [("$.limits", document.limits)]
    parts += [(f"$.tiers[{i}]", tier) for i, tier in enumerate(document.tiers)]
    parts += [(f"$.routes[{i}]", route) for i, route in enumerate(document.routes)]
    parts += [(f"$.customers[{i}]", customer) for i, customer in enumerate(document.customers)]
    if document.move is not None:
        parts.append(("$.move", document.move))
    for path, part in parts:
        for name in part.__struct_fields__:
            value = getattr(part, name)
            if type(value) is int and name != "rank" and value <= 0:
                yield DocumentError(f"{path}.{name}: must be positive, got {value}")


def _move_faults(document: ServiceDocument) -> Iterator[DocumentError]:
    move = document.move
    if move is None:
        return
    if move.version == document.version:
        yield DocumentError(f"$.move.version: {move.version!r} is already the version in service")
    if move.comparison_percent >= 100:
        got = move.comparison_percent
        yield DocumentError(f"$.move.comparison_percent: must be below 100, got {got}")
    steps = list(move.steps_percent)
    if not steps or steps[-1] != 100:
        yield DocumentError(f"$.move.steps_percent: the last step must be 100, got {steps}")
    if steps != sorted(set(steps)) or any(not 1 <= step <= 100 for step in steps):
        yield DocumentError(f"$.move.steps_percent: steps must rise from 1 to 100, got {steps}")
