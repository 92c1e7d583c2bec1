"""What one shard contributes to the checks that tie a bundle's sections together.

A shard is checked against the schema once; its facts are kept under its hash, so that a change
of one entry costs one shard and not the whole bundle.
"""

import functools
import re
from dataclasses import dataclass
from typing import Any

from tamarackfield.bundle.schema import BUNDLE_SCHEMA, LOWEST_PRIORITY, NAME_PATTERN
from tamarackfield.core import Problem
from tamarackfield.core.settings import find_problems

_NAME = re.compile(NAME_PATTERN)
_GRANTED_SECTIONS = frozenset(('adapters', 'services'))


@dataclass(frozen=True, slots=True)
class ShardFacts:
    """Facts of one shard.

    Parameters
    ----------
    size : int
        Number of entries.
    callers : frozenset of str
        Callers that hold a grant.
    models : frozenset of str
        Base models that adapter versions name.
    problems : tuple of Problem
        What the schema forbids.
    """

    size: int
    callers: frozenset[str]
    models: frozenset[str]
    problems: tuple[Problem, ...]


def read_facts(section: str, content: dict[str, Any]) -> ShardFacts:
    """Check one shard and return its facts.

    Parameters
    ----------
    section : str
        Name of the section.
    content : dict
        Decoded shard.

    Returns
    -------
    ShardFacts
        Callers and models are empty if there are problems.
    """
    problems = () if _is_plain(section, content) else tuple(find_problems({section: content}, section_schema(section)))
    if problems:
        return ShardFacts(len(content), frozenset(), frozenset(), problems)
    entries = content.values()
    granted = entries if section in _GRANTED_SECTIONS else ()
    adapters = entries if section == 'adapters' else ()
    return ShardFacts(
        len(content),
        frozenset(caller for entry in granted for caller in entry['grants']),
        frozenset(version['model'] for entry in adapters for version in entry['versions'].values()),
        (),
    )


@functools.cache
def section_schema(section: str) -> dict[str, Any]:
    """Return the schema of a document that holds one section only."""
    properties = {section: BUNDLE_SCHEMA['properties'][section]}
    return {'type': 'object', 'additionalProperties': False, 'properties': properties}


def _is_plain(section: str, content: dict[str, Any]) -> bool:
    """Tell, far faster than the schema, whether a shard of adapters is good; False leaves it to the schema."""
    return section == 'adapters' and all(_is_plain_adapter(name, entry) for name, entry in content.items())


def _is_plain_adapter(name: str, entry: Any) -> bool:
    if not isinstance(entry, dict) or not _NAME.search(name) or entry.keys() - {'regions'} != {'versions', 'grants'}:
        return False
    return _plain_versions(entry['versions']) and _plain_grants(entry['grants']) and not entry.get('regions')


def _plain_versions(versions: Any) -> bool:
    if not isinstance(versions, dict) or not all(map(_NAME.search, versions)):
        return False
    return all(
        isinstance(version, dict)
        and version.keys() == {'model'}
        and isinstance(version['model'], str)
        and _NAME.search(version['model'])
        for version in versions.values()
    )


def _plain_grants(grants: Any) -> bool:
    if not isinstance(grants, dict):
        return False
    return all(map(_is_plain_priority, grants.values()))


def _is_plain_priority(priority: Any) -> bool:
    return isinstance(priority, int) and not isinstance(priority, bool) and 0 <= priority <= LOWEST_PRIORITY
