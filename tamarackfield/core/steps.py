"""Long work in steps, between which the event loop runs."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

#: Number of elements of one step; each takes well under a tenth of a millisecond.
STEP_ELEMENTS = 100

Element = TypeVar('Element')


async def in_steps(elements: Iterable[Element]) -> AsyncIterator[Element]:
    """Yield elements, and let the event loop run after every `STEP_ELEMENTS` of them."""
    for number, element in enumerate(elements, start=1):
        yield element
        if number % STEP_ELEMENTS == 0:
            await asyncio.sleep(0)
