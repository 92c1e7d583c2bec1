"""Checks a file as the program that it is for would at its start."""

import json
import pathlib
from dataclasses import dataclass

from result import Err, Ok, Result

from tamarackfield.bundle import find_bundle_problems
from tamarackfield.cli.exits import EXIT_BAD_INPUT, EXIT_PORT_IN_USE
from tamarackfield.core import Problem, format_problems
from tamarackfield.core.settings import load_settings
from tamarackfield.entry.app import SETTINGS_SCHEMA as ENTRY_SCHEMA
from tamarackfield.observe.startup_checks import find_listen_problems, find_security_problems
from tamarackfield.sidecar.app import SETTINGS_SCHEMA as SIDECAR_SCHEMA

#: What a file may be for.
KINDS = ('entry', 'sidecar', 'bundle')
_SCHEMAS = {'entry': ENTRY_SCHEMA, 'sidecar': SIDECAR_SCHEMA}
_MARKS = (('bundle', {'callers', 'adapters', 'targets'}), ('sidecar', {'target', 'target_address'}))


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """Why a file is not good.

    Parameters
    ----------
    text : str
        Every problem with its path, on one line.
    code : int
        Exit code.
    """

    text: str
    code: int


def check_file(path: str, kind: str | None) -> Result[str, CheckFailure]:
    """Check a settings file or a bundle file.

    Parameters
    ----------
    path : str
        File in JSON.
    kind : str or None
        One of `KINDS`; None to find it out from the members.

    Returns
    -------
    Result
        The kind, or what is wrong with the file.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        return Err(CheckFailure(f'$: {exc}', EXIT_BAD_INPUT))
    kind = kind or detect_kind(document)
    if kind == 'bundle':
        problems = find_bundle_problems(document)
    else:
        loaded = load_settings(path, (), _SCHEMAS[kind])
        problems = loaded.err_value if isinstance(loaded, Err) else find_security_problems(loaded.ok_value)
        if not problems:
            return _check_ports(loaded.ok_value, kind)
    return _failed(problems, EXIT_BAD_INPUT) if problems else Ok(kind)


def detect_kind(document: object) -> str:
    """Tell what a file is for from the members that it has.

    Examples
    --------
    >>> detect_kind({'number': 1, 'callers': {}})
    'bundle'
    >>> detect_kind({'target': 'engine-1'})
    'sidecar'
    >>> detect_kind({})
    'entry'
    """
    members = document.keys() if isinstance(document, dict) else ()
    for kind, marks in _MARKS:
        if marks.intersection(members):
            return kind
    return 'entry'


def _check_ports(settings: dict, kind: str) -> Result[str, CheckFailure]:
    problems = find_listen_problems(settings, _SCHEMAS[kind])
    return _failed(problems, EXIT_PORT_IN_USE) if problems else Ok(kind)


def _failed(problems: list[Problem], code: int) -> Result[str, CheckFailure]:
    return Err(CheckFailure(format_problems(problems), code))
