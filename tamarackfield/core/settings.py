"""Settings and bundles are checked whole: every problem is listed with its JSON path."""

import ipaddress
import json
import pathlib
from typing import Any

import jsonschema
from result import Err, Ok, Result

from tamarackfield.core.problems import MAX_PORT, Problem, json_path, split_address

#: Schema of a listening address.
ADDRESS_SCHEMA = {
    'type': 'object',
    'required': ['host', 'port'],
    'additionalProperties': False,
    'properties': {
        'host': {'type': 'string', 'format': 'ip', 'description': 'IP number to listen on'},
        'port': {'type': 'integer', 'minimum': 0, 'maximum': MAX_PORT, 'description': 'port; 0 takes a free one'},
    },
}
#: Schema of a peer's address, ``ip:port`` or ``[ip6]:port``.
PEER_SCHEMA = {'type': 'string', 'format': 'ip-port'}

_checker = jsonschema.FormatChecker(formats=())


@_checker.checks('ip', raises=ValueError)
def _is_ip(candidate: object) -> bool:
    return not isinstance(candidate, str) or bool(ipaddress.ip_address(candidate))


@_checker.checks('ip-port', raises=ValueError)
def _is_ip_port(candidate: object) -> bool:
    return not isinstance(candidate, str) or bool(split_address(candidate))


@_checker.checks('readable-file')
def _is_readable_file(candidate: object) -> bool:
    return not isinstance(candidate, str) or pathlib.Path(candidate).is_file()


def find_problems(document: Any, schema: dict[str, Any]) -> list[Problem]:
    """List everything in a document that its schema forbids.

    Parameters
    ----------
    document : object
        Decoded JSON.
    schema : dict
        JSON schema, with the formats ``ip``, ``ip-port`` and ``readable-file``.

    Returns
    -------
    list of Problem
        Sorted by path; empty if the document is good.

    Examples
    --------
    >>> find_problems({'port': 'x'}, {'properties': {'port': {'type': 'integer'}}})
    [Problem(path='$.port', message="'x' is not of type 'integer'")]
    """
    validator = jsonschema.Draft202012Validator(schema, format_checker=_checker)
    return sorted(Problem(json_path(*error.absolute_path), error.message) for error in validator.iter_errors(document))


def load_settings(
    path: str,
    overrides: tuple[str, ...],
    schema: dict[str, Any],
) -> Result[dict[str, Any], list[Problem]]:
    """Read a settings file, apply overrides and check the whole.

    Parameters
    ----------
    path : str
        File in JSON; empty if all settings come from overrides.
    overrides : tuple of str
        Items ``dotted.key=value``; the value is JSON or else plain text.
    schema : dict
        JSON schema of the settings.

    Returns
    -------
    Result
        The settings with the schema's defaults filled in, or every problem.
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
    """Put in the schema's default for each member that is absent, at every depth.

    Parameters
    ----------
    document : dict
        Changed in place.
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
        if not separator or not _put(document, key.split('.'), _json_or_text(text)):
            problems.append(Problem('$', f'--set {item!r} is not dotted.key=value'))
    return problems


def _put(document: dict[str, Any], keys: list[str], new_value: Any) -> bool:
    target = document
    for key in keys[:-1]:
        target = target.setdefault(key, {})
        if not isinstance(target, dict):
            return False
    target[keys[-1]] = new_value
    return True


def _json_or_text(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
