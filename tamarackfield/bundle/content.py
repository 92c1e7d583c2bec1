"""Builds a bundle from its shards; only the shards that changed are checked again."""

from typing import Any

from tamarackfield.bundle.facts import ShardFacts, read_facts
from tamarackfield.bundle.model import Bundle, build_adapter, build_bundle
from tamarackfield.bundle.schema import BUNDLE_SCHEMA
from tamarackfield.bundle.shards import (
    GENERAL_SECTION,
    SPLIT_SECTIONS,
    ShardError,
    check_shard,
    decode_shard,
    manifest_digests,
)
from tamarackfield.bundle.signing import Envelope
from tamarackfield.bundle.table import ShardTable
from tamarackfield.bundle.validation import key_problems, target_problems
from tamarackfield.core.settings import Problem, find_problems

#: The section that is decoded on demand.
_TABLE_SECTION = 'adapters'


class ContentChecker:
    """Keeps the facts of the shards in force.

    Attributes
    ----------
    facts : dict
        `ShardFacts` by section and hash.
    """

    def __init__(self) -> None:
        """Start without facts."""
        self.facts: dict[tuple[str, str], ShardFacts] = {}

    def check(self, envelope: Envelope, shards: dict[str, bytes]) -> tuple[Bundle | None, list[Problem]]:
        """Check a bundle whole and build it.

        Parameters
        ----------
        envelope : Envelope
            With a good signature.
        shards : dict
            Content of each shard by SHA-256.

        Returns
        -------
        tuple of Bundle or None, and list of Problem
            The bundle if there are no problems.

        Raises
        ------
        ShardError
            If a shard is missing, corrupted or in no known section.
        """
        manifest_digests(envelope.manifest)
        sections: dict[str, dict[str, Any]] = {}
        facts: dict[tuple[str, str], ShardFacts] = {}
        for section, listing in envelope.manifest['shards'].items():
            sections[section] = self._read_section(section, listing, shards, facts)
        document = self._document(envelope, sections)
        problems = [problem for fact in facts.values() for problem in fact.problems]
        problems.extend(find_problems({**document, 'callers': {}, 'targets': {}, 'services': {}}, BUNDLE_SCHEMA))
        if not problems:
            problems.extend(target_problems(document))
            problems.extend(key_problems(document))
            problems.extend(_reference_problems(document, facts))
        if problems:
            return None, sorted(problems)
        self.facts = facts
        return self._build(envelope, document, shards), []

    def _read_section(
        self,
        section: str,
        listing: list[dict[str, Any]],
        shards: dict[str, bytes],
        facts: dict[tuple[str, str], ShardFacts],
    ) -> dict[str, Any]:
        if section not in {GENERAL_SECTION, *SPLIT_SECTIONS}:
            raise ShardError(f'unknown section {section!r}', step='join_shards')
        merged: dict[str, Any] = {}
        for shard in listing:
            key = (section, shard['sha256'])
            known = self.facts.get(key)
            if known is not None and section == _TABLE_SECTION and shard['sha256'] in shards:
                facts[key] = known
                continue
            content = decode_shard(check_shard(shard['sha256'], shards))
            if section != GENERAL_SECTION:
                facts[key] = known or read_facts(section, content)
            if section != _TABLE_SECTION:
                merged.update(content)
        return merged

    def _document(self, envelope: Envelope, sections: dict[str, dict[str, Any]]) -> dict[str, Any]:
        document = {**sections.get(GENERAL_SECTION, {}), 'number': envelope.manifest.get('number')}
        for section in SPLIT_SECTIONS:
            document[section] = sections.get(section, {})
        return document

    def _build(self, envelope: Envelope, document: dict[str, Any], shards: dict[str, bytes]) -> Bundle:
        bundle = build_bundle(document, envelope.digest)
        listing = envelope.manifest['shards'].get(_TABLE_SECTION, [])
        size = sum(self.facts[_TABLE_SECTION, shard['sha256']].size for shard in listing)
        if size:
            encoded = tuple(shards[shard['sha256']] for shard in listing)
            bundle.adapters = ShardTable(encoded, size, build_adapter)
        return bundle


def _reference_problems(document: dict[str, Any], facts: dict[tuple[str, str], ShardFacts]) -> list[Problem]:
    callers = document['callers']
    models = {target.get('model') for target in document['targets'].values()}
    problems = []
    for (section, digest), fact in facts.items():
        path = f'$.{section}'
        unknown = [caller for caller in fact.callers if caller not in callers]
        problems.extend(Problem(f'{path}.*.grants.{caller}', f'{caller!r} is not a caller') for caller in unknown)
        absent = fact.models - models
        problems.extend(
            Problem(f'{path}.*.versions.*.model', f'no target has the model {model!r} (shard {digest})')
            for model in absent
        )
    return problems
