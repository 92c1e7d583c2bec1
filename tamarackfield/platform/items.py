"""Decoding of the items that the operator and the workers write to the store."""

import json
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.problems import split_address
from tamarackfield.gateway.configuration import AdapterVersion, DecodedItem, TargetRemoved, UnreadableItem
from tamarackfield.gateway.model import (
    DEFAULT_PAUSE_SECONDS,
    BaseModel,
    Catalog,
    Engine,
    Limits,
    Route,
    Service,
    TargetRecord,
)
from tamarackfield.gateway.replica import Item
from tamarackfield.platform.holdings import MALFORMED, read_holdings

#: Prefix of all keys, those of the operator and those of workers: one watch of it follows both.
STORE_PREFIX = ''
#: Prefix of the keys that workers write, each under its id.
WORKER_PREFIX = 'servers/'
_CONFIG_KEY = 'op/config'
_VERSION_PREFIX = 'op/version/'
_WORKER_STATES = frozenset(('ready', 'draining'))
_ROUTE_KINDS = frozenset(('idempotent', 'non_idempotent', 'streaming'))


def decode_item(item: Item) -> DecodedItem:
    """Decode an item.

    Parameters
    ----------
    item : Item
        Item read from the store or from a peer.

    Returns
    -------
    DecodedItem
        `UnreadableItem` for a malformed configuration or version, `TargetRemoved` for a malformed entry
        of a worker.
    """
    if item.key.startswith(WORKER_PREFIX):
        return _decode_worker_item(item)
    if item.content is None:
        return UnreadableItem('item was deleted by the operator')
    try:
        document = json.loads(item.content)
        if item.key == _CONFIG_KEY:
            return decode_catalog(document)
        if item.key.startswith(_VERSION_PREFIX):
            return AdapterVersion(f'{document["model"]}/{document["adapter"]}', int(document['version']))
    except MALFORMED as exc:
        return UnreadableItem(repr(exc))
    return UnreadableItem('key is unknown')


def decode_catalog(document: dict[str, Any]) -> Catalog:
    """Decode a configuration.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a required member is missing or of the wrong type.
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
    """Decode a route; ``kind`` states whether requests are idempotent and whether answers are streams."""
    kind = route['kind']
    if kind not in _ROUTE_KINDS:
        raise ValueError(f'route kind {kind!r} is not one of {sorted(_ROUTE_KINDS)}')
    traffic_split = route.get('traffic_split') or [{'service': route['service'], 'weight': 1}]
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
        # Limits the workers that a request may be sent to, not the number of sends.
        max_targets=max(1, int(route.get('max_attempts', 1))),
        splits=tuple((share['service'], float(share['weight'])) for share in traffic_split),
        pause_seconds=route['gap_target_ms'] / MS_PER_SECOND if 'gap_target_ms' in route else DEFAULT_PAUSE_SECONDS,
    )


def _decode_service(service: dict[str, Any]) -> Service:
    engine = service.get('engine')
    return Service(
        service['name'],
        int(service.get('max_conns', 0)),
        None if engine is None else _decode_engine(engine),
    )


def _decode_engine(engine: dict[str, Any]) -> Engine:
    """Decode an engine.

    Its ``weights_mb`` is the memory for weights and adapters, that of a model is the size of its weights.
    """
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


def _decode_worker_item(item: Item) -> DecodedItem:
    """Decode a worker's entry, whose id is only in the key."""
    name = item.key.removeprefix(WORKER_PREFIX)
    if item.content is None:
        return TargetRemoved(name)
    try:
        return _decode_worker_entry(name, json.loads(item.content))
    except MALFORMED as exc:
        return TargetRemoved(name, fault=repr(exc))


def _decode_worker_entry(name: str, entry: dict[str, Any]) -> TargetRecord:
    started_ms, state = entry['born'], entry['state']
    string_members = (entry['service'], entry['address'], entry['zone'])
    has_integer_start = isinstance(started_ms, int) and not isinstance(started_ms, bool)
    if (
        state not in _WORKER_STATES
        or not has_integer_start
        or not all(isinstance(member, str) for member in string_members)
    ):
        raise ValueError('worker entry has a field of the wrong type or an unknown state')
    return TargetRecord(
        name=name,
        service=entry['service'],
        zone=entry['zone'],
        address=split_address(entry['address']),
        # Number of requests that it runs at once; for a model worker, its batch size.
        batch=int(entry['slots']),
        draining=state == 'draining',
        started_ms=started_ms,
        holdings=tuple(read_holdings(entry.get('models', []))),
    )
