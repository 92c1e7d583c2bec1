"""The application of the sidecar on the direct edge."""

from http import HTTPStatus

from tamarackfield.core import Address, Application, RequestError
from tamarackfield.manager.engine import EngineController
from tamarackfield.manager.model import EngineClient
from tamarackfield.manager.server import ManagerServer
from tamarackfield.observe.series import Series
from tamarackfield.web import HttpRequest, HttpServer, Responder
from tamarackfield.web.text import answer_error, send_text
from tamarackfield.wire.messages import Hello


class Manager:
    """Wires one sidecar together.

    Parameters
    ----------
    instance : str
        Name of this process.
    listen : tuple of str and int
        Where entries connect.
    client : EngineClient
        Calls to the engine.
    hello : Hello
        What this process says of itself.
    metrics_port : int
        Where counters are served, 0 for nowhere.
    """

    def __init__(
        self, instance: str, listen: Address, client: EngineClient, hello: Hello, metrics_port: int = 0
    ) -> None:
        """Build every part; nothing runs yet."""
        self.application = Application(instance)
        self.listen = listen
        self.metrics_port = metrics_port
        self.controller = EngineController(client)
        self.server = ManagerServer(self.controller, hello)
        self.series = Series('tamarackfield')
        self.metrics_server = HttpServer(self.answer_metrics, answer_error)
        self._add_gauges()
        self.application.on_start(self.start)
        self.application.on_stop(self.stop)

    async def start(self) -> None:
        """Listen, then keep the engine's state up to date."""
        await self.server.listen(*self.listen)
        if self.metrics_port:
            await self.metrics_server.listen(self.listen[0], self.metrics_port)
        self.application.supervise(self.controller.poll_engine, 'engine')
        self.application.supervise(self.server.run_decisions, 'admission')

    async def stop(self) -> None:
        """Tell entries that this process ends; requests that it granted go on without it."""
        self.server.drain()

    async def answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        """Answer whoever collects metrics."""
        if request.path != '/metrics':
            raise RequestError('no such page', step='metrics', status=HTTPStatus.NOT_FOUND, code='not_found')
        await send_text(responder, HTTPStatus.OK, self.series.text())

    def _add_gauges(self) -> None:
        controller = self.controller
        self.series.gauge('adapter_loads', lambda: controller.loads)
        self.series.gauge('orders', lambda: controller.orders)
        self.series.gauge('granted', lambda: len(controller.admission.granted))
        self.series.gauge('waiting', lambda: len(controller.admission.waiting))
        self.series.gauge('adapters_in_place', lambda: len(controller.admission.residency.residents))
        self.series.gauge('tasks_restarted', lambda: self.application.restarted_tasks)
        self.series.gauge('engine_reachable', lambda: int(controller.admission.reachable))
