"""Builds a bundle from its shards; only the shards that changed are checked again."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from tamarackfield.bundle.delta import Release
from tamarackfield.bundle.facts import ShardFacts, read_facts
from tamarackfield.bundle.model import Bundle, build_adapter, build_bundle
from tamarackfield.bundle.packed import PackedShards
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
from tamarackfield.core import Problem
from tamarackfield.core.settings import find_problems

#: The section that is decoded on demand.
TABLE_SECTION = 'adapters'
#: Sections that are always decoded; a document without them is checked for the rest.
_EMPTY_SECTIONS: dict[str, Any] = {section: {} for section in SPLIT_SECTIONS}

#: Shards received for a bundle that is not in force whose facts are kept.
MAX_RECEIVED = 4096

#: Facts by section and SHA-256 of the shard.
FactsByShard = dict[tuple[str, str], ShardFacts]


class ContentChecker:
    """Keeps the facts of the shards in force and of those that were received for the next bundle.

    Attributes
    ----------
    facts, received : dict
        `ShardFacts` by section and SHA-256.
    release : Release or None
        The one in force.
    """

    def __init__(self) -> None:
        """Start without facts."""
        self.facts: FactsByShard = {}
        self.received: FactsByShard = {}
        self.release: Release | None = None
        self.bundle: Bundle | None = None

    def receive(self, envelope: Envelope, digest: str, content: bytes) -> None:
        """Check one shard of the next bundle as it arrives, so that acceptance is short.

        Raises
        ------
        ShardError
            If it does not match its hash or is not a JSON object.
        """
        check_shard(digest, {digest: content})
        if len(self.received) >= MAX_RECEIVED:
            self.received.clear()
        for section, listing in envelope.manifest['shards'].items():
            if section == TABLE_SECTION and any(shard['sha256'] == digest for shard in listing):
                self.received[section, digest] = read_facts(section, decode_shard(content))

    def check(self, envelope: Envelope, shards: Mapping[str, bytes]) -> list[Problem]:
        """Check a bundle whole and, if it has no problems, keep it as the one in force.

        Parameters
        ----------
        envelope : Envelope
            With a good signature.
        shards : mapping
            Content of each shard by SHA-256.

        Returns
        -------
        list of Problem
            Empty if the bundle is in force.

        Raises
        ------
        ShardError
            If a shard is missing, corrupted or in no known section.
        """
        digests = manifest_digests(envelope.manifest)
        listing = envelope.manifest['shards']
        unknown = listing.keys() - {GENERAL_SECTION, *SPLIT_SECTIONS}
        if unknown:
            raise ShardError(f'unknown sections {sorted(unknown)}', step='join_shards')
        facts = self._read_table(listing.get(TABLE_SECTION, []), shards)
        rest = self._unchanged(envelope) or self._read_rest(envelope, shards, facts)
        problems = [problem for fact in facts.values() for problem in fact.problems]
        if isinstance(rest, list):
            return sorted(problems + rest)
        problems.extend(_reference_problems(rest, facts))
        if not problems:
            self._keep(envelope, PackedShards(digests, shards, self._packed()), rest, facts)
        return sorted(problems)

    def _packed(self) -> PackedShards | None:
        return None if self.release is None else self.release.shards

    def _read_table(self, listing: list[dict[str, Any]], shards: Mapping[str, bytes]) -> FactsByShard:
        facts: FactsByShard = {}
        for shard in listing:
            digest = shard['sha256']
            key = (TABLE_SECTION, digest)
            known = self.facts.get(key)
            if known is None:
                content = check_shard(digest, shards)
                known = self.received.get(key) or read_facts(TABLE_SECTION, decode_shard(content))
            facts[key] = known
        return facts

    def _unchanged(self, envelope: Envelope) -> Bundle | None:
        """Return the bundle in force if nothing but adapters differs from it."""
        if self.release is None or self.bundle is None:
            return None
        before = {name: shards for name, shards in self.release.listing.items() if name != TABLE_SECTION}
        after = {name: shards for name, shards in envelope.manifest['shards'].items() if name != TABLE_SECTION}
        return self.bundle if before == after else None

    def _read_rest(
        self,
        envelope: Envelope,
        shards: Mapping[str, bytes],
        facts: FactsByShard,
    ) -> Bundle | list[Problem]:
        document: dict[str, Any] = {**_EMPTY_SECTIONS, 'number': envelope.manifest.get('number')}
        for section, listing in envelope.manifest['shards'].items():
            if section != TABLE_SECTION:
                merged = self._read_section(section, listing, shards, facts)
                document.update(merged if section == GENERAL_SECTION else {section: merged})
        problems = [problem for fact in facts.values() for problem in fact.problems]
        problems = problems or find_problems({**document, **_EMPTY_SECTIONS}, BUNDLE_SCHEMA)
        problems = problems or [*target_problems(document), *key_problems(document)]
        return problems or build_bundle(document, envelope.digest)

    def _read_section(
        self,
        section: str,
        listing: list[dict[str, Any]],
        shards: Mapping[str, bytes],
        facts: FactsByShard,
    ) -> dict[str, Any]:
        merged: dict[str, Any] = {}
        for shard in listing:
            key = (section, shard['sha256'])
            content = decode_shard(check_shard(shard['sha256'], shards))
            if section != GENERAL_SECTION:
                facts[key] = self.facts.get(key) or read_facts(section, content)
            merged.update(content)
        return merged

    def _keep(self, envelope: Envelope, shards: PackedShards, rest: Bundle, facts: FactsByShard) -> None:
        others = {key: fact for key, fact in self.facts.items() if key[0] != TABLE_SECTION and key[1] in shards}
        self.facts = {**others, **facts}
        self.received = {}
        self.release = Release(envelope, shards)
        digests = tuple(shard['sha256'] for shard in self.release.listing.get(TABLE_SECTION, ()))
        size = sum(self.facts[TABLE_SECTION, digest].size for digest in digests)
        table = ShardTable(digests, shards, size, build_adapter) if digests else {}
        self.bundle = dataclasses.replace(
            rest,
            number=envelope.manifest['number'],
            digest=envelope.digest,
            adapters=table,
        )


def _reference_problems(rest: Bundle, facts: FactsByShard) -> list[Problem]:
    models = {target.model for target in rest.targets.values()}
    callers = rest.callers.keys()
    problems = []
    for (section, digest), fact in facts.items():
        problems.extend(
            Problem(f'$.{section}.*.grants.{caller}', f'{caller!r} is not a caller (shard {digest})')
            for caller in fact.callers - callers
        )
        problems.extend(
            Problem(f'$.{section}.*.versions.*.model', f'no target has the model {model!r} (shard {digest})')
            for model in fact.models - models
        )
    return problems
