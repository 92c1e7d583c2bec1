"""Check of a configuration before it is published: what contradicts itself, can never match, or changes for customers.

The functions take catalogs that the parser of the entries has accepted, so that nothing is found here which an entry
would refuse.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum

from tamarackfield.gateway.model import Catalog, Customer, Engine, Route


class Severity(StrEnum):
    """Whether a finding keeps requests from being served."""

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """Fault of a configuration, with the place at which it is."""

    severity: Severity
    place: str
    text: str


def find_faults(catalog: Catalog) -> list[Finding]:
    """Return the faults of a configuration, errors first.

    Examples
    --------
    >>> from tamarackfield.gateway.tests.samples import make_catalog, make_route
    >>> [finding.text for finding in find_faults(make_catalog(make_route('/a/', service='gone')))]
    ["service 'gone' is not configured", 'no route uses the service', 'no route uses the service']
    """
    findings = [*_check_routes(catalog), *_check_services(catalog), *_check_customers(catalog)]
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def list_changes(catalog: Catalog, in_force: Catalog) -> list[str]:
    """Return what differs from the configuration in force, and which customers notice.

    Parameters
    ----------
    catalog, in_force : Catalog
        Configuration to be published, and the one that it replaces.
    """
    changes = []
    if catalog.version <= in_force.version:
        changes.append(f'version {catalog.version} is not above {in_force.version}: entries ignore it')
    changes += _compare('route', _by_name(in_force.routes), _by_name(catalog.routes))
    changes += _compare('service', in_force.services, catalog.services)
    changes += [f'limits: {change}' for change in _compare_fields(in_force.limits, catalog.limits)]
    if (catalog.customers is None) != (in_force.customers is None):
        changes.append(f'authentication is {"off" if catalog.customers is None else "on"}: every caller notices')
    return changes + list(_compare_customers(in_force.customers or {}, catalog.customers or {}))


def _check_routes(catalog: Catalog) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for route in catalog.routes:
        place = f'route {route.name}'
        for service, weight in route.splits:
            if service not in catalog.services:
                yield Finding(Severity.ERROR, place, f'service {service!r} is not configured')
            elif weight <= 0:
                yield Finding(Severity.WARNING, place, f'service {service!r} has weight {weight:g} and gets no request')
        if not any(weight > 0 for _, weight in route.splits):
            yield Finding(Severity.ERROR, place, 'no service has a weight above 0')
        # Paths begin with a slash; a prefix that does not can match none of them.
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield Finding(Severity.ERROR, place, f'prefix {route.prefix!r} does not begin and end with a slash')
        first = seen.setdefault((route.host.lower(), route.prefix), route.name)
        if first != route.name:
            yield Finding(Severity.ERROR, place, f'never matches: route {first} has the same host and prefix')
        yield from _check_times(route, place)


def _check_times(route: Route, place: str) -> Iterator[Finding]:
    if route.timeout_seconds <= 0:
        yield Finding(Severity.ERROR, place, f'time-out of {route.timeout_seconds:g} s: no request can be answered')
    elif route.objective_seconds > route.timeout_seconds:
        text = (
            f'latency objective of {route.objective_seconds:g} s is above the time-out of {route.timeout_seconds:g} s'
        )
        yield Finding(Severity.WARNING, place, text)
    if route.streaming and route.pause_seconds > route.timeout_seconds:
        text = f'longest pause of {route.pause_seconds:g} s is above the time-out of {route.timeout_seconds:g} s'
        yield Finding(Severity.WARNING, place, text)
    if route.resumable and route.max_targets == 1:
        yield Finding(Severity.WARNING, place, 'streams may be resumed, but only one target is allowed')


def _check_services(catalog: Catalog) -> Iterator[Finding]:
    used = {service for route in catalog.routes for service, _ in route.splits}
    for service in catalog.services.values():
        place = f'service {service.name}'
        if service.name not in used:
            yield Finding(Severity.WARNING, place, 'no route uses the service')
        if service.engine is not None:
            yield from _check_engine(service.engine, place)


def _check_engine(engine: Engine, place: str) -> Iterator[Finding]:
    if engine.batch < 1:
        yield Finding(Severity.ERROR, place, 'batch of 0: no request can run')
    if not engine.models:
        yield Finding(Severity.ERROR, place, 'engine has no model')
    for model in engine.models:
        free_mb = engine.weight_mb - model.weight_mb
        if free_mb < 0:
            text = f'model {model.name} with {model.weight_mb:g} MB exceeds the memory of {engine.weight_mb:g} MB'
            yield Finding(Severity.ERROR, place, text)
        elif model.adapter_mb and free_mb < engine.adapter_places * model.adapter_mb:
            fitting = int(free_mb // model.adapter_mb)
            text = f'beside model {model.name}, {fitting} adapters fit into {engine.adapter_places} adapter slots'
            yield Finding(Severity.WARNING, place, text)


def _check_customers(catalog: Catalog) -> Iterator[Finding]:
    customers = catalog.customers
    if customers is None:
        return
    holders = Counter(digest for customer in customers.values() for digest in customer.key_digests)
    for customer in customers.values():
        place = f'customer {customer.name}'
        if not customer.key_digests:
            yield Finding(Severity.WARNING, place, 'has no API key: nobody can call for it')
        if any(holders[digest] > 1 for digest in customer.key_digests):
            yield Finding(Severity.ERROR, place, 'has an API key that another customer has as well')
        quota = customer.quota
        smallest = quota.plain_tokens if quota and quota.counts_tokens else 1
        if quota and quota.burst < smallest:
            text = f'burst of {quota.burst:g} is below the {smallest} that a plain request counts: it never passes'
            yield Finding(Severity.ERROR, place, text)


def _compare_customers(before: dict[str, Customer], after: dict[str, Customer]) -> Iterator[str]:
    yield from _list_presence('customer', before, after)
    for name in before.keys() & after.keys():
        old, new = before[name], after[name]
        removed, added = len(old.key_digests - new.key_digests), len(new.key_digests - old.key_digests)
        if removed or added:
            yield f'customer {name}: {removed} API keys removed, {added} added'
        if old.priority != new.priority:
            yield f'customer {name}: priority {old.priority} -> {new.priority}'
        if old.quota != new.quota:
            yield f'customer {name}: quota {old.quota} -> {new.quota}'


def _compare(kind: str, before: dict[str, object], after: dict[str, object]) -> Iterator[str]:
    yield from _list_presence(kind, before, after)
    for name in sorted(before.keys() & after.keys()):
        changes = ', '.join(_compare_fields(before[name], after[name]))
        if changes:
            yield f'{kind} {name}: {changes}'


def _list_presence(kind: str, before: dict[str, object], after: dict[str, object]) -> Iterator[str]:
    yield from (f'{kind} {name} is removed' for name in sorted(before.keys() - after.keys()))
    yield from (f'{kind} {name} is new' for name in sorted(after.keys() - before.keys()))


def _compare_fields(before: object, after: object) -> Iterator[str]:
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f'{field.name} {old} -> {new}'


def _by_name(routes: Iterable[Route]) -> dict[str, object]:
    return {route.name: route for route in routes}
