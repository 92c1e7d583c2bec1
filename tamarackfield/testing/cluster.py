"""Complete deployment of real processes on this machine: stand-ins, entries and sidecars."""

import asyncio
import base64
import contextlib
import functools
import pathlib
from dataclasses import dataclass, field
from typing import Any

from tamarackfield.bundle import generate_key, hash_key, publish
from tamarackfield.testing.operators import OPERATOR_TOKEN, declare_first_start
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import HOST, ManagedProcess, request_page, wait_until
from tamarackfield.wire.security import PLAINTEXT

MODEL = 'base'


@dataclass(slots=True)
class TargetSpec:
    """Description of a target that is started with its sidecar.

    Parameters
    ----------
    name : str
        Name of the target.
    kind : str
        Kind of the target, ``engine`` or ``service``.
    zone, region : str
        Availability zone and region of the target.
    speed : float
        Speed of an engine relative to the default of 1.
    proxied : bool
        Whether entries connect to the sidecar through a fault proxy.
    engine_proxied : bool
        Whether the sidecar connects to the target through a fault proxy.
    options : dict
        Settings of the stand-in other than its listening address.
    """

    name: str
    kind: str = 'engine'
    zone: str = 'zone-1'
    region: str = 'west'
    speed: float = 1.0
    proxied: bool = False
    engine_proxied: bool = False
    options: dict[str, Any] = field(default_factory=dict)


def address(port: int) -> str:
    """Return ``ip:port`` on this machine."""
    return f'{HOST}:{port}'


