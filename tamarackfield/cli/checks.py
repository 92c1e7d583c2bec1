"""Checks of a settings or bundle file, the same as those of the program that reads the file."""

import json
import pathlib
from dataclasses import dataclass

from result import Err, Ok, Result

from tamarackfield.bundle import find_bundle_problems
from tamarackfield.cli.exit_codes import EXIT_BAD_INPUT, EXIT_PORT_IN_USE
from tamarackfield.core import Problem, format_problems
from tamarackfield.core.settings import load_settings
from tamarackfield.entry.app import SETTINGS_SCHEMA as ENTRY_SCHEMA
from tamarackfield.observe.startup_checks import find_listen_problems, find_security_problems
from tamarackfield.sidecar.app import SETTINGS_SCHEMA as SIDECAR_SCHEMA

#: Kinds of files that can be checked.
KINDS = ('entry', 'sidecar', 'bundle')
_SCHEMAS = {'entry': ENTRY_SCHEMA, 'sidecar': SIDECAR_SCHEMA}
_IDENTIFYING_MEMBERS = (('bundle', {'callers', 'adapters', 'targets'}), ('sidecar', {'target', 'target_address'}))


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """Result of a failed check.

    Parameters
    ----------
    text : str
        All problems with their JSON paths, on one line.
    code : int
        Exit code of the command.
    """

    text: str
    code: int


def check_file(path: str, kind: str | None) -> Result[str, CheckFailure]:
    """Check a settings file or a bundle file.

    Parameters
    ----------
    path : str
        JSON file.
    kind : str or None
        One of `KINDS`; None to detect it from the members of the document.

    Returns
    -------
    Result
        The kind, or the failure.
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
    return _make_failure(problems, EXIT_BAD_INPUT) if problems else Ok(kind)


def detect_kind(document: object) -> str:
    """Return the kind of a document, detected from its members.

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
    for kind, identifying_members in _IDENTIFYING_MEMBERS:
        if identifying_members.intersection(members):
            return kind
    return 'entry'


def _check_ports(settings: dict, kind: str) -> Result[str, CheckFailure]:
    problems = find_listen_problems(settings, _SCHEMAS[kind])
    return _make_failure(problems, EXIT_PORT_IN_USE) if problems else Ok(kind)


def _make_failure(problems: list[Problem], code: int) -> Result[str, CheckFailure]:
    return Err(CheckFailure(format_problems(problems), code))
