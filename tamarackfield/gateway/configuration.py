"""What is in force: the newest catalog, the targets and the versions of adapters."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.matching import RouteTable
from tamarackfield.gateway.model import Catalog, TargetRecord, Versions
from tamarackfield.gateway.replica import Item


@dataclass(frozen=True, slots=True)
class TargetGone:
    """An item names no target any more."""

    name: str


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """An operator announced a version of an adapter, ``model/adapter``."""

    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """An item that says nothing usable; ``reason`` tells why."""

    reason: str


Decoded = Catalog | TargetRecord | TargetGone | AdapterVersion | Unreadable


class Configuration:
    """Takes in items and keeps what they say.

    Parameters
    ----------
    decode : callable
        Returns what an item says.
    directory : Directory
        Of the targets.
    """

    def __init__(self, decode: Callable[[Item], Decoded], directory: Directory) -> None:
        """Start with nothing in force."""
        self.decode = decode
        self.directory = directory
        self.versions = Versions()
        self.catalog: Catalog | None = None
        self.routes: RouteTable | None = None
        self.listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function whenever something changed."""
        self.listeners.append(listener)

    def take(self, item: Item, unsettled: bool) -> None:
        """Take in an item that is newer than what was known of its key.

        Parameters
        ----------
        item : Item
            As the store or a peer reports it.
        unsettled : bool
            Whether the store was in trouble shortly before.
        """
        match self.decode(item):
            case Catalog() as catalog:
                self._take_catalog(catalog)
            case TargetRecord() as record:
                self.directory.put(record)
            case TargetGone(name):
                self.directory.remove(name, unsettled)
            case AdapterVersion(adapter, version):
                if self.versions.announce(adapter, version):
                    logger.bind(adapter=adapter, version=version, revision=item.revision).info('adapter_version')
            case Unreadable(reason):
                logger.bind(key=item.key, revision=item.revision, reason=reason).warning('item_passed_over')
        for listener in self.listeners:
            listener()

    def _take_catalog(self, catalog: Catalog) -> None:
        before = self.catalog
        if before is not None and catalog.version <= before.version:
            logger.bind(version=catalog.version, in_force=before.version).warning('older_configuration_passed_over')
            return
        self.catalog = catalog
        self.routes = RouteTable(catalog)
        logger.bind(version=catalog.version, routes=len(catalog.routes), services=len(catalog.services)).info(
            'configuration_in_force'
        )
