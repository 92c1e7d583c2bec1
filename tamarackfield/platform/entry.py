"""The program on machines that take traffic."""

from typing import Any

from loguru import logger
from result import Err, Ok, Result

from tamarackfield.core import Address, Application, Problem, format_problems, split_address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.app import Gateway, PlatformInterface
from tamarackfield.gateway.settings import GatewaySettings
from tamarackfield.platform.calls import REQUEST_ID, WorkerDialect, read_call
from tamarackfield.platform.items import OPERATOR_PREFIX, WORKER_PREFIX, decode_item
from tamarackfield.platform.settings import METRICS_PORT, SettingsReader, read_text
from tamarackfield.platform.store import PlatformStore

#: Share of the allowed retries that the entries use, so that clocks and windows may differ.
RETRY_MARGIN = 0.8
#: Share of a machine's descriptors that clients' connections may take; the rest is for workers,
#: the store, peers and files.
CLIENT_DESCRIPTOR_SHARE = 0.6


class Entry:
    """The application, and what its settings change."""

    def __init__(self, store_address: Address, settings: GatewaySettings) -> None:
        """Build every part."""
        self.store = PlatformStore(store_address)
        platform = PlatformInterface(
            store=self.store,
            configuration_prefix=OPERATOR_PREFIX,
            instance_prefix=WORKER_PREFIX,
            decode=decode_item,
            read_call=read_call,
            dialect=WorkerDialect(),
            id_header=REQUEST_ID,
            ready_path='/v1/ready',
        )
        self.gateway = Gateway(settings, platform)
        self.application: Application = self.gateway.application

    def reload(self, document: dict[str, Any]) -> None:
        """Take changed settings unless something is wrong with them."""
        found = read_entry_settings(document)
        if isinstance(found, Err):
            logger.bind(problems=format_problems(found.err_value)).error('settings_not_taken')
            return
        store_address, settings = found.ok_value
        self.store.address = store_address
        self.gateway.reload(settings)


def build(document: dict[str, Any]) -> Result[Entry, list[Problem]]:
    """Build an entry from its settings, or return every problem in them."""
    found = read_entry_settings(document)
    return found if isinstance(found, Err) else Ok(Entry(*found.ok_value))


def read_entry_settings(document: dict[str, Any]) -> Result[tuple[Address, GatewaySettings], list[Problem]]:
    """Return the address of the store and the settings of an entry, or every problem."""
    reader = SettingsReader(document)
    store_address = reader.read(split_address, 'provider', 'address')
    control = document.get('listen', {}).get('control') if isinstance(document.get('listen'), dict) else None
    settings = GatewaySettings(
        instance=reader.read(read_text, 'node'),
        zone=reader.read(read_text, 'zone'),
        listen=reader.read(split_address, 'listen', 'front'),
        ready_listen=reader.read(split_address, 'listen', 'ready'),
        peer_listen=reader.read(split_address, 'listen', 'control') if control else None,
        seeds=reader.read(_addresses, 'seeds') if document.get('seeds') else (),
        manager_port=reader.read(int, 'port_range', 0),
        metrics_port=METRICS_PORT,
        retry_share=reader.read(_less_margin, 'bounds', 'retry_budget_ratio'),
        retry_allowance=reader.read(_less_margin, 'bounds', 'budget_extra'),
        retry_window_seconds=reader.read(float, 'bounds', 'budget_window_s'),
        leaving_seconds=reader.read(_seconds, 'bounds', 'drain_ms'),
        grace_seconds=reader.read(float, 'bounds', 'grace_s'),
        max_connections=reader.read(_client_connections, 'limits', 'max_fds'),
    )
    return reader.finish((store_address, settings))


def _seconds(milliseconds: Any) -> float:
    return float(milliseconds) / MS_PER_SECOND


def _less_margin(allowed: Any) -> float:
    return float(allowed) * RETRY_MARGIN


def _client_connections(descriptors: Any) -> int:
    return int(descriptors * CLIENT_DESCRIPTOR_SHARE)


def _addresses(found: Any) -> tuple[Address, ...]:
    return tuple(split_address(text) for text in found)
