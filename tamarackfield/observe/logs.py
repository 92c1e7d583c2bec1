"""Structured logs: each event is one line of ``key=value`` pairs on standard error."""

import json
import sys
from typing import Any

from loguru import logger


def format_pair(key: str, content: Any) -> str:
    """Return ``key=value``; values with spaces, quotes, equals signs or control characters are JSON strings.

    Examples
    --------
    >>> format_pair('peer', '127.0.0.1:9')
    'peer=127.0.0.1:9'
    >>> format_pair('error', 'no such file')
    'error="no such file"'
    """
    text = str(content)
    if not text or any(not char.isprintable() or char in ' "=' for char in text):
        text = json.dumps(text)
    return f'{key}={text}'


def format_record(record: Any) -> str:
    """Store the formatted line of a record in its extra values and return the loguru template that prints it."""
    pairs = [
        format_pair('time', record['time'].isoformat(timespec='milliseconds')),
        format_pair('level', record['level'].name.lower()),
        format_pair('event', record['message']),
    ]
    pairs.extend(format_pair(key, content) for key, content in record['extra'].items() if key != 'line')
    exception = record['exception']
    if exception is not None:
        pairs.append(format_pair('exception', repr(exception.value)))
    record['extra']['line'] = ' '.join(pairs)
    return '{extra[line]}\n'


def configure_logs(instance: str, level: str) -> None:
    """Send the log of this process to standard error.

    Parameters
    ----------
    instance : str
        Instance name, written on each line.
    level : str
        Lowest level that is written, such as ``INFO``.
    """
    install_sink(sys.stderr, instance, level)


def install_sink(sink: Any, instance: str, level: str) -> None:
    """Send the log of this process to one sink only, removing all earlier sinks.

    Parameters
    ----------
    sink : object
        Stream, or callable that receives loguru messages.
    instance, level : str
        As in `configure_logs`.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    logger.add(sink, level=level, format=format_record, backtrace=False, diagnose=False)
