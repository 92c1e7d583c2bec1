"""Client of the local engine: status, load and unload orders, fencing claims and cancellation."""

from dataclasses import dataclass
from typing import Any

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web import ClientError, fetch_json

#: Time-out of status, claim and cancel calls.
STATUS_TIMEOUT_SECONDS = 2.0
#: Time-out of a load or unload order.
ORDER_TIMEOUT_SECONDS = 30.0
_OK = 200
_NOT_FOUND = 404
#: HTTP statuses that confirm a claim; 404 does so too, since no adapter has the placeholder name.
_CLAIM_ACCEPTED_STATUSES = (_OK, _NOT_FOUND)


#: Name that no adapter has; an unload order for it only transmits a fencing number.
_PLACEHOLDER_ADAPTER = 'none@fence'


class EngineError(TamarackfieldError):
    """The engine refused an order or did not return a usable answer.

    Parameters
    ----------
    message, step, peer : str
        As in `TamarackfieldError`.
    answered : bool
        Whether the engine answered; if not, an order may still take effect later.
    """

    def __init__(self, message: str, step: str, peer: str, *, answered: bool = False) -> None:
        """Store the error and whether the engine answered."""
        super().__init__(message, step, peer)
        self.answered = answered


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status that the engine reports.

    ``incarnation`` changes when the engine restarts; ``resident`` contains the references of loaded
    adapters; ``highest_fence`` is the greatest fencing number that the engine has seen, ``fencing``
    whether it refuses lower ones. ``running`` counts the requests that it runs or queues.
    """

    incarnation: int
    resident: frozenset[str]
    running: int
    highest_fence: int
    fencing: bool = False


class EngineClient:
    """Sends orders and status requests to one engine.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port of the engine.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a client; nothing is sent yet."""
        self.address = address
        self.peer = f'{address[0]}:{address[1]}'

    async def read_status(self) -> EngineStatus:
        """Read the status of the engine.

        Raises
        ------
        EngineError
            If the engine does not answer in time or its status is malformed.
        """
        status, document = await self._exchange_json('status', 'GET', '/v1/status', None, STATUS_TIMEOUT_SECONDS)
        if status != _OK:
            raise EngineError(f'status call answered HTTP {status}', step='status', peer=self.peer)
        try:
            return EngineStatus(
                int(document['incarnation']),
                frozenset(document['resident']),
                int(document['running']) + int(document.get('waiting', 0)),
                int(document.get('highest_fence', 0)),
                document.get('fencing') is True,
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EngineError(f'engine status is malformed: {exc!r}', step='status', peer=self.peer) from None

    async def load_adapter(self, adapter: str, fence: int) -> int:
        """Order a load and return the engine incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the load failed or its result is unknown.
        """
        return await self._send_order('load_adapter', '/v1/load_lora_adapter', adapter, fence)

    async def unload_adapter(self, adapter: str, fence: int) -> int:
        """Order an unload and return the engine incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the unload was refused or its result is unknown.
        """
        return await self._send_order('unload_adapter', '/v1/unload_lora_adapter', adapter, fence)

    async def claim_fence(self, fence: int) -> None:
        """Transmit a fencing number by an order without other effect.

        Raises
        ------
        EngineError
            If the engine refuses the number or does not answer.
        """
        order = {'lora_name': _PLACEHOLDER_ADAPTER, 'fence': fence}
        status, document = await self._exchange_json(
            'claim', 'POST', '/v1/unload_lora_adapter', order, STATUS_TIMEOUT_SECONDS
        )
        if status not in _CLAIM_ACCEPTED_STATUSES:
            raise EngineError(
                f'claim of fence {fence} answered HTTP {status}: {document}', 'claim', self.peer, answered=True
            )

    async def cancel_request(self, request_id: str) -> bool:
        """Cancel a request and return whether the engine knew it.

        Raises
        ------
        EngineError
            If the engine does not confirm the cancellation.
        """
        body = {'request_id': request_id}
        status, document = await self._exchange_json('cancel', 'POST', '/v1/cancel', body, STATUS_TIMEOUT_SECONDS)
        if status != _OK or not isinstance(document, dict):
            raise EngineError(f'cancellation of {request_id} answered HTTP {status}', step='cancel', peer=self.peer)
        return document.get('cancelled') is True

    async def _send_order(self, step: str, path: str, adapter: str, fence: int) -> int:
        order = {'lora_name': adapter, 'fence': fence}
        status, document = await self._exchange_json(step, 'POST', path, order, ORDER_TIMEOUT_SECONDS)
        if status != _OK:
            raise EngineError(f'{adapter}: HTTP {status}: {document}', step, self.peer, answered=True)
        return int(document.get('incarnation', 0))

    async def _exchange_json(
        self, step: str, method: str, path: str, document: Any, timeout_seconds: float
    ) -> tuple[int, Any]:
        try:
            async with time_limit(timeout_seconds):
                return await fetch_json(self.address, method, path, document)
        except (ClientError, TimeoutError) as exc:
            raise EngineError(repr(exc), step=step, peer=self.peer) from exc
