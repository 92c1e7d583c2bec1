"""Client of the engine beside this sidecar: status, load and unload orders."""

import asyncio
from dataclasses import dataclass
from typing import Any

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.web import ClientError, fetch_json

#: Seconds allowed for a status call.
STATUS_TIMEOUT_SECONDS = 2.0
#: Seconds allowed for a load or unload order.
ORDER_TIMEOUT_SECONDS = 30.0
_OK = 200
_NOT_FOUND = 404
#: Answers after which the engine knows the fencing number; it need not know the adapter.
_CLAIM_ACCEPTED_STATUSES = (_OK, _NOT_FOUND)


#: Name that no adapter has; an order for it has no effect but to carry a fencing number.
_PLACEHOLDER_ADAPTER = 'none@fence'


class EngineError(TamarackfieldError):
    """The engine refused an order or gave no usable answer.

    Parameters
    ----------
    message, step, peer : str
        As in `TamarackfieldError`.
    answered : bool
        Whether the engine itself answered; if not, an order may still take effect later.
    """

    def __init__(self, message: str, step: str, peer: str, *, answered: bool = False) -> None:
        """Keep what is known of the exchange."""
        super().__init__(message, step, peer)
        self.answered = answered


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What the engine says of itself.

    ``incarnation`` changes when it restarts; ``resident`` holds adapter references;
    ``highest_fence`` is the greatest fencing number that it saw, ``fencing`` whether it refuses
    lower ones. ``running`` counts the requests that it runs or queues.
    """

    incarnation: int
    resident: frozenset[str]
    running: int
    highest_fence: int
    fencing: bool = False


class EngineClient:
    """Gives orders to one engine.

    Parameters
    ----------
    address : tuple of str and int
        IP number and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Prepare; nothing is sent yet."""
        self.address = address
        self.peer = f'{address[0]}:{address[1]}'

    async def read_status(self) -> EngineStatus:
        """Read the engine's state.

        Raises
        ------
        EngineError
            If it gives none in time.
        """
        status, document = await self._exchange_json('status', 'GET', '/v1/status', None, STATUS_TIMEOUT_SECONDS)
        if status != _OK:
            raise EngineError(f'status call gave {status}', step='status', peer=self.peer)
        try:
            return EngineStatus(
                int(document['incarnation']),
                frozenset(document['resident']),
                int(document['running']) + int(document.get('waiting', 0)),
                int(document.get('highest_fence', 0)),
                document.get('fencing') is True,
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EngineError(f'status is malformed: {exc!r}', step='status', peer=self.peer) from None

    async def load_adapter(self, adapter: str, fence: int) -> int:
        """Order a load and return the incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the load failed or nobody knows whether it did.
        """
        return await self._send_order('load_adapter', '/v1/load_lora_adapter', adapter, fence)

    async def unload_adapter(self, adapter: str, fence: int) -> int:
        """Order an unload and return the incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the unload was refused or nobody knows whether it took effect.
        """
        return await self._send_order('unload_adapter', '/v1/unload_lora_adapter', adapter, fence)

    async def claim_fence(self, fence: int) -> None:
        """Make a fencing number known by an order without effect.

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
            raise EngineError(f'claim gave {status}: {document}', 'claim', self.peer, answered=True)

    async def cancel_request(self, request_id: str) -> bool:
        """Cancel a request and tell whether the engine knew it.

        Raises
        ------
        EngineError
            If the engine does not confirm.
        """
        body = {'request_id': request_id}
        status, document = await self._exchange_json('cancel', 'POST', '/v1/cancel', body, STATUS_TIMEOUT_SECONDS)
        if status != _OK or not isinstance(document, dict):
            raise EngineError(f'cancel gave {status}', step='cancel', peer=self.peer)
        return document.get('cancelled') is True

    async def _send_order(self, step: str, path: str, adapter: str, fence: int) -> int:
        order = {'lora_name': adapter, 'fence': fence}
        status, document = await self._exchange_json(step, 'POST', path, order, ORDER_TIMEOUT_SECONDS)
        if status != _OK:
            raise EngineError(f'{adapter}: status {status}: {document}', step, self.peer, answered=True)
        return int(document.get('incarnation', 0))

    async def _exchange_json(
        self, step: str, method: str, path: str, document: Any, timeout_seconds: float
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(timeout_seconds):
                return await fetch_json(self.address, method, path, document)
        except (ClientError, TimeoutError) as exc:
            raise EngineError(repr(exc), step=step, peer=self.peer) from exc
