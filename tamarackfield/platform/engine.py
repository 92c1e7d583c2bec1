"""Reports of the model worker beside this process, and orders to it."""

from http import HTTPStatus
from typing import Any

from loguru import logger

from tamarackfield.core import Address, TamarackfieldError
from tamarackfield.manager.admission import ModelOrder
from tamarackfield.manager.engine_client import EngineState, OrderResult, OrderTerms
from tamarackfield.platform.holdings import MALFORMED, read_holdings
from tamarackfield.policy.residency import LoadOrder, Order
from tamarackfield.web.client import ClientError
from tamarackfield.web.json_calls import call_json
from tamarackfield.web.pool import ConnectionPool

#: Seconds allowed for a call to the worker on the same machine, which answers within a millisecond.
CALL_SECONDS = 0.5
_BY_STATUS = {
    HTTPStatus.OK: OrderResult.ACCEPTED,
    HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
    HTTPStatus.BAD_REQUEST: OrderResult.REFUSED,
    HTTPStatus.CONFLICT: OrderResult.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderResult.FENCED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderResult.MISDIRECTED,
}


class WorkerEngine:
    """The worker at one address.

    Parameters
    ----------
    address : tuple of str and int
        Of the worker.
    holder : str
        Name of this machine, under which it gives orders.
    """

    def __init__(self, address: Address, holder: str) -> None:
        """Start without a connection."""
        self.address = address
        self.holder = holder
        self.pool = ConnectionPool()

    async def read_state(self) -> EngineState:
        """Return the worker's report.

        Raises
        ------
        ClientError
            If it cannot be had.
        """
        status, document = await call_json(self.pool, self.address, 'GET', '/v1/report', timeout_seconds=CALL_SECONDS)
        if status != HTTPStatus.OK:
            raise ClientError(f'worker answered {status}', 'report', str(self.address), sent=True)
        try:
            return read_report(document)
        except MALFORMED as exc:
            raise ClientError(f'report is malformed: {exc!r}', 'report', str(self.address), sent=True) from exc

    async def send_order(self, order: Order | ModelOrder, terms: OrderTerms) -> OrderResult:
        """Give an order to the life of the worker that is named, and to no other."""
        headers = (('Tamarackfield-Expect-Instance', terms.target),)
        document = make_order(order, terms, self.holder)
        try:
            status, _ = await call_json(
                self.pool, self.address, 'POST', '/v1/order', document, headers, timeout_seconds=CALL_SECONDS
            )
        except TamarackfieldError as exc:
            logger.bind(step=exc.step, error=exc.message).warning('order_not_answered')
            return OrderResult.UNKNOWN
        return _BY_STATUS.get(status, OrderResult.UNKNOWN)


def read_report(document: dict[str, Any]) -> EngineState:
    """Read a report; ``seq`` counts orders, ``queued`` requests that wait, ``born`` is the start of this life."""
    held = [name.rpartition('@') for name in read_holdings(document['models']) if '@' in name]
    incoming = [name.rpartition('@')[0] or name for name in document.get('incoming', [])]
    return EngineState(
        started_ms=int(document['born']),
        sequence=int(document['seq']),
        models=frozenset(model['name'] for model in document['models']),
        resident_versions={adapter: int(version) for adapter, _, version in held},
        loading=tuple(incoming),
        running=int(document.get('running', 0)),
        queued=int(document.get('queued', 0)),
        loading_model=bool(document.get('busy')),
        draining=document.get('state') == 'draining',
    )


def make_order(order: Order | ModelOrder, terms: OrderTerms, holder: str) -> dict[str, Any]:
    """Build the body of an order.

    Examples
    --------
    >>> order = make_order(LoadOrder('base/a3', 2), OrderTerms('i-1', 4, 5), 'side-1')
    >>> order['model'], order['adapter'], order['version'], order['expected']
    ('base', 'a3', 2, 4)
    """
    document: dict[str, Any] = {
        'operation': 'load' if isinstance(order, LoadOrder | ModelOrder) else 'unload',
        'holder': holder,
        # Number of accepted orders that the worker must have.
        'expected': terms.sequence,
        'fencing_token': terms.fencing,
    }
    if isinstance(order, ModelOrder):
        return {**document, 'model': order.model}
    model, _, adapter = order.adapter.partition('/')
    if isinstance(order, LoadOrder) and order.version:
        document['version'] = order.version
    return {**document, 'model': model, 'adapter': adapter}
