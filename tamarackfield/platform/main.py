"""Programs on the platform: ``entry`` on machines that take traffic, ``sidecar`` beside model workers."""

import asyncio
import gc
import os
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Any

from loguru import logger
from result import Err

from tamarackfield.core import SYSTEM_CLOCK, Application, Problem, format_problems, new_incarnation
from tamarackfield.gateway.app import Edge, Gateway
from tamarackfield.manager.app import Manager
from tamarackfield.observe.bounded import configure_bounded_logs
from tamarackfield.platform.calls import REQUEST_ID, WorkerDialect, read_call
from tamarackfield.platform.engine import WorkerEngine
from tamarackfield.platform.items import OPERATOR_PREFIX, WORKER_PREFIX, decode_item
from tamarackfield.platform.settings import (
    read_document,
    read_gateway_settings,
    read_sidecar_settings,
    read_store_address,
)
from tamarackfield.platform.store import PlatformStore
from tamarackfield.wire.messages import Hello

#: Names the settings file.
SETTINGS_VARIABLE = 'TAMARACKFIELD_SETTINGS'
#: Exit code for settings that are not good.
EXIT_BAD_SETTINGS = 2
#: Exit code for a program that is not known.
EXIT_USAGE = 64
#: Seconds between two looks at the settings file, which may change without a signal.
SETTINGS_SECONDS = 1.0

Reload = Callable[[dict[str, Any]], None]


def main() -> None:
    """Run the program named by the first argument."""
    build = {'entry': build_entry, 'sidecar': build_sidecar}.get(sys.argv[-1])
    if build is None:
        sys.stderr.write('usage: python3 -m tamarackfield.platform entry|sidecar\n')
        sys.exit(EXIT_USAGE)
    path = os.environ.get(SETTINGS_VARIABLE, '')
    document = _accept(read_document(path))
    configure_bounded_logs(str(document.get('node', 'unnamed')), 'INFO')
    application, reload_settings = build(document)
    # What was imported and built lives as long as the process and need not be looked at again.
    gc.freeze()
    gc.enable()
    asyncio.run(_run(application, path, reload_settings))


def build_entry(document: dict[str, Any]) -> tuple[Application, Reload]:
    """Build an entry and what takes its changed settings."""
    store = PlatformStore(_accept(read_store_address(document)))
    edge = Edge(
        store=store,
        configuration_prefix=OPERATOR_PREFIX,
        instance_prefix=WORKER_PREFIX,
        decode=decode_item,
        read_call=read_call,
        dialect=WorkerDialect(),
        id_header=REQUEST_ID,
        ready_path='/v1/ready',
    )
    gateway = Gateway(_accept(read_gateway_settings(document)), edge)

    def reload_settings(changed: dict[str, Any]) -> None:
        address, settings = read_store_address(changed), read_gateway_settings(changed)
        if isinstance(address, Err) or isinstance(settings, Err):
            problems = [*(address.err() or []), *(settings.err() or [])]
            logger.bind(problems=format_problems(problems)).error('settings_not_taken')
            return
        store.address = address.ok_value
        gateway.reload(settings.ok_value)

    return gateway.application, reload_settings


def build_sidecar(document: dict[str, Any]) -> tuple[Application, Reload]:
    """Build a sidecar; nothing in its settings changes while it runs."""
    settings = _accept(read_sidecar_settings(document))
    hello = Hello('sidecar', settings.instance, new_incarnation(), settings.zone, SYSTEM_CLOCK.unix_ms(), '')
    manager = Manager(
        settings.instance,
        settings.listen,
        WorkerEngine(settings.engine, settings.instance),
        hello,
        settings.metrics_port,
    )

    def reload_settings(changed: dict[str, Any]) -> None:
        logger.bind(changed='nothing').info('settings_reloaded')

    return manager.application, reload_settings


async def _run(application: Application, path: str, reload_settings: Reload) -> None:
    asked = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, asked.set)
    application.supervise(lambda: _watch_settings(path, asked, reload_settings), 'settings')
    await application.run()


async def _watch_settings(path: str, asked: asyncio.Event, reload_settings: Reload) -> None:
    """Read the settings again when the file changed or a signal says so."""
    seen = pathlib.Path(path).read_bytes()
    while True:
        try:
            async with asyncio.timeout(SETTINGS_SECONDS):
                await asked.wait()
        except TimeoutError:
            logger.bind(path=path).trace('settings_looked_at')
        signalled = asked.is_set()
        asked.clear()
        try:
            content = pathlib.Path(path).read_bytes()
        except OSError as exc:
            logger.bind(path=path, error=repr(exc)).error('settings_not_read')
            continue
        if content != seen or signalled:
            seen = content
            _reload(path, reload_settings)


def _reload(path: str, reload_settings: Reload) -> None:
    document = read_document(path)
    if isinstance(document, Err):
        logger.bind(problems=format_problems(document.err_value)).error('settings_not_taken')
        return
    reload_settings(document.ok_value)


def _accept(outcome: Any) -> Any:
    """Return what was read, or end the program with every problem on one line."""
    if isinstance(outcome, Err):
        problems: list[Problem] = outcome.err_value
        sys.stderr.write(f'bad settings: {format_problems(problems)}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    return outcome.ok_value
