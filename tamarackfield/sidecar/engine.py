"""Client of the engine beside this sidecar: status, load and unload orders."""

import asyncio
from dataclasses import dataclass
from typing import Any

from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.web import ClientError, fetch_json

#: Seconds allowed for a status call.
STATUS_TIMEOUT = 2.0
#: Seconds allowed for a load or unload order.
ORDER_TIMEOUT = 30.0
_OK = 200


class EngineError(TamarackfieldError):
    """The engine refused an order or gave no usable answer."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What the engine says of itself.

    ``incarnation`` changes when it restarts; ``resident`` holds adapter references;
    ``highest_fence`` is the greatest fencing number that it saw.
    """

    incarnation: int
    resident: frozenset[str]
    running: int
    highest_fence: int


class EngineClient:
    """Gives orders to one engine.

    Parameters
    ----------
    address : tuple of str and int
        IP number and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Prepare; the fencing number is set before the first order."""
        self.address = address
        self.peer = f'{address[0]}:{address[1]}'
        self.fence = 0

    async def status(self) -> EngineStatus:
        """Read the engine's state.

        Raises
        ------
        EngineError
            If it gives none in time.
        """
        status, document = await self._call('status', 'GET', '/v1/status', None, STATUS_TIMEOUT)
        if status != _OK:
            raise EngineError(f'status call gave {status}', step='status', peer=self.peer)
        try:
            return EngineStatus(
                int(document['incarnation']),
                frozenset(document['resident']),
                int(document['running']),
                int(document.get('highest_fence', 0)),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EngineError(f'status is malformed: {exc!r}', step='status', peer=self.peer) from None

    async def load(self, adapter: str) -> int:
        """Order a load and return the incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the load failed or nobody knows whether it did.
        """
        return await self._order('load_adapter', '/v1/load_lora_adapter', adapter)

    async def unload(self, adapter: str) -> int:
        """Order an unload and return the incarnation that confirmed it.

        Raises
        ------
        EngineError
            If the unload was refused or nobody knows whether it took effect.
        """
        return await self._order('unload_adapter', '/v1/unload_lora_adapter', adapter)

    async def _order(self, step: str, path: str, adapter: str) -> int:
        order = {'lora_name': adapter, 'fence': self.fence}
        status, document = await self._call(step, 'POST', path, order, ORDER_TIMEOUT)
        if status != _OK:
            raise EngineError(f'{adapter}: status {status}: {document}', step=step, peer=self.peer)
        return int(document.get('incarnation', 0))

    async def _call(self, step: str, method: str, path: str, document: Any, seconds: float) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(seconds):
                return await fetch_json(self.address, method, path, document)
        except (ClientError, TimeoutError) as exc:
            raise EngineError(repr(exc), step=step, peer=self.peer) from exc
