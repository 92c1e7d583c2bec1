"""Adapters of a bundle, kept in the compressed shards and decoded on demand.

Most adapters are idle, so a process that decoded all of them would hold many times the memory
that it needs.
"""

import functools
import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import xxhash

#: Entries that stay decoded.
DECODED_ENTRIES = 2048

Decode = Callable[[str, dict[str, Any]], Any]


def bucket_of(name: str, buckets: int) -> int:
    """Return the bucket of an entry among a power of two."""
    return xxhash.xxh64_intdigest(name.encode()) & (buckets - 1)


class ShardTable(Mapping[str, Any]):
    """Read-only mapping over one section of a bundle.

    Parameters
    ----------
    digests : tuple of str
        SHA-256 of the section's shards in the order of their buckets.
    shards : mapping
        Content of the shards.
    size : int
        Number of entries in all shards.
    decode : callable
        Builds an entry from its name and its decoded JSON.

    Examples
    --------
    >>> table = ShardTable(('d',), {'d': b'{"a":{"x":1}}'}, 1, lambda name, entry: entry['x'])
    >>> table['a'], 'b' in table, len(table)
    (1, False, 1)
    """

    def __init__(self, digests: tuple[str, ...], shards: Mapping[str, bytes], size: int, decode: Decode) -> None:
        """Keep the shards; nothing is decoded yet."""
        self.digests = digests
        self.shards = shards
        self.size = size
        self.decode = decode
        self.entry = functools.lru_cache(DECODED_ENTRIES)(self._find)

    def __getitem__(self, name: str) -> Any:
        """Return one entry.

        Raises
        ------
        KeyError
            If there is none of this name.
        """
        return self.entry(name)

    def __iter__(self) -> Iterator[str]:
        """Iterate over all names, one shard at a time."""
        for digest in self.digests:
            yield from json.loads(self.shards[digest])

    def __len__(self) -> int:
        """Return the number of entries."""
        return self.size

    def _find(self, name: str) -> Any:
        content = self.shards[self.digests[bucket_of(name, len(self.digests))]]
        if json.dumps(name).encode() not in content:
            raise KeyError(name)
        return self.decode(name, json.loads(content)[name])
