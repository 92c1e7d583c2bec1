"""Reads the platform's list of instances, which lags and may be wrong: a hint beside the streams.

A target listed as leaving gets no new work, unless its stream shows a newer incarnation than the
one that was listed, or the list would write off more of the fleet than one process may.
"""

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loguru import logger

from tamarackfield.core import TamarackfieldError
from tamarackfield.core.problems import split_address
from tamarackfield.web import fetch

#: Seconds between two reads of the list.
READ_INTERVAL = 2.0
#: Seconds allowed for one read.
READ_TIMEOUT = 2.0
#: Largest share of the targets that one process writes off by the list.
MAX_WRITTEN_OFF = 0.5
#: State of an instance that is about to go.
LEAVING = 'leaving'
_OK = 200
_PATH = '/v1/instances'
#: What a listing of the wrong shape raises when it is read.
_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


class InstanceListError(TamarackfieldError):
    """The instance list gave no usable answer."""


@dataclass(frozen=True, slots=True)
class Sighting:
    """What this process sees of a target: its address and, over a stream, its incarnation (0 for none)."""

    address: str
    incarnation: int


def cap_written_off(marked: list[str], total: int) -> list[str]:
    """Return the targets to write off, those marked first before others.

    Examples
    --------
    >>> cap_written_off(['a', 'b', 'c'], 4)
    ['a', 'b']
    """
    return marked[: int(total * MAX_WRITTEN_OFF)]


class LeavingTargets:
    """Which targets this process writes off by the list."""

    def __init__(self) -> None:
        """Start with none."""
        self.marks: dict[str, int] = {}

    def update(self, leaving: set[str], sightings: Mapping[str, Sighting]) -> list[str]:
        """Take in a reading.

        Parameters
        ----------
        leaving : set of str
            Addresses that the list shows as leaving.
        sightings : mapping
            Targets by name.

        Returns
        -------
        list of str
            Names of the targets marked, in the order in which they were marked.
        """
        listed = {name for name, sighting in sightings.items() if sighting.address in leaving}
        self.marks = {name: incarnation for name, incarnation in self.marks.items() if name in listed}
        for name in sorted(listed):
            self.marks.setdefault(name, sightings[name].incarnation)
        return [name for name in self.marks if not self._was_replaced(name, sightings[name])]

    def _was_replaced(self, name: str, sighting: Sighting) -> bool:
        """Tell whether the stream reaches another incarnation than the one that was marked."""
        marked = self.marks[name]
        return bool(marked and sighting.incarnation and sighting.incarnation != marked)


class InstanceReader:
    """Task that reads the list and tells which targets to write off.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of the list, tried in order.
    sightings : callable
        Returns what this process sees of each target.
    apply : callable
        Takes the names of the targets that get no new work.
    record : callable
        Takes the action and details of each change, for the audit trail.
    """

    def __init__(
        self,
        addresses: list[str],
        sightings: Callable[[], dict[str, Sighting]],
        apply: Callable[[frozenset[str]], None],
        record: Callable[..., None],
    ) -> None:
        """Prepare; nothing is read yet."""
        self.addresses = [split_address(address) for address in addresses]
        self.sightings = sightings
        self.apply = apply
        self.record = record
        self.state = LeavingTargets()
        self.written_off: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read for ever; while the list is away, what it said last stays."""
        while True:
            try:
                self.take(await self._read())
            except InstanceListError as exc:
                logger.bind(error=exc.message, step=exc.step).warning('instance_list_unavailable')
            await asyncio.sleep(READ_INTERVAL * random.uniform(0.5, 1))

    def take(self, leaving: set[str]) -> None:
        """Take in the addresses that the list shows as leaving."""
        sightings = self.sightings()
        marked = self.state.update(leaving, sightings)
        written_off = frozenset(cap_written_off(marked, len(sightings)))
        if written_off != self.written_off:
            self.record('targets_written_off', targets=sorted(written_off), listed=len(marked))
        self.written_off = written_off
        self.apply(written_off)

    async def _read(self) -> set[str]:
        problem = 'no address is set'
        for address in self.addresses:
            try:
                async with asyncio.timeout(READ_TIMEOUT):
                    status, _, content = await fetch(address, 'GET', _PATH)
            except (TamarackfieldError, TimeoutError) as exc:
                problem = repr(exc)
                continue
            if status == _OK:
                return read_leaving(content)
            problem = f'status {status}'
        raise InstanceListError(problem, step='read_instances', peer=str(self.addresses))


def read_leaving(content: bytes) -> set[str]:
    """Return the addresses that a listing shows as leaving.

    Raises
    ------
    InstanceListError
        If it is not a listing.

    Examples
    --------
    >>> read_leaving(b'{"instances": [{"address": "10.0.0.1:1", "state": "leaving"}]}')
    {'10.0.0.1:1'}
    """
    try:
        listing: list[Any] = json.loads(content)['instances']
        return {str(instance['address']) for instance in listing if instance.get('state') == LEAVING}
    except _MALFORMED as exc:
        raise InstanceListError(f'not a listing: {exc!r}', step='read_instances') from None
