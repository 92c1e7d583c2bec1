"""Application of the adapter manager."""

from http import HTTPStatus

from tamarackfield.core import Address, Application, RequestError
from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.engine_client import EngineClient
from tamarackfield.manager.server import ManagerServer
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.web import HttpRequest, HttpServer, Responder
from tamarackfield.web.text_answers import answer_error, send_text
from tamarackfield.wire.messages import Hello


class Manager:
    """Application that connects the engine controller, the server for entries and the metrics server.

    Parameters
    ----------
    instance : str
        Instance name of this process.
    listen : tuple of str and int
        Address on which entries connect.
    client : EngineClient
        Client of the engine.
    hello : Hello
        Handshake message of this process.
    metrics_port : int
        Port of the metrics server; 0 disables it.
    """

    def __init__(
        self, instance: str, listen: Address, client: EngineClient, hello: Hello, metrics_port: int = 0
    ) -> None:
        """Create all components without starting them."""
        self.application = Application(instance)
        self.listen = listen
        self.metrics_port = metrics_port
        self.controller = EngineController(client)
        self.server = ManagerServer(self.controller, hello)
        self.metrics = MetricRegistry('tamarackfield')
        self.metrics_server = HttpServer(self.answer_metrics, answer_error)
        self._add_gauges()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    async def start(self) -> None:
        """Start the servers and the tasks that poll the engine and run admission."""
        await self.server.listen(*self.listen)
        if self.metrics_port:
            await self.metrics_server.listen(self.listen[0], self.metrics_port)
        self.application.supervise(self.controller.poll_engine, 'engine')
        self.application.supervise(self.server.run_decisions, 'admission')

    async def stop(self) -> None:
        """Notify the entries that this process stops; granted requests continue without it."""
        self.server.drain()
        await self.server.close()
        await self.metrics_server.close()

    async def answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request for metrics."""
        if request.path != '/metrics':
            raise RequestError('no such page', step='metrics', status=HTTPStatus.NOT_FOUND, code='not_found')
        await send_text(responder, HTTPStatus.OK, self.metrics.render_text())

    def _add_gauges(self) -> None:
        controller = self.controller
        self.metrics.add_gauge('adapter_loads', lambda: controller.accepted_loads)
        self.metrics.add_gauge('orders', lambda: controller.sent_orders)
        self.metrics.add_gauge('granted', lambda: len(controller.admission.granted))
        self.metrics.add_gauge('waiting', lambda: len(controller.admission.waiting))
        self.metrics.add_gauge('adapters_in_place', lambda: len(controller.admission.residency.residents))
        quotas = self.server.quotas
        self.metrics.add_gauge('quota_shards_owned', quotas.count_owned)
        self.metrics.add_gauge('quota_share', quotas.smallest_share)
        self.metrics.add_gauge('quota_entries_known', lambda: len(quotas.known.heard_at))
        self.metrics.add_gauge('event_interval_seconds', lambda: controller.admission.prefill.planner.interval)
        self.metrics.add_gauge('prefill_room_seconds', lambda: controller.admission.prefill.planner.room_seconds())
        self.metrics.add_gauge('customers_counted', lambda: len(controller.admission.shares.counters))
        self.metrics.add_gauge('tasks_restarted', lambda: self.application.restarted_tasks)
        self.metrics.add_gauge('engine_reachable', lambda: int(controller.admission.reachable))
