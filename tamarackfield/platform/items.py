"""Decoding of the items that the operator and the workers write to the store."""

import ipaddress
import json
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.fields import MALFORMED, require_decimal, require_list, require_text, require_whole
from tamarackfield.core.problems import Address, split_address
from tamarackfield.gateway.authentication import digest_key
from tamarackfield.gateway.configuration import AdapterVersion, DecodedItem, TargetRemoved, UnreadableItem
from tamarackfield.gateway.model import (
    DEFAULT_PAUSE_SECONDS,
    BaseModel,
    Catalog,
    Customer,
    Engine,
    Limits,
    Quota,
    Route,
    Service,
    TargetRecord,
)
from tamarackfield.gateway.replica import Item
from tamarackfield.platform.holdings import read_holdings

#: Prefix of all keys, those of the operator and those of workers: one watch of it follows both.
STORE_PREFIX = ''
#: Prefix of the keys that workers write, each under its id.
WORKER_PREFIX = 'servers/'
_CONFIG_KEY = 'op/config'
_VERSION_PREFIX = 'op/version/'
_WORKER_STATES = frozenset(('ready', 'draining'))
#: Unit of a quota that counts tokens; with any other, it counts requests.
_TOKEN_UNIT = 'token_count'
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
            model, adapter = require_text(document['model']), require_text(document['adapter'])
            return AdapterVersion(f'{model}/{adapter}', require_whole(document['version']))
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
        version=require_whole(document['version']),
        routes=tuple(_decode_route(route) for route in require_list(document['routes'])),
        services={service.name: service for service in map(_decode_service, require_list(document['services']))},
        limits=Limits(
            body_bytes=require_whole(limits['max_body_bytes']),
            header_seconds=_read_seconds(limits['header_timeout_ms']),
            idle_seconds=_read_seconds(limits['idle_timeout_ms']),
        ),
        customers=_decode_customers(document.get('tenants')),
    )


def _decode_customers(tenants: Any) -> dict[str, Customer] | None:
    """Decode the customers of a configuration; None without the member."""
    if tenants is None:
        return None
    customers = [_decode_customer(tenant) for tenant in require_list(tenants)]
    return {customer.name: customer for customer in customers}


def _decode_customer(tenant: dict[str, Any]) -> Customer:
    """Decode a customer; ``rate_per_s`` and ``burst`` count what ``unit`` says, and 0 sets no limit."""
    priority = tenant.get('priority')
    return Customer(
        name=require_text(tenant['name']),
        key_digests=frozenset(
            digest_key(require_text(key).encode()) for key in require_list(tenant.get('api_keys') or [])
        ),
        priority=None if priority is None else require_whole(priority),
        quota=_decode_quota(tenant),
    )


def _decode_quota(tenant: dict[str, Any]) -> Quota | None:
    rate = require_decimal(tenant.get('rate_per_s') or 0)
    if not rate:
        return None
    return Quota(
        counts_tokens=tenant.get('unit') == _TOKEN_UNIT,
        plain_tokens=require_whole(tenant.get('plain_tokens') or 0),
        per_second=rate,
        burst=require_decimal(tenant.get('burst') or 0),
    )


def _decode_route(route: dict[str, Any]) -> Route:
    """Decode a route; ``kind`` states whether requests are idempotent and whether answers are streams."""
    kind = route['kind']
    if kind not in _ROUTE_KINDS:
        raise ValueError(f'route kind {kind!r} is not one of {sorted(_ROUTE_KINDS)}')
    traffic_split = require_list(route.get('traffic_split') or [{'service': route['service'], 'weight': 1}])
    return Route(
        name=require_text(route['name']),
        host=require_text(route['hostname']),
        prefix=require_text(route['path_prefix']),
        repeatable=kind == 'idempotent',
        streaming=kind == 'streaming',
        resumable=bool(route.get('resumable')),
        timeout_seconds=_read_seconds(route['timeout_ms']),
        objective_seconds=_read_seconds(route.get('target_latency_ms', route['timeout_ms'])),
        priority=require_whole(route.get('priority', 0)),
        # Limits the workers that a request may be sent to, not the number of sends.
        max_targets=max(1, require_whole(route.get('max_attempts', 1))),
        splits=tuple((require_text(share['service']), require_decimal(share['weight'])) for share in traffic_split),
        pause_seconds=_read_seconds(route['gap_target_ms']) if 'gap_target_ms' in route else DEFAULT_PAUSE_SECONDS,
        public=bool(route.get('public')),
    )


def _decode_service(service: dict[str, Any]) -> Service:
    engine = service.get('engine')
    return Service(
        require_text(service['name']),
        require_whole(service.get('max_conns', 0)),
        None if engine is None else _decode_engine(engine),
        str(service.get('health_path', '')),
    )


def _decode_engine(engine: dict[str, Any]) -> Engine:
    """Decode an engine.

    Its ``weights_mb`` is the memory for weights and adapters, that of a model is the size of its weights.
    """
    models = tuple(
        BaseModel(
            require_text(model['name']),
            require_decimal(model['weights_mb']),
            require_decimal(model.get('adapter_size_mb', 0)),
        )
        for model in require_list(engine['models'])
    )
    return Engine(
        batch=require_whole(engine['slots']),
        adapter_places=require_whole(engine.get('adapter_slots', 0)),
        weight_mb=require_decimal(engine['weights_mb']),
        loads_per_second=require_decimal(engine.get('loads_per_s', 1)),
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
    if entry['state'] not in _WORKER_STATES:
        raise ValueError('state of the worker is unknown')
    if isinstance(entry['born'], float):
        raise TypeError('start of the worker is not a whole number')
    return TargetRecord(
        name=require_text(name),
        service=require_text(entry['service']),
        zone=require_text(entry['zone']),
        address=_read_address(entry['address']),
        # Number of requests that it runs at once; for a model worker, its batch size.
        batch=require_whole(entry['slots']),
        draining=entry['state'] == 'draining',
        started_ms=require_whole(entry['born']),
        holdings=tuple(read_holdings(entry.get('models', []))),
    )


def _read_address(text: Any) -> Address:
    """Return an address to which connections can be opened."""
    host, port = split_address(require_text(text))
    if not port or ipaddress.ip_address(host).is_unspecified:
        raise ValueError(f'{text!r} is not the address of a worker')
    return host, port


def _read_seconds(milliseconds: Any) -> float:
    return require_decimal(milliseconds) / MS_PER_SECOND
