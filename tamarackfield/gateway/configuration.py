"""Configuration in force: the newest catalog, the targets and the versions of adapters."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.matching import RouteTable
from tamarackfield.gateway.model import Catalog, TargetRecord, Versions
from tamarackfield.gateway.replica import Item


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Item that no longer describes a target; ``fault`` says what is malformed in it, empty if it was deleted."""

    name: str
    fault: str = ''


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """Version of an adapter, ``model/adapter``, that an operator announced."""

    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """Item that cannot be decoded; ``reason`` describes the fault."""

    reason: str


DecodedItem = Catalog | TargetRecord | TargetRemoved | AdapterVersion | UnreadableItem


class Configuration:
    """State decoded from the items of the store.

    Parameters
    ----------
    decode : callable
        Decodes an item.
    directory : Directory
        Directory of the targets.
    store_age_seconds : callable
        Returns the time since the store last answered, for logs.
    """

    def __init__(
        self,
        decode: Callable[[Item], DecodedItem],
        directory: Directory,
        store_age_seconds: Callable[[], float],
    ) -> None:
        """Start without a catalog."""
        self.decode = decode
        self.directory = directory
        self.store_age_seconds = store_age_seconds
        self.versions = Versions()
        self.catalog: Catalog | None = None
        self.catalog_item: Item | None = None
        self.routes: RouteTable | None = None
        self.listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each item."""
        self.listeners.append(listener)

    def apply_item(self, item: Item, missing_seconds: float) -> None:
        """Apply an item that is newer than the known revision of its key.

        Parameters
        ----------
        item : Item
            Item reported by the store or by a peer.
        missing_seconds : float
            Time in seconds for which a deleted item may come back, because the store was unreliable; 0 if it cannot.
        """
        try:
            self._apply_decoded(item, self.decode(item), missing_seconds)
        except Exception as exc:  # noqa: BLE001 whatever one item raises, the work on the others goes on
            bound = logger.bind(key=item.key, revision=item.revision.number, error=repr(exc))
            bound.opt(exception=True).error('item_not_applied')
        for listener in self.listeners:
            listener()

    def _apply_decoded(self, item: Item, decoded: DecodedItem, missing_seconds: float) -> None:
        match decoded:
            case Catalog() as catalog:
                self._apply_catalog(catalog, item)
            case TargetRecord() as record:
                self.directory.upsert(record)
            case TargetRemoved(name, fault):
                self._remove_target(item, name, fault, missing_seconds)
            case AdapterVersion(adapter, version):
                if self.versions.record_version(adapter, version):
                    logger.bind(adapter=adapter, version=version, revision=item.revision.number).info('adapter_version')
            case UnreadableItem(reason):
                logger.bind(key=item.key, revision=item.revision.number, reason=reason).warning('item_passed_over')

    def _remove_target(self, item: Item, name: str, fault: str, missing_seconds: float) -> None:
        if fault:
            bound = logger.bind(key=item.key, revision=item.revision.number, target=name, reason=fault)
            bound.warning('target_entry_malformed')
        self.directory.remove(name, missing_seconds)

    def apply_kept_item(self, item: Item) -> None:
        """Apply the item of a configuration that is in force at a peer, whatever the store has."""
        catalog = self.decode(item)
        if isinstance(catalog, Catalog):
            self._apply_catalog(catalog, item)
            for listener in self.listeners:
                listener()

    def kept_items(self) -> list[Item]:
        """Return the item of the configuration in force, for peers that have not read it from the store."""
        return [] if self.catalog_item is None else [self.catalog_item]

    def _is_rewritten(self, catalog: Catalog, item: Item) -> bool:
        """Return whether an item was written later than that in force, with other customers for the same version.

        After a return from an older copy, versions may be given out again; a key removed by such a one is removed.
        """
        in_force, known = self.catalog, self.catalog_item
        if in_force is None or known is None or catalog.customers == in_force.customers:
            return False
        return item.revision > known.revision

    def _apply_catalog(self, catalog: Catalog, item: Item) -> None:
        previous = self.catalog
        if previous is not None and catalog.version == previous.version and not self._is_rewritten(catalog, item):
            if self.catalog_item is None or item.revision > self.catalog_item.revision:
                self.catalog_item = item
            return
        if previous is not None and catalog.version < previous.version:
            logger.bind(version=catalog.version, in_force=previous.version).warning('older_configuration_ignored')
            return
        self.routes = RouteTable(catalog)
        self.catalog = catalog
        self.catalog_item = item
        logger.bind(
            version=catalog.version,
            routes=len(catalog.routes),
            services=len(catalog.services),
            era=item.revision.era,
            revision=item.revision.number,
            store_age_seconds=round(self.store_age_seconds(), 3),
        ).info('configuration_in_force')
