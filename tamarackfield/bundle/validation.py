"""Validation of a whole bundle: first the schema, then the references between sections."""

from collections.abc import Iterator
from typing import Any

from tamarackfield.bundle.schema import BUNDLE_SCHEMA
from tamarackfield.core import Problem, json_path
from tamarackfield.core.settings import find_problems


def find_bundle_problems(document: Any) -> list[Problem]:
    """Return every problem of a bundle; references are checked only if the schema is satisfied.

    Parameters
    ----------
    document : object
        Decoded JSON document of the bundle.

    Returns
    -------
    list of Problem
        Problems sorted by path; empty if the bundle is valid.

    Examples
    --------
    >>> find_bundle_problems({'number': 0, 'callers': {}, 'adapters': {}, 'targets': {}})
    [Problem(path='$.number', message='0 is less than the minimum of 1')]
    """
    problems = find_problems(document, BUNDLE_SCHEMA)
    if not problems:
        problems.extend(_find_grant_problems(document))
        problems.extend(find_target_problems(document))
        problems.extend(find_key_problems(document))
        problems.extend(_find_model_problems(document))
    return sorted(problems)


def _find_grant_problems(document: dict[str, Any]) -> Iterator[Problem]:
    for section in ('adapters', 'services'):
        for name, entry in document.get(section, {}).items():
            for caller in entry['grants']:
                if caller not in document['callers']:
                    yield Problem(json_path(section, name, 'grants', caller), f'{caller!r} is not a caller')


def find_target_problems(document: dict[str, Any]) -> Iterator[Problem]:
    """Yield problems between targets, and in the references of targets to services."""
    addresses: dict[str, str] = {}
    for name, target in document['targets'].items():
        path = json_path('targets', name)
        needed = 'model' if target['kind'] == 'engine' else 'service'
        if needed not in target:
            yield Problem(path, f'a target of kind {target["kind"]} needs {needed!r}')
        service = target.get('service')
        if service is not None and service not in document.get('services', {}):
            yield Problem(f'{path}.service', f'{service!r} is not a service')
        other = addresses.setdefault(target['address'], name)
        if other != name:
            yield Problem(f'{path}.address', f'is the address of {other!r} too')


def find_key_problems(document: dict[str, Any]) -> Iterator[Problem]:
    """Yield a problem for each key that two callers share."""
    callers_by_key: dict[str, str] = {}
    for name, caller in document['callers'].items():
        for key in caller['key_sha256']:
            other = callers_by_key.setdefault(key, name)
            if other != name:
                yield Problem(json_path('callers', name, 'key_sha256'), f'holds a key of {other!r} too')


def _find_model_problems(document: dict[str, Any]) -> Iterator[Problem]:
    models = {target.get('model') for target in document['targets'].values()}
    for name, adapter in document['adapters'].items():
        for version, entry in adapter['versions'].items():
            if entry['model'] not in models:
                path = json_path('adapters', name, 'versions', version, 'model')
                yield Problem(path, f'no target has the model {entry["model"]!r}')
