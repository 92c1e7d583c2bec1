"""Entry program, which runs on machines that receive callers' traffic."""

from typing import Any

from loguru import logger
from result import Err, Ok, Result

from tamarackfield.core import Address, Application, Problem, format_problems, split_address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.app import Gateway, PlatformInterface
from tamarackfield.gateway.memory import MemoryLimits, divide_memory
from tamarackfield.gateway.settings import GatewaySettings
from tamarackfield.platform.calls import WorkerDialect, read_call
from tamarackfield.platform.headers import REQUEST_ID_HEADER
from tamarackfield.platform.items import STORE_PREFIX, decode_item
from tamarackfield.core.settings_reader import SettingsReader, require_share, require_string
from tamarackfield.platform.settings import METRICS_PORT
from tamarackfield.platform.store import PlatformStore

#: Share of the platform's retry limits that the entries use; the margin allows for differences in clocks and windows.
RETRY_LIMIT_SHARE = 0.8
#: Share of a machine's file descriptors for callers' connections; the remainder is for connections to workers,
#: the store and peers, and for files.
CALLER_DESCRIPTOR_SHARE = 0.6


class Entry:
    """Application of an entry, and the components that changed settings apply to."""

    def __init__(self, store_address: Address, settings: GatewaySettings) -> None:
        """Build every component without starting any."""
        self.store = PlatformStore(store_address)
        platform = PlatformInterface(
            store=self.store,
            store_prefix=STORE_PREFIX,
            decode=decode_item,
            read_call=read_call,
            dialect=WorkerDialect(),
            id_header=REQUEST_ID_HEADER,
            ready_path='/v1/ready',
        )
        self.gateway = Gateway(settings, platform)
        self.application: Application = self.gateway.application

    def reload(self, document: dict[str, Any]) -> None:
        """Apply changed settings; invalid ones are logged and ignored."""
        outcome = read_entry_settings(document)
        if isinstance(outcome, Err):
            logger.bind(problems=format_problems(outcome.err_value)).error('settings_not_taken')
            return
        store_address, settings = outcome.ok_value
        self.store.address = store_address
        self.gateway.reload(settings)


def build_program(document: dict[str, Any]) -> Result[Entry, list[Problem]]:
    """Build an entry from its settings document, or return every problem found in it."""
    outcome = read_entry_settings(document)
    return outcome if isinstance(outcome, Err) else Ok(Entry(*outcome.ok_value))


def read_entry_settings(document: dict[str, Any]) -> Result[tuple[Address, GatewaySettings], list[Problem]]:
    """Return the address of the store and the settings of an entry, or every problem found."""
    reader = SettingsReader(document)
    store_address = reader.read(split_address, 'provider', 'address')
    peer_address = document.get('listen', {}).get('control') if isinstance(document.get('listen'), dict) else None
    limits = document.get('limits')
    knows_memory = isinstance(limits, dict) and 'memory_mb' in limits
    is_strict = bool(reader.read(_find_strictness, 'bounds'))
    settings = GatewaySettings(
        instance=reader.read(require_string, 'node'),
        zone=reader.read(require_string, 'zone'),
        listen=reader.read(split_address, 'listen', 'front'),
        ready_listen=reader.read(split_address, 'listen', 'ready'),
        peer_listen=reader.read(split_address, 'listen', 'control') if peer_address else None,
        seeds=reader.read(_split_addresses, 'seeds') if document.get('seeds') else (),
        manager_port=reader.read(int, 'port_range', 0),
        metrics_port=METRICS_PORT,
        retry_share=reader.read(_scale_retry_limit, 'bounds', 'retry_budget_ratio'),
        retry_allowance=reader.read(_scale_retry_limit, 'bounds', 'budget_extra'),
        retry_window_seconds=reader.read(float, 'bounds', 'budget_window_s'),
        leaving_seconds=reader.read(_to_seconds, 'bounds', 'drain_ms'),
        change_seconds=reader.read(_to_seconds, 'bounds', 'config_apply_ms'),
        recovery_seconds=reader.read(_to_seconds, 'bounds', 'contact_ms'),
        grace_seconds=reader.read(float, 'bounds', 'grace_s'),
        max_connections=reader.read(_connection_limit, 'limits', 'max_fds'),
        memory=reader.read(divide_memory, 'limits', 'memory_mb') if knows_memory else MemoryLimits(),
        strict_revoke=is_strict,
        revoke_seconds=reader.read(_to_seconds, 'bounds', 'revoke_ms') if is_strict else 0.0,
        hedging_share=reader.read(require_share, 'hedging', 'share') if document.get('hedging') else 0.0,
    )
    return reader.finish((store_address, settings))


def _find_strictness(bounds: Any) -> bool:
    return bool(bounds.get('strict_revoke', False))


def _to_seconds(milliseconds: Any) -> float:
    return float(milliseconds) / MS_PER_SECOND


def _scale_retry_limit(platform_limit: Any) -> float:
    return float(platform_limit) * RETRY_LIMIT_SHARE


def _connection_limit(descriptors: Any) -> int:
    return int(descriptors * CALLER_DESCRIPTOR_SHARE)


def _split_addresses(addresses: Any) -> tuple[Address, ...]:
    return tuple(split_address(text) for text in addresses)
