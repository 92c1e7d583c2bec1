"""Adapter residency on one engine: pins, loads and evictions.

Load pattern: thousands of adapters of skewed popularity share a few slots of each engine, and
demand moves between them within seconds. A load evicts the least recently used adapter. An adapter
that serves a request, or that a granted request is about to use, is pinned and is never evicted.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

#: Largest number of loads in progress on one engine, from the engine's contract.
MAX_CONCURRENT_LOADS = 4
_NO_PROTECTED_ADAPTERS: frozenset[str] = frozenset()


@dataclass(slots=True)
class Resident:
    """A resident adapter.

    Parameters
    ----------
    version : int
        Resident version.
    pins : int
        Number of granted requests that have not ended.
    last_used_at : float
        Time of the last use in monotonic seconds.
    """

    version: int
    pins: int = 0
    last_used_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to load an adapter; ``version`` 0 selects the newest."""

    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class UnloadOrder:
    """Order to unload an adapter."""

    adapter: str


Order = LoadOrder | UnloadOrder


@dataclass(slots=True)
class Residency:
    """Adapters of one incarnation of an engine, by ``model/adapter``.

    Parameters
    ----------
    slots : int
        Number of adapters that fit, those being loaded included.
    residents : dict
        Resident adapters.
    loading : dict
        Versions of the adapters being loaded; 0 if not known.
    max_loads : int
        Largest number of loads in progress now, at most `MAX_CONCURRENT_LOADS`.

    Examples
    --------
    >>> residency = Residency(slots=1)
    >>> residency.next_order('m/a', 0)
    LoadOrder(adapter='m/a', version=0)
    >>> residency.update({'m/a': 1}, ())
    >>> residency.pin('m/a', now=1.0)
    >>> residency.next_order('m/b', 0) is None
    True
    >>> residency.unpin('m/a', now=2.0)
    >>> residency.next_order('m/b', 0)
    UnloadOrder(adapter='m/a')
    """

    slots: int
    residents: dict[str, Resident] = field(default_factory=dict)
    loading: dict[str, int] = field(default_factory=dict)
    max_loads: int = MAX_CONCURRENT_LOADS

    def update(self, resident_versions: dict[str, int], loading: Iterable[str]) -> None:
        """Replace the state with the resident and loading adapters that the engine reports.

        Adapters that stay resident keep their pins and the time of their last use.

        Parameters
        ----------
        resident_versions : dict
            Resident versions by adapter.
        loading : iterable of str
            Adapters being loaded.
        """
        previous = self.residents
        self.residents = {}
        for adapter, version in resident_versions.items():
            self.residents[adapter] = _update_resident(previous.get(adapter), version)
        self.loading = {adapter: self.loading.get(adapter, 0) for adapter in loading}

    def is_resident(self, adapter: str, version: int) -> bool:
        """Return whether a request for at least this version can run now."""
        resident = self.residents.get(adapter)
        return resident is not None and resident.version >= version and adapter not in self.loading

    def pin(self, adapter: str, now: float) -> None:
        """Pin an adapter for a request, which protects it from eviction."""
        resident = self.residents[adapter]
        resident.pins += 1
        resident.last_used_at = now

    def unpin(self, adapter: str, now: float) -> None:
        """Unpin an adapter after a request; an adapter of an earlier incarnation of the engine is ignored."""
        resident = self.residents.get(adapter)
        if resident is not None and resident.pins:
            resident.pins -= 1
            resident.last_used_at = now

    def next_order(
        self, adapter: str, version: int, protected: frozenset[str] = _NO_PROTECTED_ADAPTERS
    ) -> Order | None:
        """Return the next order towards loading an adapter, or None if it has to wait.

        Parameters
        ----------
        adapter : str
            Adapter to be loaded.
        version : int
            Least version required; 0 for any.
        protected : frozenset of str
            Adapters that queued requests need; they are not evicted.
        """
        resident = self.residents.get(adapter)
        if adapter in self.loading or len(self.loading) >= self.max_loads:
            return None
        if resident is not None:
            return None if resident.pins or resident.version >= version else LoadOrder(adapter, version)
        if self.used_slots() < self.slots:
            return LoadOrder(adapter, version)
        victim = self.find_victim(protected)
        return None if victim is None else UnloadOrder(victim)

    def used_slots(self) -> int:
        """Return the number of used slots, those of adapters being loaded included."""
        return len(self.residents.keys() | self.loading.keys())

    def count_pinned(self) -> int:
        """Return the number of pinned adapters."""
        return sum(resident.pins > 0 for resident in self.residents.values())

    def find_victim(self, protected: frozenset[str]) -> str | None:
        """Return the least recently used adapter that is not pinned, protected or being loaded, or None."""
        evictable = [
            (resident.last_used_at, adapter)
            for adapter, resident in self.residents.items()
            if not resident.pins and adapter not in protected and adapter not in self.loading
        ]
        return min(evictable)[1] if evictable else None


def _update_resident(previous: Resident | None, version: int) -> Resident:
    if previous is None:
        return Resident(version)
    previous.version = version
    return previous
