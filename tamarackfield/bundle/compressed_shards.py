"""Compressed in-memory shards; most of them are seldom read."""

import zlib
from collections.abc import Iterable, Iterator, Mapping

#: Fastest compression level of zlib.
_COMPRESSION_LEVEL = 1


class CompressedShards(Mapping[str, bytes]):
    """Read-only mapping from SHA-256 in hex to the content of a shard.

    Parameters
    ----------
    digests : iterable of str
        SHA-256 of the shards to keep.
    source : mapping
        Uncompressed content by SHA-256; must contain each digest that ``previous`` lacks.
    previous : CompressedShards or None
        Shards whose compressed content is reused.

    Examples
    --------
    >>> first = CompressedShards(['a'], {'a': b'content'})
    >>> dict(CompressedShards(['a', 'b'], {'a': b'content', 'b': b'more'}, first))
    {'a': b'content', 'b': b'more'}
    """

    def __init__(
        self,
        digests: Iterable[str],
        source: Mapping[str, bytes],
        previous: 'CompressedShards | None' = None,
    ) -> None:
        """Compress the shards that ``previous`` lacks."""
        known = {} if previous is None else previous.compressed
        self.compressed: dict[str, bytes] = {
            digest: known.get(digest) or zlib.compress(source[digest], _COMPRESSION_LEVEL) for digest in digests
        }

    def __getitem__(self, digest: str) -> bytes:
        """Return the content of one shard.

        Raises
        ------
        KeyError
            If the shard is not kept.
        """
        return zlib.decompress(self.compressed[digest])

    def __contains__(self, digest: object) -> bool:
        """Return whether a shard is kept, without decompressing it."""
        return digest in self.compressed

    def __iter__(self) -> Iterator[str]:
        """Iterate over the SHA-256 of all shards."""
        return iter(self.compressed)

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.compressed)
