"""Watch of a settings file that another system replaces, with or without a signal."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from result import Err

from tamarackfield.core.problems import format_problems
from tamarackfield.core.settings_reader import parse_settings, read_content

#: Interval between two checks of the file, which may change without a signal.
SETTINGS_CHECK_SECONDS = 1.0


@dataclass(slots=True)
class SettingsFile:
    """Settings file of the process and its content when it was last taken."""

    path: str
    known_content: bytes


async def watch_settings(
    settings_file: SettingsFile, reload_requested: asyncio.Event, reload: Callable[[dict[str, Any]], None]
) -> None:
    """Reload the settings when the file changes or a signal requests it; never return.

    Parameters
    ----------
    settings_file : SettingsFile
        File, with the content that the program was built from.
    reload_requested : asyncio.Event
        Set by a signal.
    reload : callable
        Applies a settings document.
    """
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_SECONDS):
                await reload_requested.wait()
        except TimeoutError:
            logger.bind(path=settings_file.path).trace('settings_looked_at')
        was_requested = reload_requested.is_set()
        reload_requested.clear()
        content = read_content(settings_file.path)
        if isinstance(content, Err):
            logger.bind(problems=format_problems(content.err_value)).error('settings_not_read')
        elif content.ok_value != settings_file.known_content or was_requested:
            settings_file.known_content = content.ok_value
            _reload(settings_file, reload)


def _reload(settings_file: SettingsFile, reload: Callable[[dict[str, Any]], None]) -> None:
    document = parse_settings(settings_file.path, settings_file.known_content)
    if isinstance(document, Err):
        logger.bind(problems=format_problems(document.err_value)).error('settings_not_taken')
        return
    reload(document.ok_value)
