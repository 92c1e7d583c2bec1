"""Which adapters one engine holds: pins, loads, and which one yields.

Load pattern: thousands of adapters of skewed popularity share a few places of each engine, and
demand moves from some to others within seconds. A load takes a place from the adapter that was
used longest ago; one that serves a request, or that a granted request is about to use, is pinned
and never yields.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

#: Adapters that may be on their way to one engine at the same time, from the engine's contract.
MAX_INCOMING = 4
_NONE_SPARED: frozenset[str] = frozenset()


@dataclass(slots=True)
class Resident:
    """An adapter in its place.

    Parameters
    ----------
    version : int
        That is held.
    pins : int
        Granted requests that have not ended.
    used_at : float
        Monotonic seconds of the last use.
    """

    version: int
    pins: int = 0
    used_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Load an adapter; ``version`` 0 takes the newest."""

    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class UnloadOrder:
    """Take an adapter out of its place."""

    adapter: str


Order = LoadOrder | UnloadOrder


@dataclass(slots=True)
class Residency:
    """Adapters of one life of an engine, by ``model/adapter``.

    Parameters
    ----------
    places : int
        Adapters that fit, those on their way included.
    residents : dict
        Adapters in their places.
    incoming : dict
        Versions of those on their way; 0 if not known.

    Examples
    --------
    >>> residency = Residency(places=1)
    >>> residency.next_order('m/a', 0)
    LoadOrder(adapter='m/a', version=0)
    >>> residency.observe({'m/a': 1}, ())
    >>> residency.pin('m/a', now=1.0)
    >>> residency.next_order('m/b', 0) is None
    True
    >>> residency.unpin('m/a', now=2.0)
    >>> residency.next_order('m/b', 0)
    UnloadOrder(adapter='m/a')
    """

    places: int
    residents: dict[str, Resident] = field(default_factory=dict)
    incoming: dict[str, int] = field(default_factory=dict)

    def observe(self, held: dict[str, int], incoming: Iterable[str]) -> None:
        """Take in what the engine says that it holds and what is on its way.

        Parameters
        ----------
        held : dict
            Versions by adapter.
        incoming : iterable of str
            Adapters on their way.
        """
        kept = self.residents
        self.residents = {}
        for adapter, version in held.items():
            self.residents[adapter] = _renew(kept.get(adapter), version)
        self.incoming = {adapter: self.incoming.get(adapter, 0) for adapter in incoming}

    def holds(self, adapter: str, version: int) -> bool:
        """Tell whether requests for at least this version can run now."""
        resident = self.residents.get(adapter)
        return resident is not None and resident.version >= version and adapter not in self.incoming

    def pin(self, adapter: str, now: float) -> None:
        """Keep an adapter for a request."""
        resident = self.residents[adapter]
        resident.pins += 1
        resident.used_at = now

    def unpin(self, adapter: str, now: float) -> None:
        """Note that a request ended; an adapter of an earlier life of the engine is passed over."""
        resident = self.residents.get(adapter)
        if resident is not None and resident.pins:
            resident.pins -= 1
            resident.used_at = now

    def next_order(self, adapter: str, version: int, spared: frozenset[str] = _NONE_SPARED) -> Order | None:
        """Return the order that brings an adapter nearer, None if it must wait.

        Parameters
        ----------
        adapter : str
            That is wanted.
        version : int
            Least version that is wanted; 0 for any.
        spared : frozenset of str
            Adapters that waiting requests need; they do not yield.
        """
        resident = self.residents.get(adapter)
        if adapter in self.incoming or len(self.incoming) >= MAX_INCOMING:
            return None
        if resident is not None:
            return None if resident.pins or resident.version >= version else LoadOrder(adapter, version)
        if self.used_places() < self.places:
            return LoadOrder(adapter, version)
        victim = self.find_victim(spared)
        return None if victim is None else UnloadOrder(victim)

    def used_places(self) -> int:
        """Return the places taken, those of adapters on their way included."""
        return len(self.residents.keys() | self.incoming.keys())

    def count_pinned(self) -> int:
        """Return the adapters that cannot yield now."""
        return sum(resident.pins > 0 for resident in self.residents.values())

    def find_victim(self, spared: frozenset[str]) -> str | None:
        """Return the adapter that yields: unpinned, not waited for, used longest ago."""
        free = [
            (resident.used_at, adapter)
            for adapter, resident in self.residents.items()
            if not resident.pins and adapter not in spared and adapter not in self.incoming
        ]
        return min(free)[1] if free else None


def _renew(before: Resident | None, version: int) -> Resident:
    if before is None:
        return Resident(version)
    before.version = version
    return before
