"""Finds entries of a valid configuration that have no effect or contradict each other."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, fields
from typing import Any

from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_policy.routetable import CustomerPolicy, Route, RouteTable

__all__ = ["Change", "Finding", "check_document", "check_route_table", "compare"]

_BYTES_PER_MB = 1_048_576
# A host has to hold at least a few bodies at once, beside the process itself.
_MIN_BODIES_PER_HOST = 8
# A value is shown up to this length, as names and prefixes may have any.
_MAX_SHOWN_CHARACTERS = 80
# What callers see when an entry of each kind is removed.
_REMOVED = {
    "tier": (),
    "route": ("its requests are refused unless another route matches them",),
    "customer": ("its requests are refused on routes that are not public",),
}


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """An entry that has no effect or contradicts another one.

    Attributes
    ----------
    path : str
        Where the entry is, such as ``$.routes[2].path_prefix``.
    check : str
        Name of the check.
    """

    path: str
    check: str
    message: str


@dataclass(frozen=True, slots=True)
class Change:
    """A difference to the version in force.

    Attributes
    ----------
    entry : str
        Kind and name of the entry, such as ``route stock``.
    what : str
        ``added``, ``removed`` or ``changed``.
    details : tuple of str
        Fields of a changed entry with both values.
    """

    entry: str
    what: str
    details: tuple[str, ...] = ()


def check_route_table(table: RouteTable, *, memory_mb: int | None = None) -> list[Finding]:
    """Return the findings of a route table, each list in the order of its entries.

    Parameters
    ----------
    memory_mb : int, optional
        Memory of the smallest host.
    """
    findings = [*_route_findings(table.routes), *_customer_findings(table.customers)]
    body_bytes = table.limits.max_body_bytes
    if memory_mb is not None and body_bytes * _MIN_BODIES_PER_HOST > memory_mb * _BYTES_PER_MB:
        message = f"{_MIN_BODIES_PER_HOST} bodies of {body_bytes} bytes exceed {memory_mb} MB"
        findings.append(Finding("$.limits.max_body_bytes", "host-memory", message))
    return findings


def check_document(document: ServiceDocument) -> list[Finding]:
    """Return the findings of a valid service document, in the order of its entries."""
    findings = []
    used_tiers = {route.tier for route in document.routes}
    for i, tier in enumerate(document.tiers):
        if tier.name not in used_tiers:
            message = f"no route has the tier {_show(tier.name)}"
            findings.append(Finding(f"$.tiers[{i}]", "unused-tier", message))
    first_token_ms = {tier.name: tier.first_token_ms for tier in document.tiers}
    for i, route in enumerate(document.routes):
        goal_ms = first_token_ms[route.tier]
        if route.deadline_ms < goal_ms:
            message = f"{route.deadline_ms} ms are less than the first token's {goal_ms} ms"
            findings.append(Finding(f"$.routes[{i}].deadline_ms", "timeout-under-goal", message))
    max_waiting = document.limits.max_waiting
    for i, customer in enumerate(document.customers):
        if customer.max_waiting > max_waiting:
            message = f"{customer.max_waiting} exceed the {max_waiting} of the service"
            findings.append(Finding(f"$.customers[{i}].max_waiting", "over-service-limit", message))
    return findings


def compare(before: Any, after: Any) -> list[Change]:
    """Return what differs between two route tables or two service documents, by name."""
    changes: list[Change] = []
    # The version of a route table rises with each of them; that of a document is what runs.
    for name in ("kind", "version", "move") if isinstance(after, ServiceDocument) else ():
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            changes.append(Change(name, "changed", (f"{_show(old)} -> {_show(new)}",)))
    for kind, attribute in (("tier", "tiers"), ("route", "routes"), ("customer", "customers")):
        old = {each.name: each for each in getattr(before, attribute, ())}
        new = {each.name: each for each in getattr(after, attribute, ())}
        for name in sorted({*old, *new}):
            entry = f"{kind} {_show(name)}"
            if name not in old:
                changes.append(Change(entry, "added"))
            elif name not in new:
                changes.append(Change(entry, "removed", _REMOVED[kind]))
            elif old[name] != new[name]:
                changes.append(Change(entry, "changed", tuple(_differences(old[name], new[name]))))
    if before.limits != after.limits:
        changes.append(
            Change("limits", "changed", tuple(_differences(before.limits, after.limits)))
        )
    return changes


def _route_findings(routes: Sequence[Route]) -> Iterator[Finding]:
    first_by_match: dict[tuple[str, str], Route] = {}
    spelling: dict[str, str] = {}
    for i, route in enumerate(routes):
        path = f"$.routes[{i}]"
        host = route.host.lower()
        first = first_by_match.setdefault((host, route.path_prefix), route)
        if first is not route:
            message = f"route {_show(first.name)} has the same host and prefix and comes before"
            yield Finding(path, "hidden-route", message)
        other = spelling.setdefault(host, route.host)
        if other != route.host:
            message = f"{_show(route.host)} and {_show(other)} are the same host"
            yield Finding(f"{path}.host", "host-case", message)
        if ":" in route.host:
            message = f"{_show(route.host)} has a port, which is never compared"
            yield Finding(f"{path}.host", "never-matches", message)
        if "?" in route.path_prefix or not route.path_prefix.startswith("/"):
            message = f"no path begins with {_show(route.path_prefix)}"
            yield Finding(f"{path}.path_prefix", "never-matches", message)
        if route.timeout_ms < route.goal_ms:
            message = f"{route.timeout_ms} ms are less than the goal of {route.goal_ms} ms"
            yield Finding(f"{path}.timeout_ms", "timeout-under-goal", message)


def _customer_findings(customers: Iterable[CustomerPolicy]) -> Iterator[Finding]:
    owners: dict[str, CustomerPolicy] = {}
    for i, customer in enumerate(customers):
        path = f"$.tenants[{i}]"
        cost = customer.units(None)
        if customer.units_per_s > 0 and customer.burst_units < cost:
            message = f"{customer.burst_units:g} are less than the {cost} units of one request"
            yield Finding(f"{path}.burst", "burst-under-cost", message)
        for key in customer.keys:
            owner = owners.setdefault(key, customer)
            if owner is not customer:
                # The key itself is a secret.
                message = f"a key of {_show(owner.name)} belongs to {_show(customer.name)} as well"
                yield Finding(f"{path}.api_keys", "shared-key", message)


def _differences(before: Any, after: Any) -> Iterator[str]:
    names = getattr(before, "__struct_fields__", None) or [each.name for each in fields(before)]
    for name in names:
        old, new = getattr(before, name), getattr(after, name)
        if old == new:
            continue
        # Keys are secrets.
        yield name if name == "keys" else f"{name}: {_show(old)} -> {_show(new)}"


def _show(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:_MAX_SHOWN_CHARACTERS]}..."
