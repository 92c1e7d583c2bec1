"""Reads members of a settings document that another system wrote, and collects the problems found."""

import json
import pathlib
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from tamarackfield.core.fields import MALFORMED
from tamarackfield.core.problems import Problem, json_path


class SettingsReader:
    """Reader of the members of a settings document that collects the problems found.

    Parameters
    ----------
    document : dict
        Settings document as the platform wrote it.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        """Start with no problems."""
        self.document = document
        self.problems: list[Problem] = []

    def read(self, convert: Callable[[Any], Any], *path: str | int) -> Any:
        """Return a converted member; if it is missing or cannot be converted, record a problem and return None."""
        member: Any = self.document
        try:
            for part in path:
                member = member[part]
            return convert(member)
        except MALFORMED as exc:
            self.problems.append(Problem(json_path(*path), f'{type(exc).__name__}: {exc}'))
        return None

    def finish(self, settings: Any) -> Result[Any, list[Problem]]:
        """Return the settings, or every problem found."""
        return Err(sorted(self.problems)) if self.problems else Ok(settings)


def read_content(path: str) -> Result[bytes, list[Problem]]:
    """Read the settings file, or return the problem that prevents it."""
    try:
        return Ok(pathlib.Path(path).read_bytes())
    except OSError as exc:
        return Err([Problem('$', f'{path}: {exc}')])


def parse_settings(path: str, content: bytes) -> Result[dict[str, Any], list[Problem]]:
    """Return the settings document in the content of a file, or the problem that prevents it."""
    try:
        document = json.loads(content.decode('utf-8'))
    except (ValueError, RecursionError) as exc:
        return Err([Problem('$', f'{path}: {exc}')])
    if not isinstance(document, dict):
        return Err([Problem('$', f'{path}: settings are not a JSON object')])
    return Ok(document)


def require_string(member: Any) -> str:
    """Return a member that is a non-empty string; raise `ValueError` for any other."""
    if not isinstance(member, str) or not member:
        raise ValueError(f'{member!r} is not a non-empty string')
    return member


def require_share(member: Any) -> float:
    """Return a member that is a number from 0 to 1; raise `ValueError` for any other."""
    share = float(member)
    if not 0 <= share <= 1:
        raise ValueError(f'{member!r} is not a share from 0 to 1')
    return share
