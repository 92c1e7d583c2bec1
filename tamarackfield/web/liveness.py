"""Proof that a server lived on after an answer that only the end of its connection ended.

The kernel ends the connections of a process that crashes as the process itself does after its answer, and it may accept
new ones for a moment. Neither an open connection nor the silence of others is therefore a proof, only an answer to a
call that was made afterwards.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable

from tamarackfield.core import Address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web.client import ClientError, open_request

#: Seconds in which a server proves that it lives; some answer only when they have finished other requests.
PROOF_SECONDS = 1.0
#: Seconds between two calls, of which the first was not answered.
RETRY_SECONDS = 0.1


class Liveness(enum.Enum):
    """What is known of a server after the end of an answer."""

    #: It has answered a later call.
    ALIVE = 'alive'
    #: No process listens at its address.
    ENDED = 'ended'
    #: Another instance, or another incarnation, answers at its address.
    REPLACED = 'replaced'
    #: No call was answered.
    UNKNOWN = 'unknown'


async def find_liveness(ask: Callable[[], Awaitable[Liveness]]) -> Liveness:
    """Ask until an answer tells something, for `PROOF_SECONDS` at most."""
    liveness = Liveness.UNKNOWN
    try:
        async with time_limit(PROOF_SECONDS):
            while liveness is Liveness.UNKNOWN:
                liveness = await ask()
                if liveness is Liveness.UNKNOWN:
                    await asyncio.sleep(RETRY_SECONDS)
    except TimeoutError:
        return Liveness.UNKNOWN
    return liveness


def interpret_failure(error: ClientError) -> Liveness:
    """Return what a call without an answer tells."""
    return Liveness.ENDED if isinstance(error.__cause__, ConnectionRefusedError) else Liveness.UNKNOWN


async def require_proof(address: Address) -> None:
    """Require an answer, whatever it is, of the server at an address to a call that runs nothing (``OPTIONS *``).

    Raises
    ------
    ClientError
        If there is none.
    """

    async def ask() -> Liveness:
        try:
            async with open_request(address, 'OPTIONS', '*'):
                return Liveness.ALIVE
        except ClientError as exc:
            return interpret_failure(exc)

    liveness = await find_liveness(ask)
    if liveness is not Liveness.ALIVE:
        message = f'peer is {liveness.value} after it closed the connection'
        raise ClientError(message, 'read_answer', f'{address[0]}:{address[1]}', sent=True)
