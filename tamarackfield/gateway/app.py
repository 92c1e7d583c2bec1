"""The application of an entry on the direct edge: what it starts, and in which order it stops."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Application, RequestError, new_incarnation
from tamarackfield.gateway.attempts import Attempts
from tamarackfield.gateway.callers import CallerInterface, CallReader
from tamarackfield.gateway.configuration import Configuration, Decoded
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.gateway.exchange import Dialect
from tamarackfield.gateway.fleet import Fleet
from tamarackfield.gateway.peers import PeerExchange
from tamarackfield.gateway.replica import Follower, Item, Replica, StoreReader
from tamarackfield.gateway.settings import GatewaySettings
from tamarackfield.gateway.upkeep import BALANCER_SECONDS, Upkeep
from tamarackfield.observe.series import Series
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web import HttpLimits, HttpRequest, HttpServer, Responder
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.web.text import answer_error, send_text
from tamarackfield.wire.messages import Hello

#: Seconds before the end of the grace time at which requests that still run are cut.
GRACE_MARGIN_SECONDS = 0.5
#: Least time in seconds that a whole request may take to arrive, its body included.
LEAST_REQUEST_SECONDS = 10.0
#: Share of the time in which a leaving target must get nothing new that is spent between two
#: readings of the instance list.
LIST_REST_SHARE = 0.5


@dataclass(slots=True)
class Edge:
    """What belongs to the systems around an entry.

    Parameters
    ----------
    store : StoreReader
        Where configuration and instances are read.
    configuration_prefix, instance_prefix : str
        Of the keys that are followed.
    decode : callable
        Returns what an item says.
    read_call : CallReader
        How callers' requests look.
    dialect : Dialect
        How calls to targets look.
    id_header : str
        Header that carries a request's id.
    ready_path : str
        That the balancer asks for.
    """

    store: StoreReader
    configuration_prefix: str
    instance_prefix: str
    decode: Callable[[Item], Decoded]
    read_call: CallReader
    dialect: Dialect
    id_header: str
    ready_path: str


class Gateway:
    """Wires one entry together.

    Parameters
    ----------
    settings : GatewaySettings
        Checked.
    edge : Edge
        The systems around it.
    """

    def __init__(self, settings: GatewaySettings, edge: Edge) -> None:
        """Build every part; nothing runs yet."""
        self.settings = settings
        self.edge = edge
        self.application = Application(settings.instance)
        self.incarnation = new_incarnation()
        self.series = Series('tamarackfield')
        self.draining = False
        self.changed = asyncio.Event()
        self.budgets: dict[str, SharedRetryBudget] = {}
        directory = Directory()
        self.directory = directory
        self.configuration = Configuration(edge.decode, directory)
        self.fleet = Fleet(
            self.application, directory, self.configuration.versions, self.hello, settings.manager_port, settings.zone
        )
        self.pool = ConnectionPool()
        attempts = Attempts(self.fleet, self.pool, edge.dialect, self.budget_for)
        self.dispatcher = Dispatcher(self.fleet, attempts, self.budget_for)
        self.interface = CallerInterface(
            self.configuration,
            self.dispatcher,
            edge.read_call,
            self.series,
            random.Random(),  # noqa: S311 draws services by weight
        )
        self.server = HttpServer(self.interface.handle, answer_error, clock=BOOT_CLOCK, id_header=edge.id_header)
        self.ready_server = HttpServer(self.answer_ready, answer_error)
        self.metrics_server = HttpServer(self.answer_metrics, answer_error)
        self.upkeep = Upkeep(self.pool, directory, self.dispatcher, self.server)
        self._build_readers()
        self._add_gauges()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    def hello(self) -> Hello:
        """Return what this process says of itself to peers."""
        settings = self.settings
        return Hello('entry', settings.instance, self.incarnation, settings.zone, SYSTEM_CLOCK.unix_ms(), '')

    def is_ready(self) -> bool:
        """Tell whether this entry takes new connections."""
        listed = self.edge.instance_prefix in self.replica.complete
        informed = self.configuration.catalog is not None and listed
        return informed and not self.draining and not self.upkeep.is_shedding()

    def budget_for(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = SharedRetryBudget(settings.retry_share, settings.retry_allowance, settings.retry_window_seconds)
            self.budgets[service] = budget
        budget.entries = self.fleet.entries
        return budget

    def reload(self, settings: GatewaySettings) -> None:
        """Take new settings; nothing that runs is cut, and listeners stay where they are."""
        changed = [name for name in settings.__slots__ if getattr(settings, name) != getattr(self.settings, name)]
        self.settings = settings
        self.fleet.manager_port = settings.manager_port
        for budget in self.budgets.values():
            budget.retry_ratio = settings.retry_share
            budget.allowance = settings.retry_allowance
            budget.window_seconds = settings.retry_window_seconds
        logger.bind(changed=','.join(changed) or 'nothing').info('settings_reloaded')

    async def start(self) -> None:
        """Listen, then follow the store; the entry is ready once it knows configuration and targets."""
        settings = self.settings
        await self.ready_server.listen(*settings.ready_listen)
        await self.server.listen(*settings.listen)
        if settings.metrics_port:
            await self.metrics_server.listen(settings.listen[0], settings.metrics_port)
        if settings.peer_listen is not None:
            await self.peers.listen(*settings.peer_listen)
        self.configuration.on_change(self.changed.set)
        supervise = self.application.supervise
        supervise(self._apply_changes, 'changes')
        for follower in self.followers:
            supervise(follower.run, f'follow-{follower.prefix}')
        supervise(self.peers.run, 'peers')
        supervise(self.upkeep.run, 'upkeep')

    async def stop(self) -> None:
        """Fail readiness, wait until the balancer has seen it, then finish what runs."""
        stop_at = SYSTEM_CLOCK.monotonic() + self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        self.draining = True
        self.server.retire()
        logger.bind(busy=len(self.server.busy)).info('draining')
        await asyncio.sleep(BALANCER_SECONDS)
        try:
            async with asyncio.timeout(stop_at - SYSTEM_CLOCK.monotonic()):
                await self.server.shutdown()
        except TimeoutError:
            logger.bind(busy=len(self.server.busy)).warning('requests_cut_at_end_of_grace')
        self.pool.close()

    async def answer_ready(self, request: HttpRequest, responder: Responder) -> None:
        """Answer the balancer."""
        if request.path != self.edge.ready_path:
            raise RequestError('no such page', step='ready', status=HTTPStatus.NOT_FOUND, code='not_found')
        ready = self.is_ready()
        await responder.send_json(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, {'ready': ready})

    async def answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        """Answer whoever collects metrics."""
        await send_text(responder, HTTPStatus.OK, self.series.text())

    def _build_readers(self) -> None:
        edge = self.edge
        take = self.configuration.take
        rest = self.settings.leaving_seconds * LIST_REST_SHARE
        self.replica = Replica()
        self.followers = [
            Follower(edge.configuration_prefix, edge.store, self.replica, take),
            Follower(edge.instance_prefix, edge.store, self.replica, take, rest),
        ]
        self.peers = PeerExchange(self.replica, self.followers, self.hello, lambda: list(self.settings.seeds))

    def _add_gauges(self) -> None:
        gauges: dict[str, Callable[[], float]] = {
            'requests_running': lambda: len(self.server.busy),
            'connections_open': lambda: len(self.server.busy) + len(self.server.idle),
            'target_connections_opened': lambda: self.pool.opened,
            'target_connections_reused': lambda: self.pool.reused,
            'targets_listed': lambda: len(self.directory.targets),
            'sidecars_up': lambda: sum(link.is_up() for link in self.fleet.links.values()),
            'shedding_callers': lambda: int(self.upkeep.is_shedding()),
            'tasks_restarted': lambda: self.application.restarted_tasks,
            'store_revision': lambda: self.replica.revision,
            'store_down': lambda: sum(contact.down for contact in self.replica.contacts),
        }
        for name, read in gauges.items():
            self.series.gauge(name, read)

    async def _apply_changes(self) -> None:
        """Apply what changed; items that arrive together are applied once."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            self._apply()

    def _apply(self) -> None:
        catalog = self.configuration.catalog
        if catalog is not None and catalog is not self.fleet.catalog:
            limits = catalog.limits
            self.server.limits = HttpLimits(
                request_seconds=max(limits.header_seconds, LEAST_REQUEST_SECONDS),
                idle_seconds=limits.idle_seconds,
                max_connections=self.settings.max_connections,
                max_body_bytes=limits.body_bytes,
            )
        self.fleet.catalog = catalog
        self.fleet.sync()
