"""Mapping over the entries of a section that decodes them from their compressed shards on demand.

Most adapters are idle, so decoding all of them would use many times the memory that a process needs.
"""

import functools
import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import xxhash

#: Size of the LRU cache of decoded entries.
MAX_DECODED_ENTRIES = 2048

EntryDecoder = Callable[[str, dict[str, Any]], Any]


def bucket_index(name: str, buckets: int) -> int:
    """Return the index of an entry's bucket; the number of buckets must be a power of two."""
    return xxhash.xxh64_intdigest(name.encode()) & (buckets - 1)


class ShardTable(Mapping[str, Any]):
    """Read-only mapping over one section of a bundle.

    Parameters
    ----------
    digests : tuple of str
        SHA-256 of the section's shards, ordered by bucket index.
    shards : mapping
        Content of the shards by SHA-256.
    size : int
        Total number of entries in the shards.
    decode : callable
        Builds an entry from its name and its decoded JSON.

    Examples
    --------
    >>> table = ShardTable(('d',), {'d': b'{"a":{"x":1}}'}, 1, lambda name, entry: entry['x'])
    >>> table['a'], 'b' in table, len(table)
    (1, False, 1)
    """

    def __init__(self, digests: tuple[str, ...], shards: Mapping[str, bytes], size: int, decode: EntryDecoder) -> None:
        """Initialize without decoding any entry."""
        self.digests = digests
        self.shards = shards
        self.size = size
        self.decode = decode
        self.cached_entry = functools.lru_cache(MAX_DECODED_ENTRIES)(self._decode_entry)

    def __getitem__(self, name: str) -> Any:
        """Return one entry.

        Raises
        ------
        KeyError
            If there is no entry of this name.
        """
        return self.cached_entry(name)

    def __iter__(self) -> Iterator[str]:
        """Iterate over all names, decoding one shard at a time."""
        for digest in self.digests:
            yield from json.loads(self.shards[digest])

    def __len__(self) -> int:
        """Return the number of entries."""
        return self.size

    def _decode_entry(self, name: str) -> Any:
        content = self.shards[self.digests[bucket_index(name, len(self.digests))]]
        # The search for the encoded name avoids decoding the shard for most unknown names.
        if json.dumps(name).encode() not in content:
            raise KeyError(name)
        return self.decode(name, json.loads(content)[name])
