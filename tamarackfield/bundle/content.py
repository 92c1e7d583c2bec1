"""Builds a bundle from its shards and checks it incrementally: unchanged shards are not checked again."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from tamarackfield.bundle.compressed_shards import CompressedShards
from tamarackfield.bundle.delta import Release
from tamarackfield.bundle.model import Bundle, build_adapter, build_bundle
from tamarackfield.bundle.schema import BUNDLE_SCHEMA
from tamarackfield.bundle.shard_summary import ShardSummary, summarize_shard
from tamarackfield.bundle.shard_table import ShardTable
from tamarackfield.bundle.shards import (
    GENERAL_SECTION,
    SPLIT_SECTIONS,
    ShardError,
    decode_shard,
    manifest_digests,
    verify_shard,
)
from tamarackfield.bundle.signing import Envelope
from tamarackfield.bundle.validation import find_key_problems, find_target_problems
from tamarackfield.core import Problem
from tamarackfield.core.settings import find_problems

#: The section whose entries are decoded on demand.
LAZY_SECTION = 'adapters'
#: Empty split sections. Shards of these sections are checked one by one, so the schema check of the
#: remaining document replaces them with empty ones.
_EMPTY_SECTIONS: dict[str, Any] = {section: {} for section in SPLIT_SECTIONS}

#: Maximum number of summaries kept of shards that were received for a bundle that is not in force yet.
MAX_RECEIVED_SUMMARIES = 4096

#: Shard summaries by section and SHA-256 of the shard.
SummariesByShard = dict[tuple[str, str], ShardSummary]


class ContentChecker:
    """Checks bundles and caches summaries of the shards in force and of those received for the next bundle.

    Attributes
    ----------
    summaries, received_summaries : dict
        `ShardSummary` by section and SHA-256, of the shards in force and of those received.
    release : Release or None
        Release in force.
    bundle : Bundle or None
        Bundle in force.
    """

    def __init__(self) -> None:
        """Initialize without a bundle and without summaries."""
        self.summaries: SummariesByShard = {}
        self.received_summaries: SummariesByShard = {}
        self.release: Release | None = None
        self.bundle: Bundle | None = None

    def check_received_shard(self, envelope: Envelope, digest: str, content: bytes) -> None:
        """Check one shard of the next bundle on arrival, which shortens the later acceptance.

        Raises
        ------
        ShardError
            If the shard does not match its hash or is not a JSON object.
        """
        verify_shard(digest, {digest: content})
        if len(self.received_summaries) >= MAX_RECEIVED_SUMMARIES:
            self.received_summaries.clear()
        for section, listing in envelope.manifest['shards'].items():
            if section == LAZY_SECTION and any(shard['sha256'] == digest for shard in listing):
                self.received_summaries[section, digest] = summarize_shard(section, decode_shard(content))

    def check_and_commit(self, envelope: Envelope, shards: Mapping[str, bytes]) -> list[Problem]:
        """Check a whole bundle and, if it has no problems, put it in force.

        Parameters
        ----------
        envelope : Envelope
            Envelope whose signature was verified.
        shards : mapping
            Content of each shard by SHA-256.

        Returns
        -------
        list of Problem
            Empty if the bundle is in force.

        Raises
        ------
        ShardError
            If a shard is missing or corrupted, or if a section is unknown.
        """
        digests = manifest_digests(envelope.manifest)
        listing = envelope.manifest['shards']
        unknown = listing.keys() - {GENERAL_SECTION, *SPLIT_SECTIONS}
        if unknown:
            raise ShardError(f'unknown sections {sorted(unknown)}', step='join_shards')
        summaries = self._summarize_lazy_section(listing.get(LAZY_SECTION, []), shards)
        base_bundle = self._find_reusable_bundle(envelope) or self._build_without_adapters(envelope, shards, summaries)
        problems = [problem for summary in summaries.values() for problem in summary.problems]
        if isinstance(base_bundle, list):
            return sorted(problems + base_bundle)
        problems.extend(_find_reference_problems(base_bundle, summaries))
        if not problems:
            self._commit(envelope, CompressedShards(digests, shards, self._compressed_shards()), base_bundle, summaries)
        return sorted(problems)

    def _compressed_shards(self) -> CompressedShards | None:
        return None if self.release is None else self.release.shards

    def _summarize_lazy_section(self, listing: list[dict[str, Any]], shards: Mapping[str, bytes]) -> SummariesByShard:
        summaries: SummariesByShard = {}
        for shard in listing:
            digest = shard['sha256']
            key = (LAZY_SECTION, digest)
            known = self.summaries.get(key)
            if known is None:
                content = verify_shard(digest, shards)
                known = self.received_summaries.get(key) or summarize_shard(LAZY_SECTION, decode_shard(content))
            summaries[key] = known
        return summaries

    def _find_reusable_bundle(self, envelope: Envelope) -> Bundle | None:
        """Return the bundle in force if the new one differs from it in adapters only, else None."""
        if self.release is None or self.bundle is None:
            return None
        before = {name: shards for name, shards in self.release.listing.items() if name != LAZY_SECTION}
        after = {name: shards for name, shards in envelope.manifest['shards'].items() if name != LAZY_SECTION}
        return self.bundle if before == after else None

    def _build_without_adapters(
        self,
        envelope: Envelope,
        shards: Mapping[str, bytes],
        summaries: SummariesByShard,
    ) -> Bundle | list[Problem]:
        """Return the bundle with an empty table of adapters, or the problems that were found."""
        document: dict[str, Any] = {**_EMPTY_SECTIONS, 'number': envelope.manifest.get('number')}
        for section, listing in envelope.manifest['shards'].items():
            if section != LAZY_SECTION:
                merged = self._merge_section(section, listing, shards, summaries)
                document.update(merged if section == GENERAL_SECTION else {section: merged})
        problems = [problem for summary in summaries.values() for problem in summary.problems]
        problems = problems or find_problems({**document, **_EMPTY_SECTIONS}, BUNDLE_SCHEMA)
        problems = problems or [*find_target_problems(document), *find_key_problems(document)]
        return problems or build_bundle(document, envelope.digest)

    def _merge_section(
        self,
        section: str,
        listing: list[dict[str, Any]],
        shards: Mapping[str, bytes],
        summaries: SummariesByShard,
    ) -> dict[str, Any]:
        merged: dict[str, Any] = {}
        for shard in listing:
            key = (section, shard['sha256'])
            content = decode_shard(verify_shard(shard['sha256'], shards))
            if section != GENERAL_SECTION:
                summaries[key] = self.summaries.get(key) or summarize_shard(section, content)
            merged.update(content)
        return merged

    def _commit(
        self, envelope: Envelope, shards: CompressedShards, base_bundle: Bundle, summaries: SummariesByShard
    ) -> None:
        others = {
            key: summary for key, summary in self.summaries.items() if key[0] != LAZY_SECTION and key[1] in shards
        }
        self.summaries = {**others, **summaries}
        self.received_summaries = {}
        self.release = Release(envelope, shards)
        digests = tuple(shard['sha256'] for shard in self.release.listing.get(LAZY_SECTION, ()))
        size = sum(self.summaries[LAZY_SECTION, digest].size for digest in digests)
        table = ShardTable(digests, shards, size, build_adapter) if digests else {}
        self.bundle = dataclasses.replace(
            base_bundle,
            number=envelope.manifest['number'],
            digest=envelope.digest,
            adapters=table,
        )


def _find_reference_problems(base_bundle: Bundle, summaries: SummariesByShard) -> list[Problem]:
    models = {target.model for target in base_bundle.targets.values()}
    callers = base_bundle.callers.keys()
    problems = []
    for (section, digest), summary in summaries.items():
        problems.extend(
            Problem(f'$.{section}.*.grants.{caller}', f'{caller!r} is not a caller (shard {digest})')
            for caller in summary.callers - callers
        )
        problems.extend(
            Problem(f'$.{section}.*.versions.*.model', f'no target has the model {model!r} (shard {digest})')
            for model in summary.models - models
        )
    return problems
