"""Summaries of shards: the input of the reference checks between sections of a bundle.

A shard is checked against the schema once and its summary is cached by its hash, so that a change
of one entry costs the check of one shard instead of the whole bundle.
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
class ShardSummary:
    """Summary of one shard.

    Parameters
    ----------
    size : int
        Number of entries in the shard.
    callers : frozenset of str
        Names of the callers that have a grant.
    models : frozenset of str
        Base models to which adapter versions refer.
    problems : tuple of Problem
        Violations of the schema.
    """

    size: int
    callers: frozenset[str]
    models: frozenset[str]
    problems: tuple[Problem, ...]


def summarize_shard(section: str, content: dict[str, Any]) -> ShardSummary:
    """Check one shard against the schema and return its summary.

    Parameters
    ----------
    section : str
        Section to which the shard belongs.
    content : dict
        Decoded shard.

    Returns
    -------
    ShardSummary
        Summary whose callers and models are empty if there are problems.
    """
    problems = (
        ()
        if _passes_fast_check(section, content)
        else tuple(find_problems({section: content}, make_section_schema(section)))
    )
    if problems:
        return ShardSummary(len(content), frozenset(), frozenset(), problems)
    entries = content.values()
    granted = entries if section in _GRANTED_SECTIONS else ()
    adapters = entries if section == 'adapters' else ()
    return ShardSummary(
        len(content),
        frozenset(caller for entry in granted for caller in entry['grants']),
        frozenset(version['model'] for entry in adapters for version in entry['versions'].values()),
        (),
    )


@functools.cache
def make_section_schema(section: str) -> dict[str, Any]:
    """Return the schema of a document that consists of one section."""
    properties = {section: BUNDLE_SCHEMA['properties'][section]}
    return {'type': 'object', 'additionalProperties': False, 'properties': properties}


def _passes_fast_check(section: str, content: dict[str, Any]) -> bool:
    """Return whether an adapter shard is valid, far faster than the schema does; False means that it is undecided."""
    return section == 'adapters' and all(_is_valid_adapter(name, entry) for name, entry in content.items())


def _is_valid_adapter(name: str, entry: Any) -> bool:
    if not isinstance(entry, dict) or not _NAME.search(name) or entry.keys() - {'regions'} != {'versions', 'grants'}:
        return False
    return _are_valid_versions(entry['versions']) and _are_valid_grants(entry['grants']) and not entry.get('regions')


def _are_valid_versions(versions: Any) -> bool:
    if not isinstance(versions, dict) or not all(map(_NAME.search, versions)):
        return False
    return all(
        isinstance(version, dict)
        and version.keys() == {'model'}
        and isinstance(version['model'], str)
        and _NAME.search(version['model'])
        for version in versions.values()
    )


def _are_valid_grants(grants: Any) -> bool:
    if not isinstance(grants, dict):
        return False
    return all(map(_is_valid_priority, grants.values()))


def _is_valid_priority(priority: Any) -> bool:
    return isinstance(priority, int) and not isinstance(priority, bool) and 0 <= priority <= LOWEST_PRIORITY
