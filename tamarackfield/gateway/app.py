"""Application of a gateway entry: builds its components, starts them, and drains connections on shutdown."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import (
    BOOT_CLOCK,
    SYSTEM_CLOCK,
    Application,
    RequestError,
    cancel_and_wait,
    new_incarnation,
)
from tamarackfield.gateway.attempts import AttemptRunner
from tamarackfield.gateway.callers import CallerInterface, CallReader
from tamarackfield.gateway.configuration import Configuration, DecodedItem
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.gateway.exchange import Dialect
from tamarackfield.gateway.fleet import Fleet
from tamarackfield.gateway.maintenance import BALANCER_DETECTION_SECONDS, MaintenanceLoop
from tamarackfield.gateway.peers import PeerExchange
from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.replica import Item, Replica, StoreReader
from tamarackfield.gateway.settings import GatewaySettings
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web import AnswerBudget, ConnectionPool, HttpLimits, HttpRequest, HttpServer, Responder
from tamarackfield.web.text_answers import answer_error, send_text
from tamarackfield.wire.messages import Hello

#: Seconds before the end of the grace period at which requests still in progress are aborted.
GRACE_MARGIN_SECONDS = 0.5
#: Seconds after that in which the answers to those that got none yet are sent.
LAST_ANSWERS_SECONDS = 0.2
#: Seconds between two checks, as this entry stops, of which waiting requests can still be answered.
LATE_START_CHECK_SECONDS = 0.05
#: Lower bound, in seconds, of the time-out for receiving a complete request, body included.
MIN_REQUEST_TIMEOUT_SECONDS = 10.0


@dataclass(slots=True)
class PlatformInterface:
    """Platform-specific parts that an entry depends on.

    Parameters
    ----------
    store : StoreReader
        Store from which configuration and instances are read.
    store_prefix : str
        Key prefix of the configuration and of the instance list.
    decode : callable
        Decodes an item of the store.
    read_call : CallReader
        Parses callers' requests.
    dialect : Dialect
        Formats calls to targets and parses their answers.
    id_header : str
        Name of the header that carries the request id.
    ready_path : str
        Path of the readiness check that the load balancer requests.
    """

    store: StoreReader
    store_prefix: str
    decode: Callable[[Item], DecodedItem]
    read_call: CallReader
    dialect: Dialect
    id_header: str
    ready_path: str


class Gateway:
    """Composition of one entry.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    platform : PlatformInterface
        Platform-specific parts.
    """

    def __init__(self, settings: GatewaySettings, platform: PlatformInterface) -> None:
        """Build every component without starting any."""
        self.settings = settings
        self.platform = platform
        self.application = Application(settings.instance)
        self.incarnation = new_incarnation()
        self.metrics = MetricRegistry('tamarackfield')
        self.draining = False
        self.configuration_changed = asyncio.Event()
        self.budgets: dict[str, SharedRetryBudget] = {}
        directory = Directory()
        self.directory = directory
        self.replica = Replica(on_news=self._record_news)
        self.configuration = Configuration(platform.decode, directory, self.store_age_seconds)
        self.fleet = Fleet(
            self.application, directory, self.configuration.versions, self.hello, settings.manager_port, settings.zone
        )
        self.answers = AnswerBudget(settings.memory.answer_bytes)
        self.answers.count_closed = self._count_closed
        self.pool = ConnectionPool(self.answers)
        self._build_followers()
        attempt_runner = AttemptRunner(self.fleet, self.pool, platform.dialect, self.budget_for)
        self.hedger = attempt_runner.hedger
        self.hedger.share = settings.hedging_share
        self.dispatcher = Dispatcher(self.fleet, attempt_runner, self.budget_for, self.hedger)
        self.interface = CallerInterface(
            self.configuration,
            self.dispatcher,
            platform.read_call,
            self.metrics,
            random.Random(),  # noqa: S311 draws services by weight
            self.peers.freshness,
        )
        self.server = HttpServer(
            self.interface.handle,
            answer_error,
            HttpLimits(max_buffered_bytes=settings.memory.body_bytes),
            BOOT_CLOCK,
            platform.id_header,
            self.answers,
        )
        attempt_runner.explain_key_refusal = self.interface.keys.explain_refusal
        self.dispatcher.require_key = self.interface.keys.require_key
        self.server.count_unanswered = self._count_unanswered
        self.ready_server = HttpServer(self.answer_ready, answer_error)
        self.metrics_server = HttpServer(self.answer_metrics, answer_error)
        self.maintenance = MaintenanceLoop(self.pool, directory, self.dispatcher, self.server)
        self._add_gauges()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    def hello(self) -> Hello:
        """Return the greeting that identifies this process to peers and sidecars."""
        settings = self.settings
        return Hello('entry', settings.instance, self.incarnation, settings.zone, SYSTEM_CLOCK.unix_ms(), '')

    def is_ready(self) -> bool:
        """Return whether this entry accepts new connections."""
        listed = self.platform.store_prefix in self.replica.complete
        configured = self.configuration.catalog is not None and listed
        parts = (self.peers.crashes, self.peers.freshness, self.fleet.quotas)
        informed = configured and all(part.is_ready() for part in parts)
        return informed and not self.draining and not self.maintenance.is_shedding()

    def store_age_seconds(self) -> float:
        """Return the time since the store last answered this entry."""
        return self.replica.store_age_seconds(SYSTEM_CLOCK.monotonic())

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
        """Apply new settings without aborting requests; listening addresses do not change."""
        changed = [name for name in settings.__slots__ if getattr(settings, name) != getattr(self.settings, name)]
        self.settings = settings
        self.fleet.manager_port = settings.manager_port
        self._configure_freshness()
        self.hedger.share = settings.hedging_share
        for budget in self.budgets.values():
            budget.retry_ratio = settings.retry_share
            budget.allowance = settings.retry_allowance
            budget.window_seconds = settings.retry_window_seconds
        self.answers.set_limit(settings.memory.answer_bytes)
        self.server.budget.limit_bytes = settings.memory.body_bytes
        logger.bind(changed=','.join(changed) or 'nothing').info('settings_reloaded')

    async def start(self) -> None:
        """Open the listeners, then follow the store; the entry is ready once it has configuration and targets."""
        settings = self.settings
        await self.ready_server.listen(*settings.ready_listen)
        await self.server.listen(*settings.listen)
        if settings.metrics_port:
            await self.metrics_server.listen(settings.listen[0], settings.metrics_port)
        if settings.peer_listen is not None:
            await self.peers.listen(*settings.peer_listen)
        self.fleet.quotas.own_address = self.peers.entries.own_address
        self.configuration.on_change(self.configuration_changed.set)
        tasks = {f'follow-{follower.prefix}': follower.run for follower in self.followers}
        tasks |= {
            'changes': self._apply_changes,
            'peers': self.peers.run,
            'freshness': self.peers.proofs.run,
            # Sidecars know all entries; only where none responds do entries need to know of each other.
            'entries': lambda: self.peers.tell_entries(lambda: not self.fleet.quarantine.has_sidecar()),
            'crashes': self.peers.crashes.run,
            'upkeep': self.maintenance.run,
            'quarantine': self.fleet.quarantine.run,
            'quotas': self.fleet.quotas.run,
        }
        for name, run in tasks.items():
            self.application.supervise(run, name)

    async def stop(self) -> None:
        """Fail the readiness check, wait until the load balancer has noticed, then drain connections."""
        stop_at = SYSTEM_CLOCK.monotonic() + self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        self.draining = True
        self.interface.stops_at = BOOT_CLOCK.monotonic() + self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        self.server.disable_keep_alive()
        logger.bind(busy=len(self.server.busy)).info('draining')
        refusing = self.application.spawn(self._refuse_late_starts(), 'late-starts')
        await asyncio.sleep(BALANCER_DETECTION_SECONDS)
        shutdown = self.application.spawn(self.server.shutdown(), 'shutdown')
        if not await wait_until_done(shutdown, stop_at):
            logger.bind(busy=len(self.server.busy)).warning('requests_cut_at_end_of_grace')
            self.dispatcher.end_unanswered()
            await wait_until_done(shutdown, stop_at + LAST_ANSWERS_SECONDS)
        await cancel_and_wait((refusing, shutdown))
        await self.server.close()
        self.fleet.quotas.announce_stop()
        self.pool.close()
        await self.peers.close()
        await self.ready_server.close()
        await self.metrics_server.close()

    async def _refuse_late_starts(self) -> None:
        """Refuse the calls that wait, each as soon as it is not expected to be answered before the stop."""
        while True:
            self.interface.refuse_late_starts()
            await asyncio.sleep(LATE_START_CHECK_SECONDS)

    async def answer_ready(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a readiness check of the load balancer."""
        if request.path != self.platform.ready_path:
            raise RequestError('no such page', step='ready', status=HTTPStatus.NOT_FOUND, code='not_found')
        ready = self.is_ready()
        await responder.send_json(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, {'ready': ready})

    async def answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a scrape of the metrics."""
        await send_text(responder, HTTPStatus.OK, self.metrics.render_text())

    def _build_followers(self) -> None:
        platform = self.platform
        settings = self.settings
        self.followers = [
            Follower(
                platform.store_prefix,
                platform.store,
                self.replica,
                self.configuration.apply_item,
                settings.find_read_times(),
            )
        ]
        self.peers = PeerExchange(
            self.replica,
            self.followers,
            self.hello,
            lambda: list(self.settings.seeds),
            self.configuration,
            self.fleet.quarantine,
        )
        self._configure_freshness()
        self.fleet.quarantine.count_entries = lambda: max(self.fleet.entries, len(self.peers.entries.list_running()))
        self.fleet.limits.list_entries = self.peers.entries.list_running
        self.fleet.quotas.list_entries = self.peers.entries.list_running
        self.fleet.quotas.metrics = self.metrics
        self.fleet.quotas.owner = self.peers.quotas

    def _configure_freshness(self) -> None:
        settings = self.settings
        self.peers.freshness.configure(settings.strict_revoke, settings.revoke_seconds, settings.change_seconds)

    def _add_gauges(self) -> None:
        gauges: dict[str, Callable[[], float]] = {
            'requests_running': lambda: len(self.server.busy),
            'connections_open': lambda: len(self.server.busy) + len(self.server.idle),
            'target_connections_opened': lambda: self.pool.opened,
            'target_connections_reused': lambda: self.pool.reused,
            'targets_listed': lambda: len(self.directory.targets),
            'targets_limited': lambda: sum(
                target.request_limit is not None for target in self.directory.targets.values()
            ),
            'requests_held_back_by_limit': lambda: self.fleet.limits.held_back,
            'quota_entries_counted': self.fleet.quotas.count_entries,
            'sidecars_up': lambda: sum(link.is_up() for link in self.fleet.links.values()),
            'shedding_callers': lambda: int(self.maintenance.is_shedding()),
            'turns_cut_short': self.maintenance.count_cut_turns,
            'loop_late_seconds': lambda: self.maintenance.lag_seconds,
            'answer_bytes_held': lambda: self.answers.held_bytes,
            'answer_bytes_limit': lambda: self.settings.memory.answer_bytes,
            'answers_waiting_for_room': self.answers.count_waiting,
            'request_body_bytes_held': lambda: self.server.budget.reserved_bytes,
            'tasks_restarted': lambda: self.application.restarted_tasks,
            'prompts_in_quarantine': lambda: self.fleet.quarantine.evidence.count_culprits(requests=False),
            'requests_in_quarantine': lambda: self.fleet.quarantine.evidence.count_culprits(requests=True),
            'requests_refused_by_quarantine': lambda: self.fleet.quarantine.refused,
            'engine_crashes_known': lambda: len(self.fleet.quarantine.evidence.crashes),
            'hedges_sent': lambda: self.hedger.attempts,
            'hedges_won': lambda: self.hedger.won,
            'hedges_lost': lambda: self.hedger.lost,
            'store_revision': lambda: self.replica.revision.number,
            'store_era': lambda: self.replica.era,
            'store_age_seconds': self.store_age_seconds,
            'key_proof_age_seconds': self.peers.freshness.age_seconds,
            'store_down': lambda: sum(store_status.down for store_status in self.replica.store_statuses),
        }
        for name, read in gauges.items():
            self.metrics.add_gauge(name, read)

    def _record_news(self) -> None:
        """Record the age of the changes that are applied, and log one that reads in order do not explain."""
        replica = self.replica
        self.metrics.observe('store_news', replica.news_seconds, source=replica.news_source)
        times = self.settings.find_read_times()
        if replica.news_seconds > times.pause_seconds + times.silence_seconds:
            bound = logger.bind(source=replica.news_source, seconds=round(replica.news_seconds, 3))
            bound.warning('store_news_late')

    def _count_unanswered(self, reason: str) -> None:
        self.metrics.count('requests_without_answer', reason=reason)

    def _count_closed(self, cause: str) -> None:
        self.metrics.count('slow_readers_closed', cause=cause)

    async def _apply_changes(self) -> None:
        """Apply configuration changes; items that arrive together are applied in one pass."""
        while True:
            await self.configuration_changed.wait()
            self.configuration_changed.clear()
            self._apply_configuration()

    def _apply_configuration(self) -> None:
        catalog = self.configuration.catalog
        if catalog is not None and catalog is not self.fleet.catalog:
            limits = catalog.limits
            self.server.limits = HttpLimits(
                request_seconds=max(limits.header_seconds, MIN_REQUEST_TIMEOUT_SECONDS),
                idle_seconds=limits.idle_seconds,
                max_connections=self.settings.max_connections,
                max_body_bytes=limits.body_bytes,
                max_buffered_bytes=self.settings.memory.body_bytes,
                write_buffer_bytes=self.settings.memory.write_buffer_bytes,
                send_queue_bytes=self.settings.memory.send_queue_bytes,
            )
        self.fleet.catalog = catalog
        self.fleet.quotas.use_catalog(catalog)
        self.fleet.sync_links()


async def wait_until_done(task: asyncio.Task[None], ends_at: float) -> bool:
    """Wait for a task, which is not cancelled, until a monotonic time in seconds; return whether it was done."""
    done, _ = await asyncio.wait((task,), timeout=max(0.0, ends_at - SYSTEM_CLOCK.monotonic()))
    return bool(done)
