"""Reads the platform's instance list, which is stale and may be wrong: it only supplements the state of the streams.

A target listed as leaving is excluded, so that it gets no new work, unless its stream shows another
incarnation than the one that was marked, or the list would exclude more than the allowed share of
the targets. The audit trail and the status page call excluded targets ``written_off``.
"""

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from loguru import logger

from tamarackfield.core import TamarackfieldError
from tamarackfield.core.fields import MALFORMED, require_list, require_text
from tamarackfield.core.problems import split_address
from tamarackfield.core.time_limits import time_limit
from tamarackfield.web import fetch

#: Longest interval between two reads of the list; the shortest is half of it.
READ_INTERVAL_SECONDS = 2.0
#: Time-out of a read at one address.
READ_TIMEOUT_SECONDS = 2.0
#: Largest share of the targets that one process excludes because of the list.
MAX_EXCLUDED_SHARE = 0.5
#: State in the list of an instance that is about to shut down.
LEAVING_STATE = 'leaving'
_OK = 200
_INSTANCES_PATH = '/v1/instances'


class InstanceListError(TamarackfieldError):
    """No address of the instance list gave a usable answer."""


@dataclass(frozen=True, slots=True)
class ObservedTarget:
    """State of a target as observed by this process: its address, and its incarnation from its stream (0 if none)."""

    address: str
    incarnation: int


def cap_excluded(marked: list[str], total: int) -> list[str]:
    """Return the targets to exclude: at most `MAX_EXCLUDED_SHARE` of the total, those marked earliest first.

    Examples
    --------
    >>> cap_excluded(['a', 'b', 'c'], 4)
    ['a', 'b']
    """
    return marked[: int(total * MAX_EXCLUDED_SHARE)]


class LeavingTargets:
    """Targets marked as leaving by the list, with the incarnation that each had when it was marked."""

    def __init__(self) -> None:
        """Initialize without marked targets."""
        self.marked_incarnations: dict[str, int] = {}

    def update(self, leaving: set[str], observed_targets: Mapping[str, ObservedTarget]) -> list[str]:
        """Update the marks from one reading of the list.

        Parameters
        ----------
        leaving : set of str
            Addresses that the list shows as leaving.
        observed_targets : mapping
            Observed state of each target by name.

        Returns
        -------
        list of str
            Names of the marked targets whose incarnation was not replaced, in the order of marking.
        """
        listed = {name for name, observed in observed_targets.items() if observed.address in leaving}
        self.marked_incarnations = {
            name: incarnation for name, incarnation in self.marked_incarnations.items() if name in listed
        }
        for name in sorted(listed):
            self.marked_incarnations.setdefault(name, observed_targets[name].incarnation)
        return [name for name in self.marked_incarnations if not self._was_replaced(name, observed_targets[name])]

    def _was_replaced(self, name: str, observed: ObservedTarget) -> bool:
        """Return whether the stream shows another incarnation than the one that was marked."""
        marked_incarnation = self.marked_incarnations[name]
        return bool(marked_incarnation and observed.incarnation and observed.incarnation != marked_incarnation)


class InstanceReader:
    """Periodically reads the list and determines the targets to exclude.

    Parameters
    ----------
    addresses : list of str
        Addresses of the list as ``ip:port``, tried in order.
    observed_targets : callable
        Returns the observed state of each target by name.
    exclude : callable
        Called after each reading with the names of the targets that get no new work.
    record : callable
        Records the action and details of each change in the audit trail.
    """

    def __init__(
        self,
        addresses: list[str],
        observed_targets: Callable[[], dict[str, ObservedTarget]],
        exclude: Callable[[frozenset[str]], None],
        record: Callable[..., None],
    ) -> None:
        """Initialize without reading the list."""
        self.addresses = [split_address(address) for address in addresses]
        self.observed_targets = observed_targets
        self.exclude = exclude
        self.record = record
        self.leaving_targets = LeavingTargets()
        self.excluded: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read periodically until cancelled; while the list is unavailable, the last reading stays in effect."""
        while True:
            try:
                self.apply_listing(await self._read())
            except InstanceListError as exc:
                logger.bind(error=exc.message, step=exc.step).warning('instance_list_unavailable')
            await asyncio.sleep(READ_INTERVAL_SECONDS * random.uniform(0.5, 1))

    def apply_listing(self, leaving: set[str]) -> None:
        """Update the excluded targets from the addresses that the list shows as leaving."""
        observed_targets = self.observed_targets()
        marked = self.leaving_targets.update(leaving, observed_targets)
        excluded = frozenset(cap_excluded(marked, len(observed_targets)))
        if excluded != self.excluded:
            self.record('targets_written_off', targets=sorted(excluded), listed=len(marked))
        self.excluded = excluded
        self.exclude(excluded)

    async def _read(self) -> set[str]:
        problem = 'no address is configured'
        for address in self.addresses:
            try:
                async with time_limit(READ_TIMEOUT_SECONDS):
                    status, _, content = await fetch(address, 'GET', _INSTANCES_PATH)
            except (TamarackfieldError, TimeoutError) as exc:
                problem = repr(exc)
                continue
            if status == _OK:
                return parse_leaving(content)
            problem = f'status {status}'
        raise InstanceListError(problem, step='read_instances', peer=str(self.addresses))


def parse_leaving(content: bytes) -> set[str]:
    """Return the addresses that an encoded list shows as leaving.

    Raises
    ------
    InstanceListError
        If the content is not an instance list.

    Examples
    --------
    >>> parse_leaving(b'{"instances": [{"address": "10.0.0.1:1", "state": "leaving"}]}')
    {'10.0.0.1:1'}
    """
    try:
        listing = require_list(json.loads(content)['instances'])
    except MALFORMED as exc:
        raise InstanceListError(f'malformed instance list: {exc!r}', step='read_instances') from None
    leaving = set()
    for instance in listing:
        try:
            if instance.get('state') == LEAVING_STATE:
                leaving.add(require_text(instance['address']))
        except MALFORMED as exc:
            logger.bind(error=repr(exc)).warning('instance_malformed')
    return leaving