class Cluster:
    """All processes of one deployment.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and log files.
    targets : list of TargetSpec
        Targets to start.
    entries : int
        Number of entries.
    bundle : dict
        Members of the bundle other than number and targets, such as callers, adapters and services.
    weights : dict or None
        Settings of the weight store; None for a deployment without one.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        targets: list[TargetSpec],
        entries: int,
        bundle: dict[str, Any],
        weights: dict[str, Any] | None = None,
    ) -> None:
        """Reserve ports and create all processes without starting them."""
        self.directory = directory
        self.processes: dict[str, ManagedProcess] = {}
        self.ports: dict[str, int] = {}
        private_key, public_key = generate_key()
        self.private_key = private_key
        self.public_key = public_key
        self.document: dict[str, Any] = {'number': 0, **bundle, 'targets': {}}
        self.peers: list[str] = []
        self.add_standin('configuration', 'configuration', {})
        if weights is not None:
            self.add_standin('weights', 'weights', weights)
        for spec in targets:
            self._add_target(spec)
        self.entry_names = [f'entry-{index + 1}' for index in range(entries)]
        for name in self.entry_names:
            self.add_entry(name)

    async def __aenter__(self) -> 'Cluster':
        """Start all processes and wait until the entries can use all targets."""
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all processes."""
        await self.stop()

    async def start(self) -> None:
        """Start the configuration service, publish the bundle, then start all other processes."""
        await self.start_process('configuration')
        await self.publish()
        others = [name for name in self.processes if name != 'configuration']
        await asyncio.gather(*(self.processes[name].start() for name in others))
        await asyncio.gather(*(self.processes[name].wait_ready() for name in others))
        await declare_first_start(self.ports, self.document['targets'])
        await self.wait_until_targets_usable()

    async def stop(self) -> None:
        """Kill every process of the deployment, suspended ones included."""
        for process in self.processes.values():
            if process.process is not None and process.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.thaw()
        await asyncio.gather(*(process.kill() for process in self.processes.values()))

    async def start_process(self, name: str) -> None:
        """Start one process and wait until it is ready."""
        await self.processes[name].start()
        await self.processes[name].wait_ready()

    async def restart(self, name: str) -> None:
        """Kill one process and restart it with the same settings."""
        await self.processes[name].kill()
        await self.start_process(name)

    async def publish(self, number: int | None = None) -> None:
        """Sign ``self.document`` with the given or the next number and publish it to the configuration service."""
        self.document['number'] = number or self.document['number'] + 1
        publication = publish(self.document, self.private_key)
        encoded = {name: base64.b64encode(content).decode() for name, content in publication.items().items()}
        await request_page(self.ports['configuration'], 'POST', '/control/publish', {'values': encoded})

    async def wait_until_targets_usable(self) -> None:
        """Wait until every entry can use every target."""
        for name in self.entry_names:
            await wait_until(functools.partial(self._can_use_all_targets, name), f'{name} reaches all targets')

    async def control(self, name: str, **faults: Any) -> dict[str, Any]:
        """Set faults of a stand-in, if any are given, and return its control page with faults and counts."""
        method = 'POST' if faults else 'GET'
        return await request_page(self.ports[name], method, '/control', faults or None)

    async def read_status(self, name: str) -> dict[str, Any]:
        """Return the status page of an entry or a sidecar."""
        return await request_page(self.ports[f'{name}-operations'], 'GET', '/status')

    async def read_audit(self, name: str) -> list[dict[str, Any]]:
        """Return the audit trail of an entry or a sidecar."""
        answer = await request_page(self.ports[f'{name}-operations'], 'GET', '/audit')
        return answer['changes']

    def entry_url(self, index: int = 0) -> str:
        """Return the base URL of an entry."""
        return f'http://{address(self.ports[self.entry_names[index]])}'

    async def _can_use_all_targets(self, entry: str) -> bool:
        status = await self.read_status(entry)
        targets = status['targets']
        return len(targets) == len(self.document['targets']) and all(view['usable'] for view in targets.values())

    def reserve_named_port(self, name: str) -> int:
        """Return the port with a name, reserved at the first call."""
        if name not in self.ports:
            self.ports[name] = reserve_port()
        return self.ports[name]

    def add_standin(self, name: str, kind: str, options: dict[str, Any]) -> None:
        """Add a stand-in; options are its settings other than instance and listening address."""
        port = self.reserve_named_port(name)
        settings = {'instance': name, 'listen': {'host': HOST, 'port': port}, **options}
        self.processes[name] = ManagedProcess(
            name,
            'tamarackfield.programs',
            settings,
            self.directory,
            arguments=('standin', kind),
            health=(port, '/control'),
        )

    def add_proxy(self, name: str, upstream: str, *, framed: bool = False) -> str:
        """Add a fault proxy in front of an address and return the address of the proxy."""
        port = self.reserve_named_port(f'{name}-port')
        options = {'proxy': {'host': HOST, 'port': port}, 'upstream': upstream, 'framed': framed}
        self.add_standin(name, 'proxy', options)
        return address(port)

    def _add_target(self, spec: TargetSpec) -> None:
        options = dict(spec.options)
        if spec.kind == 'engine' and 'weights' in self.ports:
            options.setdefault('weight_store', address(self.ports['weights']))
        if spec.kind == 'engine':
            options.setdefault('speed', spec.speed)
        self.add_standin(spec.name, spec.kind, options)
        target_address = address(self.ports[spec.name])
        if spec.engine_proxied:
            target_address = self.add_proxy(f'{spec.name}-engine-proxy', target_address)
        peer_address = address(self.reserve_named_port(f'{spec.name}-peer'))
        self.add_sidecar(f'{spec.name}-sidecar', spec, target_address, self.reserve_named_port(f'{spec.name}-peer'))
        if spec.proxied:
            peer_address = self.add_proxy(f'{spec.name}-proxy', peer_address, framed=True)
        entry = {'kind': spec.kind, 'address': peer_address, 'zone': spec.zone, 'region': spec.region}
        if spec.kind == 'engine':
            entry |= {'model': MODEL, 'speed': spec.speed}
            entry |= {'slots': options.get('slots', 4), 'batch': options.get('batch', 8)}
        else:
            entry |= {'service': spec.options.get('service', 'booking')}
        self.document['targets'][spec.name] = entry

    def add_sidecar(self, name: str, spec: TargetSpec, target_address: str, peer_port: int) -> None:
        """Add a sidecar of a target."""
        settings = {
            **self._shared_settings(name, spec.zone, spec.region),
            'target': spec.name,
            'target_address': target_address,
            'listen': {'host': HOST, 'port': peer_port},
        }
        self._add_program(name, 'sidecar', settings)

    def add_entry(self, name: str, zone: str = 'zone-1', region: str = 'west') -> None:
        """Add an entry."""
        settings = {
            **self._shared_settings(name, zone, region),
            'listen': {'host': HOST, 'port': self.reserve_named_port(name)},
            'drain_seconds': 0.2,
        }
        self._add_program(name, 'entry', settings)

    def _add_program(self, name: str, program: str, settings: dict[str, Any]) -> None:
        health = (self.ports[f'{name}-operations'], '/readyz')
        self.processes[name] = ManagedProcess(
            name, 'tamarackfield.programs', settings, self.directory, arguments=(program,), health=health
        )

    def _shared_settings(self, name: str, zone: str, region: str) -> dict[str, Any]:
        self.peers.append(address(self.reserve_named_port(f'{name}-bundle')))
        return {
            'instance': name,
            'zone': zone,
            'region': region,
            'configuration_service': [address(self.ports['configuration'])],
            'trusted_keys': [self.public_key],
            'peer_security': {'mode': PLAINTEXT},
            'peer_listen': {'host': HOST, 'port': self.reserve_named_port(f'{name}-bundle')},
            'peers': self.peers,
            'operations': {
                'listen': {'host': HOST, 'port': self.reserve_named_port(f'{name}-operations')},
                'token_sha256': hash_key(OPERATOR_TOKEN),
            },
        }


def make_bundle(callers: tuple[str, ...], adapters: tuple[str, ...], **members: Any) -> dict[str, Any]:
    """Return the members of a bundle that do not depend on ports.

    Parameters
    ----------
    callers : tuple of str
        Names of callers; the API key of each is ``key-NAME``.
    adapters : tuple of str
        Adapters ``name@version``, granted to every caller.
    **members
        Further members of the bundle.

    Returns
    -------
    dict
        Bundle members, with a service ``booking`` whose ``POST /bookings`` is not idempotent.
    """
    grants = dict.fromkeys(callers, 5)
    entries: dict[str, Any] = {}
    for reference in adapters:
        name, _, version = reference.partition('@')
        entry = entries.setdefault(name, {'versions': {}, 'grants': grants})
        entry['versions'][version] = {'model': MODEL}
    return {
        'callers': {name: {'key_sha256': [hash_key(f'key-{name}')]} for name in callers},
        'adapters': entries,
        'services': {
            'booking': {'grants': grants, 'non_idempotent': [{'method': 'POST', 'path': '/bookings'}]},
        },
        **members,
    }
