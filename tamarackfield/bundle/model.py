"""Model of a bundle, with the look-ups that the programs need."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tamarackfield.bundle.schema import BUNDLE_SCHEMA
from tamarackfield.core.ids import AdapterRef
from tamarackfield.core.problems import split_address
from tamarackfield.core.settings import fill_defaults

#: Requests that an engine runs at once if its entry does not state them.
DEFAULT_BATCH_SIZE = 8
#: Adapters that an engine keeps loaded if its entry does not state them.
DEFAULT_ADAPTER_SLOTS = 4


@dataclass(frozen=True, slots=True)
class CallerEntry:
    """One caller and the SHA-256 hashes of its keys, in hex."""

    name: str
    key_hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AdapterEntry:
    """One adapter: base model by version, allowed regions (all if empty) and priority by caller."""

    name: str
    models: dict[str, str]
    regions: tuple[str, ...]
    grants: dict[str, int]


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One target and the address at which its sidecar listens for peers.

    Parameters
    ----------
    name, kind : str
        Name, and ``engine`` or ``service``.
    host, port : str, int
        Address of the sidecar.
    zone, region : str
        Availability zone and region.
    model : str
        Base model of an engine; empty for a plain service.
    service : str
        Plain service of the target; empty for an engine.
    speed : float
        Speed relative to a target of speed 1.
    slots : int
        Adapters that an engine keeps loaded.
    batch : int
        Requests that an engine runs at once.
    """

    name: str
    kind: str
    host: str
    port: int
    zone: str
    region: str
    model: str
    service: str
    speed: float
    slots: int
    batch: int


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """One plain service: priority by caller, and the methods and paths of calls that run at most once."""

    name: str
    grants: dict[str, int]
    non_idempotent: frozenset[tuple[str, str]]

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once."""
        return (method, path) not in self.non_idempotent


@dataclass(slots=True)
class Bundle:
    """The operators' whole configuration under one number.

    Parameters
    ----------
    number : int
        Version number, greater than that of every earlier bundle.
    digest : str
        SHA-256 of the signed manifest, in hex.
    callers, adapters, targets, services : mapping
        Entries of each section by name.
    weights : dict
        Weights of the routing cost, by name.
    policy : dict
        Name of the selected decision function by kind of decision.
    horizon_seconds : int
        At-most-once horizon: time for which the answer of a non-idempotent call is kept.
    callers_by_key_hash : dict
        Caller by the SHA-256 of each of its keys, in hex.
    engines_by_model_and_regions : dict
        Cache of `find_engines`.
    """

    number: int
    digest: str
    callers: dict[str, CallerEntry]
    adapters: Mapping[str, AdapterEntry]
    targets: dict[str, TargetEntry]
    services: dict[str, ServiceEntry]
    weights: dict[str, float]
    policy: dict[str, str]
    horizon_seconds: int
    callers_by_key_hash: dict[str, CallerEntry] = field(default_factory=dict)
    engines_by_model_and_regions: dict[tuple[str, tuple[str, ...]], tuple[TargetEntry, ...]] = field(
        default_factory=dict
    )

    def find_caller(self, key: str) -> CallerEntry | None:
        """Return the caller to which a secret key belongs, or None."""
        return self.callers_by_key_hash.get(hash_key(key))

    def find_base_model(self, adapter: AdapterRef) -> str | None:
        """Return the base model of an adapter version, or None if there is no such version."""
        entry = self.adapters.get(adapter.name)
        return None if entry is None else entry.models.get(adapter.version)

    def find_engines(self, model: str, regions: tuple[str, ...]) -> tuple[TargetEntry, ...]:
        """Return the engines with a base model in the allowed regions (all regions if empty).

        Equal arguments return the same cached tuple, so that a request does not scan every target.
        """
        found = self.engines_by_model_and_regions.get((model, regions))
        if found is None:
            found = tuple(
                target
                for target in self.targets.values()
                if target.model == model and target.kind == 'engine' and (not regions or target.region in regions)
            )
            self.engines_by_model_and_regions[model, regions] = found
        return found

    def find_service_targets(self, service: str) -> list[TargetEntry]:
        """Return the targets of a plain service."""
        return [target for target in self.targets.values() if target.service == service]


def hash_key(key: str) -> str:
    """Return the SHA-256 of a caller's key in hex, the form in which a bundle stores it.

    Examples
    --------
    >>> hash_key('secret')[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def build_bundle(document: dict[str, Any], digest: str = '') -> Bundle:
    """Build the model of a bundle from a valid document; the document gets the schema's defaults.

    Parameters
    ----------
    document : dict
        Decoded JSON that passed validation.
    digest : str
        SHA-256 of the signed manifest, in hex.

    Returns
    -------
    Bundle
        The model.
    """
    fill_defaults(document, BUNDLE_SCHEMA)
    callers = {name: CallerEntry(name, tuple(entry['key_sha256'])) for name, entry in document['callers'].items()}
    return Bundle(
        number=document['number'],
        digest=digest,
        callers=callers,
        adapters={name: build_adapter(name, entry) for name, entry in document['adapters'].items()},
        targets={name: _build_target(name, entry) for name, entry in document['targets'].items()},
        services={name: _build_service(name, entry) for name, entry in document['services'].items()},
        weights=document['weights'],
        policy=document['policy'],
        horizon_seconds=document['at_most_once_horizon_seconds'],
        callers_by_key_hash={key: caller for caller in callers.values() for key in caller.key_hashes},
    )


def build_adapter(name: str, entry: dict[str, Any]) -> AdapterEntry:
    """Build the model of one adapter from its validated entry."""
    models = {version: content['model'] for version, content in entry['versions'].items()}
    return AdapterEntry(name, models, tuple(entry.get('regions', ())), entry['grants'])


def _build_target(name: str, entry: dict[str, Any]) -> TargetEntry:
    host, port = split_address(entry['address'])
    return TargetEntry(
        name=name,
        kind=entry['kind'],
        host=host,
        port=port,
        zone=entry['zone'],
        region=entry['region'],
        model=entry.get('model', ''),
        service=entry.get('service', ''),
        speed=entry.get('speed', 1.0),
        slots=entry.get('slots', DEFAULT_ADAPTER_SLOTS),
        batch=entry.get('batch', DEFAULT_BATCH_SIZE),
    )


def _build_service(name: str, entry: dict[str, Any]) -> ServiceEntry:
    calls = frozenset((call['method'], call['path']) for call in entry.get('non_idempotent', ()))
    return ServiceEntry(name, entry['grants'], calls)
