"""What the operator and the workers write to the store, as the product's types."""

import json
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.problems import split_address
from tamarackfield.gateway.configuration import AdapterVersion, DecodedItem, TargetRemoved, UnreadableItem
from tamarackfield.gateway.model import BaseModel, Catalog, Engine, Limits, Route, Service, TargetRecord
from tamarackfield.gateway.replica import Item
from tamarackfield.platform.holdings import MALFORMED, read_holdings

#: Keys that the operator writes.
OPERATOR_PREFIX = 'op/'
#: Keys that workers write, each under its id.
WORKER_PREFIX = 'servers/'
_CONFIG_KEY = 'op/config'
_VERSION_PREFIX = 'op/version/'
_STATES = frozenset(('ready', 'draining'))
_KINDS = frozenset(('idempotent', 'non_idempotent', 'streaming'))


def decode_item(item: Item) -> DecodedItem:
    """Return what an item says.

    Parameters
    ----------
    item : Item
        From the store.

    Returns
    -------
    DecodedItem
        `UnreadableItem` for a configuration or a version that makes no sense. An entry of a worker
        that makes no sense names no target.
    """
    if item.key.startswith(WORKER_PREFIX):
        return _decode_worker(item)
    if item.content is None:
        return UnreadableItem('the operator deleted it')
    try:
        document = json.loads(item.content)
        if item.key == _CONFIG_KEY:
            return decode_catalog(document)
        if item.key.startswith(_VERSION_PREFIX):
            return AdapterVersion(f'{document["model"]}/{document["adapter"]}', int(document['version']))
    except MALFORMED as exc:
        return UnreadableItem(repr(exc))
    return UnreadableItem('key is not known')


def decode_catalog(document: dict[str, Any]) -> Catalog:
    """Read a configuration.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a part that is needed is missing or of another type.
    """
    limits = document['limits']
    return Catalog(
        version=int(document['version']),
        routes=tuple(_decode_route(route) for route in document['routes']),
        services={service['name']: _decode_service(service) for service in document['services']},
        limits=Limits(
            body_bytes=int(limits['max_body_bytes']),
            header_seconds=limits['header_timeout_ms'] / MS_PER_SECOND,
            idle_seconds=limits['idle_timeout_ms'] / MS_PER_SECOND,
        ),
    )


def _decode_route(route: dict[str, Any]) -> Route:
    """Read a route; ``kind`` says whether a request may be repeated and whether its answer is a stream."""
    kind = route['kind']
    if kind not in _KINDS:
        raise ValueError(f'route kind {kind!r} is not known')
    split = route.get('traffic_split') or [{'service': route['service'], 'weight': 1}]
    return Route(
        name=route['name'],
        host=route['hostname'],
        prefix=route['path_prefix'],
        repeatable=kind == 'idempotent',
        streaming=kind == 'streaming',
        resumable=bool(route.get('resumable')),
        timeout_seconds=route['timeout_ms'] / MS_PER_SECOND,
        objective_seconds=route.get('target_latency_ms', route['timeout_ms']) / MS_PER_SECOND,
        priority=int(route.get('priority', 0)),
        # Counts the workers that a request may be sent to, not the sends.
        max_targets=max(1, int(route.get('max_attempts', 1))),
        splits=tuple((part['service'], float(part['weight'])) for part in split),
    )


def _decode_service(service: dict[str, Any]) -> Service:
    engine = service.get('engine')
    return Service(
        service['name'],
        int(service.get('max_conns', 0)),
        None if engine is None else _decode_engine(engine),
    )


def _decode_engine(engine: dict[str, Any]) -> Engine:
    """Read an engine; its ``weights_mb`` is memory for weights and adapters, a model's is its size."""
    models = tuple(
        BaseModel(model['name'], float(model['weights_mb']), float(model.get('adapter_size_mb', 0)))
        for model in engine['models']
    )
    return Engine(
        batch=int(engine['slots']),
        adapter_places=int(engine.get('adapter_slots', 0)),
        weight_mb=float(engine['weights_mb']),
        loads_per_second=float(engine.get('loads_per_s', 1)),
        models=models,
    )


def _decode_worker(item: Item) -> DecodedItem:
    """Read a worker's entry; the id stands only in the key."""
    name = item.key.removeprefix(WORKER_PREFIX)
    if item.content is None:
        return TargetRemoved(name)
    try:
        return _read_worker(name, json.loads(item.content))
    except MALFORMED:
        return TargetRemoved(name)


def _read_worker(name: str, entry: dict[str, Any]) -> TargetRecord:
    started_ms, state = entry['born'], entry['state']
    texts = (entry['service'], entry['address'], entry['zone'])
    whole = isinstance(started_ms, int) and not isinstance(started_ms, bool)
    if state not in _STATES or not whole or not all(isinstance(text, str) for text in texts):
        raise ValueError('a field is of another type or has a value that is not known')
    return TargetRecord(
        name=name,
        service=entry['service'],
        zone=entry['zone'],
        address=split_address(entry['address']),
        # Requests that it works on at the same time; a model worker's batch.
        batch=int(entry['slots']),
        draining=state == 'draining',
        started_ms=started_ms,
        holdings=tuple(read_holdings(entry.get('models', []))),
    )
