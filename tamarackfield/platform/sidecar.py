"""Sidecar program, which runs on the machine of a model worker."""

from dataclasses import dataclass
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from tamarackfield.core import SYSTEM_CLOCK, Address, Application, Problem, new_incarnation, split_address
from tamarackfield.manager.app import Manager
from tamarackfield.platform.engine import WorkerEngine
from tamarackfield.core.settings_reader import SettingsReader, require_string
from tamarackfield.platform.settings import METRICS_PORT
from tamarackfield.wire.messages import Hello


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of a sidecar.

    Parameters
    ----------
    instance, zone : str
        Instance name and availability zone of this process.
    listen : tuple of str and int
        Address on which entries connect.
    engine : tuple of str and int
        Address of the worker on the same machine.
    """

    instance: str
    zone: str
    listen: Address
    engine: Address


class Sidecar:
    """Application of a sidecar."""

    def __init__(self, settings: SidecarSettings) -> None:
        """Build every component without starting any."""
        instance = settings.instance
        hello = Hello('sidecar', instance, new_incarnation(), settings.zone, SYSTEM_CLOCK.unix_ms(), '')
        engine = WorkerEngine(settings.engine, instance)
        self.application: Application = Manager(instance, settings.listen, engine, hello, METRICS_PORT).application

    def reload(self, document: dict[str, Any]) -> None:
        """Log a reload; the settings of a sidecar do not change while it runs."""
        logger.bind(changed='nothing').info('settings_reloaded')


def build_program(document: dict[str, Any]) -> Result[Sidecar, list[Problem]]:
    """Build a sidecar from its settings document, or return every problem found in it."""
    settings = read_sidecar_settings(document)
    return settings if isinstance(settings, Err) else Ok(Sidecar(settings.ok_value))


def read_sidecar_settings(document: dict[str, Any]) -> Result[SidecarSettings, list[Problem]]:
    """Return the settings of a sidecar, or every problem found; ``app`` is the address of its worker."""
    reader = SettingsReader(document)
    settings = SidecarSettings(
        instance=reader.read(require_string, 'node'),
        zone=reader.read(require_string, 'zone'),
        listen=(reader.read(require_string, 'ip'), reader.read(int, 'port_range', 0)),
        engine=reader.read(split_address, 'app'),
    )
    return reader.finish(settings)
