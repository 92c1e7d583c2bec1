"""Client of the model worker on the same machine: reads its reports and sends orders to it."""

from dataclasses import replace
from http import HTTPStatus
from typing import Any

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Address, TamarackfieldError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.fields import MALFORMED, require_list, require_text, require_whole
from tamarackfield.manager.tickets import ModelOrder
from tamarackfield.manager.engine_client import (
    EngineEndedError,
    EnginePausedError,
    EngineState,
    OrderResult,
    OrderTerms,
)
from tamarackfield.platform.headers import (
    LEAVING_HEADER,
    LEAVING_VALUE,
    LIMIT_HEADER,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    parse_request_limit,
    parse_retry_after,
)
from tamarackfield.platform.holdings import read_holdings, require_adapter
from tamarackfield.policy.residency import LoadOrder, Order
from tamarackfield.web.client import ClientError
from tamarackfield.web.json_calls import JsonAnswer, call_json
from tamarackfield.web.pool import ConnectionPool

#: Time-out of a call to the worker, which is on the same machine and answers within a millisecond.
CALL_TIMEOUT_SECONDS = 0.5
_RESULT_BY_STATUS = {
    HTTPStatus.OK: OrderResult.ACCEPTED,
    HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
    HTTPStatus.BAD_REQUEST: OrderResult.REFUSED,
    HTTPStatus.CONFLICT: OrderResult.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderResult.FENCED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderResult.MISDIRECTED,
}


class WorkerEngine:
    """Client of the worker at one address.

    Parameters
    ----------
    address : tuple of str and int
        Address of the worker.
    holder : str
        Name of this machine, stated in each order as its sender.
    """

    def __init__(self, address: Address, holder: str) -> None:
        """Create a client without connections."""
        self.address = address
        self.holder = holder
        self.pool = ConnectionPool()

    async def read_state(self) -> EngineState:
        """Return the worker's report.

        Raises
        ------
        EngineEndedError
            If no process listens at the address.
        ClientError
            If the report cannot be read for another reason, or is malformed.
        EnginePausedError
            If the worker wants no request now.
        """
        try:
            answer = await self._call('GET', REPORT_PATH)
        except ClientError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                raise EngineEndedError(exc.message, exc.step, exc.peer) from exc
            raise
        self._require_no_pause(answer)
        if answer.status != HTTPStatus.OK:
            raise ClientError(f'worker answered with status {answer.status}', 'report', str(self.address), sent=True)
        try:
            state = decode_report(answer.document)
        except MALFORMED as exc:
            raise ClientError(f'worker report is malformed: {exc!r}', 'report', str(self.address), sent=True) from exc
        says_leaving = answer.headers.get(LEAVING_HEADER) == LEAVING_VALUE
        request_limit = parse_request_limit(answer.headers.get(LIMIT_HEADER, ''))
        return replace(state, draining=state.draining or says_leaving, request_limit=request_limit)

    async def send_order(self, order: Order | ModelOrder, terms: OrderTerms) -> OrderResult:
        """Send an order to one incarnation of the worker; any other incarnation refuses it.

        Raises
        ------
        EnginePausedError
            If the worker turned it away and wants no request for a while.
        """
        headers = (('Tamarackfield-Expect-Instance', terms.target),)
        document = encode_order(order, terms, self.holder)
        try:
            answer = await self._call('POST', '/v1/order', document, headers)
        except TamarackfieldError as exc:
            logger.bind(step=exc.step, error=exc.message).warning('order_not_answered')
            return OrderResult.UNKNOWN
        self._require_no_pause(answer)
        return _RESULT_BY_STATUS.get(answer.status, OrderResult.UNKNOWN)

    async def _call(
        self, method: str, path: str, document: Any = None, headers: tuple[tuple[str, str], ...] = ()
    ) -> JsonAnswer:
        return await call_json(
            self.pool,
            self.address,
            method,
            path,
            document,
            headers,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            id_header=REQUEST_ID_HEADER,
        )

    def _require_no_pause(self, answer: JsonAnswer) -> None:
        """Raise `EnginePausedError` if a 503 says for how long the worker wants no request."""
        text = answer.headers.get(RETRY_AFTER_HEADER, '')
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE and text:
            seconds = parse_retry_after(text, SYSTEM_CLOCK.unix_ms() / MS_PER_SECOND)
            raise EnginePausedError('worker asked for a pause', 'call', str(self.address), seconds)


def decode_report(document: dict[str, Any]) -> EngineState:
    """Decode a report.

    ``seq`` is the number of accepted orders, ``queued`` the number of queued requests, and ``born`` the start
    of this incarnation in Unix milliseconds.
    """
    versioned_adapters = [name.rpartition('@') for name in read_holdings(document['models']) if '@' in name]
    incoming = [require_adapter(name) for name in require_list(document.get('incoming', []))]
    return EngineState(
        started_ms=require_whole(document['born']),
        sequence=require_whole(document['seq']),
        models=frozenset(require_text(model['name']) for model in document['models']),
        resident_versions={adapter: int(version) for adapter, _, version in versioned_adapters},
        loading=tuple(name.rpartition('@')[0] or name for name in incoming),
        running=require_whole(document.get('running', 0)),
        queued=require_whole(document.get('queued', 0)),
        loading_model=bool(document.get('busy')),
        draining=document.get('state') == 'draining',
    )


def encode_order(order: Order | ModelOrder, terms: OrderTerms, holder: str) -> dict[str, Any]:
    """Encode the body of an order.

    Examples
    --------
    >>> order = encode_order(LoadOrder('base/a3', 2), OrderTerms('i-1', 4, 5), 'side-1')
    >>> order['model'], order['adapter'], order['version'], order['expected']
    ('base', 'a3', 2, 4)
    """
    document: dict[str, Any] = {
        'operation': 'load' if isinstance(order, LoadOrder | ModelOrder) else 'unload',
        'holder': holder,
        # The worker refuses the order unless it has accepted exactly this number of orders.
        'expected': terms.sequence,
        'fencing_token': terms.fencing,
    }
    if isinstance(order, ModelOrder):
        return {**document, 'model': order.model}
    model, _, adapter = order.adapter.partition('/')
    if isinstance(order, LoadOrder) and order.version:
        document['version'] = order.version
    return {**document, 'model': model, 'adapter': adapter}
