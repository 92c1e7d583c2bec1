"""Isolation of requests whose prompts may crash engines: all with the same suspected part go to one engine.

Load pattern: between a crash and the report of it, further requests with the part that caused it are on their way.
Spread over the fleet, each ends another engine; at one engine they end it once. Every entry chooses the same engine
from the part alone, without a message.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

#: Largest share of the requests of an entry whose part isolates them: more of them would overload one engine.
MAX_ISOLATED_SHARE = 0.2
#: Limit of the parts with a count that are remembered.
MAX_COUNTED_PARTS = 8192


class RequestCounts:
    """Numbers of requests by the parts of their prompts; earlier requests count less and less.

    Attributes
    ----------
    by_part : Counter
        Number of requests with each part.
    total : int
        Number of all requests.

    Examples
    --------
    >>> counts = RequestCounts()
    >>> for _ in range(10):
    ...     counts.record('a')
    >>> counts.record('ap')
    >>> counts.find_isolated_part('ap', scores={'a': 3, 'p': 3})
    'p'
    """

    def __init__(self) -> None:
        """Create counts of no requests."""
        self.by_part: Counter[str] = Counter()
        self.total = 0

    def record(self, parts: Iterable[str]) -> None:
        """Count a request with some parts."""
        self.total += 1
        self.by_part.update(parts)
        if len(self.by_part) > MAX_COUNTED_PARTS:
            self.total //= 2
            self.by_part = Counter({part: count // 2 for part, count in self.by_part.items() if count > 1})

    def find_isolated_part(self, parts: Iterable[str], scores: Mapping[str, int]) -> str:
        """Return the part by which a request is isolated, the one with the highest score; empty if there is none.

        Parameters
        ----------
        parts : iterable of str
            Parts of its prompt.
        scores : mapping of str to int
            Scores of the parts that may have caused a crash.
        """
        limit = MAX_ISOLATED_SHARE * self.total
        isolating = (part for part in parts if part in scores and self.by_part[part] <= limit)
        return min(isolating, key=lambda part: (-scores[part], part), default='')
