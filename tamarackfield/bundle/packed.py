"""Shards kept compressed, since most are seldom read."""

import zlib
from collections.abc import Iterable, Iterator, Mapping

#: Level of zlib: the fastest.
_LEVEL = 1


class PackedShards(Mapping[str, bytes]):
    """Read-only mapping from SHA-256 in hex to the content of a shard.

    Parameters
    ----------
    digests : iterable of str
        Shards to keep.
    source : mapping
        Holds all of them.
    before : PackedShards or None
        Shards that are compressed already.

    Examples
    --------
    >>> first = PackedShards(['a'], {'a': b'content'})
    >>> dict(PackedShards(['a', 'b'], {'a': b'content', 'b': b'more'}, first))
    {'a': b'content', 'b': b'more'}
    """

    def __init__(
        self,
        digests: Iterable[str],
        source: Mapping[str, bytes],
        before: 'PackedShards | None' = None,
    ) -> None:
        """Compress what is not compressed already."""
        known = {} if before is None else before.packed
        self.packed: dict[str, bytes] = {
            digest: known.get(digest) or zlib.compress(source[digest], _LEVEL) for digest in digests
        }

    def __getitem__(self, digest: str) -> bytes:
        """Return the content of one shard.

        Raises
        ------
        KeyError
            If it is not kept.
        """
        return zlib.decompress(self.packed[digest])

    def __contains__(self, digest: object) -> bool:
        """Tell whether a shard is kept, without reading it."""
        return digest in self.packed

    def __iter__(self) -> Iterator[str]:
        """Iterate over the SHA-256 of all shards."""
        return iter(self.packed)

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.packed)
