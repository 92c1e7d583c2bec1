"""Parts of requests that explain crashes; how they are judged is in `tamarackfield.policy.quarantine`."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from tamarackfield.policy.crashes import Crash, CrashKey, Parts, union
from tamarackfield.policy.fingerprints import is_fingerprint

#: Score over all crashes from which a part is a culprit: two runs that had written nothing, or three others.
CULPRIT_SCORE = 6
#: Number of crashes that two parts must share, so that one may have caused what counts against the other.
MIN_SHARED_CRASHES = 2
#: Number of crashes from which a request is a culprit although another one shares all of them.
MAX_CONTESTED_CRASHES = 3
#: Age in seconds from which a crash under a probe is final: clearances of its parts have arrived from all entries by
#: then.
SETTLED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Culprit:
    """Parts on which engines crash; several while it is open which of them is the cause.

    Parameters
    ----------
    parts : frozenset of str
        A request is in quarantine if it has all of them.
    crashes : tuple of pairs
        Keys of the crashes that they explain.
    found_at : float
        Monotonic seconds at which this process found it.
    """

    parts: Parts
    crashes: tuple[CrashKey, ...]
    found_at: float = 0.0

    def is_request(self) -> bool:
        """Return whether it is a whole request."""
        return any(is_fingerprint(part) for part in self.parts)

    def label(self) -> str:
        """Return the parts as text."""
        return '+'.join(sorted(self.parts))


def find_culprits(crashes: Iterable[Crash], request_counts: Counter[str]) -> list[Culprit]:
    """Return the parts that explain crashes, the one with the highest score first.

    Parameters
    ----------
    crashes : iterable of Crash
        All crashes that are known.
    request_counts : Counter
        Number of requests with each part lately. A part that more requests have than another with which it shares
        crashes needs evidence of its own.

    Examples
    --------
    >>> first = Crash('t1', 1, unwritten=frozenset('ap'), cleared=frozenset('a'))
    >>> second = Crash('t2', 1, unwritten=frozenset('bp'), suspected=frozenset('p'))
    >>> [sorted(culprit.parts) for culprit in find_culprits([first, second], Counter('ap'))]
    [['p']]
    """
    unexplained = {crash.key(): crash for crash in crashes}
    culprits = []
    while True:
        culprit = _find_culprit(unexplained, request_counts)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        for key in culprit.crashes:
            unexplained.pop(key)


def _find_culprit(crashes: dict[CrashKey, Crash], request_counts: Counter[str]) -> Culprit | None:
    by_part = _index_crashes(crashes)
    scores = sum_scores(crashes.values())
    repeated = union(crash.suspected & crash.suspects() for crash in crashes.values())
    eligible = [part for part in repeated if scores[part] >= CULPRIT_SCORE and not _is_contested(by_part, part)]
    if not eligible:
        return None
    best = max(eligible, key=lambda part: (scores[part], -request_counts[part], part))
    keys = by_part[best]
    rivals = {
        part
        for part in union(crashes[key].suspects() for key in keys) - {best}
        if len(by_part[part] & keys) >= MIN_SHARED_CRASHES
        and sum(crashes[key].score(best) for key in keys - by_part[part]) < CULPRIT_SCORE
        and not (scores[part] < scores[best] and (is_fingerprint(part) or request_counts[part] >= request_counts[best]))
    }
    # No request is two others as well.
    requests = [part for part in rivals if is_fingerprint(part)]
    if len(requests) > 1 or is_fingerprint(best):
        rivals.difference_update(requests)
    return Culprit(frozenset((best, *rivals)), tuple(key for key in crashes if key in keys))


def _is_contested(by_part: dict[str, set[CrashKey]], part: str) -> bool:
    """Return whether a part is a whole request, and another one may have caused its crashes as well."""
    keys = by_part[part]
    if not is_fingerprint(part) or len(keys) >= MAX_CONTESTED_CRASHES:
        return False
    return any(is_fingerprint(other) and keys <= by_part[other] for other in by_part.keys() - {part})


def _index_crashes(crashes: dict[CrashKey, Crash]) -> dict[str, set[CrashKey]]:
    """Return the keys of the crashes of which each part is a suspect."""
    by_part: dict[str, set[CrashKey]] = {}
    for key, crash in crashes.items():
        for part in crash.suspects():
            by_part.setdefault(part, set()).add(key)
    return by_part


def sum_scores(crashes: Iterable[Crash]) -> Counter[str]:
    """Return the score of each suspect over some crashes."""
    scores: Counter[str] = Counter()
    for crash in crashes:
        scores.update({part: crash.score(part) for part in crash.suspects()})
    return scores
