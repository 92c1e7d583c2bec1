"""Validation of settings and bundles, which lists all problems with their JSON paths, and loading of settings."""

import ipaddress
import json
import pathlib
from typing import Any

import jsonschema
from result import Err, Ok, Result

from tamarackfield.core.problems import MAX_PORT, Problem, json_path, split_address

#: JSON schema of a listening address.
ADDRESS_SCHEMA = {
    'type': 'object',
    'required': ['host', 'port'],
    'additionalProperties': False,
    'properties': {
        'host': {'type': 'string', 'format': 'ip', 'description': 'IP number to listen on'},
        'port': {'type': 'integer', 'minimum': 0, 'maximum': MAX_PORT, 'description': 'port; 0 takes a free one'},
    },
}
#: JSON schema of the address of a peer, ``ip:port`` or ``[ip6]:port``.
PEER_SCHEMA = {'type': 'string', 'format': 'ip-port'}

_format_checker = jsonschema.FormatChecker(formats=())


@_format_checker.checks('ip', raises=ValueError)
def _is_ip_number(candidate: object) -> bool:
    return not isinstance(candidate, str) or bool(ipaddress.ip_address(candidate))


@_format_checker.checks('ip-port', raises=ValueError)
def _is_ip_port(candidate: object) -> bool:
    return not isinstance(candidate, str) or bool(split_address(candidate))


@_format_checker.checks('readable-file')
def _is_readable_file(candidate: object) -> bool:
    return not isinstance(candidate, str) or pathlib.Path(candidate).is_file()


def find_problems(document: Any, schema: dict[str, Any]) -> list[Problem]:
    """List all violations of a schema in a document.

    Parameters
    ----------
    document : object
        Decoded JSON.
    schema : dict
        JSON schema, with the formats ``ip``, ``ip-port`` and ``readable-file``.

    Returns
    -------
    list of Problem
        Problems sorted by path; empty if the document is valid.

    Examples
    --------
    >>> find_problems({'port': 'x'}, {'properties': {'port': {'type': 'integer'}}})
    [Problem(path='$.port', message="'x' is not of type 'integer'")]
    """
    validator = jsonschema.Draft202012Validator(schema, format_checker=_format_checker)
    return sorted(Problem(json_path(*error.absolute_path), error.message) for error in validator.iter_errors(document))


def load_settings(
    path: str,
    overrides: tuple[str, ...],
    schema: dict[str, Any],
) -> Result[dict[str, Any], list[Problem]]:
    """Load a settings file, apply overrides and validate the result.

    Parameters
    ----------
    path : str
        JSON file; empty if all settings come from overrides.
    overrides : tuple of str
        Items ``dotted.key=value``; a value that is not JSON is plain text.
    schema : dict
        JSON schema of the settings.

    Returns
    -------
    Result
        The settings with the defaults of the schema, or all problems.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8')) if path else {}
    except (OSError, ValueError, RecursionError) as exc:
        return Err([Problem('$', f'{path}: {exc}')])
    if not isinstance(document, dict):
        return Err([Problem('$', f'{path}: settings are not a JSON object')])
    problems = _apply_overrides(document, overrides)
    problems.extend(find_problems(document, schema))
    if problems:
        return Err(sorted(problems))
    fill_defaults(document, schema)
    return Ok(document)


def fill_defaults(document: dict[str, Any], schema: dict[str, Any]) -> None:
    """Set each absent member to its default in the schema, at every depth.

    Parameters
    ----------
    document : dict
        Document to complete, changed in place.
    schema : dict
        JSON schema of an object.
    """
    for name, member in schema.get('properties', {}).items():
        if name not in document and 'default' in member:
            document[name] = json.loads(json.dumps(member['default']))
        if isinstance(document.get(name), dict):
            fill_defaults(document[name], member)


def _apply_overrides(document: dict[str, Any], overrides: tuple[str, ...]) -> list[Problem]:
    problems = []
    for item in overrides:
        key, separator, text = item.partition('=')
        if not separator or not _set_member(document, key.split('.'), _parse_override_value(text)):
            problems.append(Problem('$', f'--set {item!r} is not dotted.key=value'))
    return problems


def _set_member(document: dict[str, Any], keys: list[str], member_value: Any) -> bool:
    parent = document
    for key in keys[:-1]:
        parent = parent.setdefault(key, {})
        if not isinstance(parent, dict):
            return False
    parent[keys[-1]] = member_value
    return True


def _parse_override_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
