"""Reads the settings that the platform gives a process.

The platform fills ``deploy/settings.json`` with all of its fields, so the file is JSON here.
"""

import json
import pathlib
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core import Problem
from tamarackfield.core.problems import json_path

#: Port on which both programs serve their counters; named in deploy/system.toml.
METRICS_PORT = 9464


class SettingsReader:
    """Reads members of the document and collects what is wrong with them.

    Parameters
    ----------
    document : dict
        Settings as the platform wrote them.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        """Start without a problem."""
        self.document = document
        self.problems: list[Problem] = []

    def read(self, convert: Callable[[Any], Any], *path: str | int) -> Any:
        """Return a converted member, None if it is missing or cannot be converted."""
        found: Any = self.document
        try:
            for part in path:
                found = found[part]
            return convert(found)
        except (LookupError, TypeError, ValueError) as exc:
            self.problems.append(Problem(json_path(*path), f'{type(exc).__name__}: {exc}'))
        return None

    def finish(self, settings: Any) -> Result[Any, list[Problem]]:
        """Return the settings, or every problem."""
        return Err(sorted(self.problems)) if self.problems else Ok(settings)


def read_document(path: str) -> Result[dict[str, Any], list[Problem]]:
    """Read the settings file."""
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        return Err([Problem('$', f'{path}: {exc}')])
    if not isinstance(document, dict):
        return Err([Problem('$', f'{path}: settings are not a JSON object')])
    return Ok(document)


def read_text(found: Any) -> str:
    """Return a text that is not empty; `ValueError` for anything else."""
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a text')
    return found
