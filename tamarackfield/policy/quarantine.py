"""Quarantine of requests on which targets crash: by a part of their prompt, or as a whole.

Load patterns: requests with one part in their prompts crash each engine that begins to answer them. They come at
any entry, and share their other parts with sound requests, which run at the same engines when these end. Or one
request crashes each target of any kind, and comes again at any entry; sound requests that break off with it are
sent once more, and may break off with it again. Without
a quarantine each such request costs a target, and the runs of all others on it.

The whole request is one more part of it, its fingerprint, which no other request has.

A crash makes suspects of the parts of those runs that had written nothing or only for a moment. A part is cleared
of a crash by a run with it that wrote for longer, at any entry. A part that stays suspect in several crashes, one
of them under a run that was sent although the part was suspected already, is the culprit; crashes that it explains
do not count against other parts. While another part may as well be the cause, only requests with both are in
quarantine: the next ones with one of them decide. Crashes of all engines at the same time give no such run.

Crashes are merged by union, so that processes that have heard of the same crashes and clearances, in any order,
come to the same culprits.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from tamarackfield.policy.fingerprints import is_fingerprint, make_fingerprint
from tamarackfield.policy.isolation import RequestCounts

#: Time in seconds for which a run writes until it has shown that its prompt does not crash the engine. The engines
#: of the platform end within 0.15 s of the first token.
PROOF_SECONDS = 0.25
#: Score of a part in a crash: for a run that had written nothing, and for one that had written for a moment.
UNWRITTEN_SCORE, BRIEF_SCORE = 3, 2
#: Score over all crashes from which a part is a culprit: two runs that had written nothing, or three others.
CULPRIT_SCORE = 6
#: Number of crashes that two parts must share, so that one may have caused what counts against the other.
MIN_SHARED_CRASHES = 2
#: Number of crashes from which a request is a culprit although another one shares all of them.
MAX_CONTESTED_CRASHES = 3
#: Seconds before a crash within which a run with a part clears the part of it.
RECENT_PROOF_SECONDS = 5.0
#: Seconds for which a crash that no culprit explains is remembered.
EVIDENCE_SECONDS = 3600.0
#: Age in seconds from which a culprit is final: clearances of its parts have arrived from all entries by then.
SETTLED_SECONDS = 1.0
#: Limits of the crashes and of the proven parts that are remembered.
MAX_CRASHES = 256
MAX_PROVEN_PARTS = 4096

CrashKey = tuple[str, int]
Parts = frozenset[str]
_NO_PARTS: Parts = frozenset()


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """Run that broke off when its engine ended.

    Parameters
    ----------
    parts : frozenset of str
        Parts of its prompt that other requests may have as well, and the fingerprint of the request.
    has_begun : bool
        Whether the head of its answer arrived.
    wrote_seconds : float
        Time from the first part of the answer's body to the last.
    suspected : frozenset of str
        Those of its parts that were suspected when it was sent.
    """

    parts: Parts
    has_begun: bool = True
    wrote_seconds: float = 0.0
    suspected: Parts = _NO_PARTS


@dataclass(frozen=True, slots=True)
class Crash:
    """End of one incarnation of an engine amid runs.

    Parameters
    ----------
    target : str
        Name of the target.
    started_ms : int
        Start of the incarnation, in Unix milliseconds.
    ended_ms : int
        Its end, in Unix milliseconds of the process that noticed it; for operators only.
    unwritten, brief : frozenset of str
        Parts of runs that had written nothing, and of those that had written for less than `PROOF_SECONDS`.
    suspected : frozenset of str
        Those parts that were suspected already when their run was sent.
    cleared : frozenset of str
        Parts that did not cause it.
    """

    target: str
    started_ms: int
    ended_ms: int = 0
    unwritten: Parts = _NO_PARTS
    brief: Parts = _NO_PARTS
    suspected: Parts = _NO_PARTS
    cleared: Parts = _NO_PARTS

    def key(self) -> CrashKey:
        """Return what identifies the crash."""
        return self.target, self.started_ms

    def suspects(self) -> Parts:
        """Return the parts that may have caused it."""
        return (self.unwritten | self.brief) - self.cleared

    def score(self, part: str) -> int:
        """Return what the crash counts against a part."""
        if part in self.cleared:
            return 0
        if part in self.unwritten:
            return UNWRITTEN_SCORE
        return BRIEF_SCORE if part in self.brief else 0

    def sort_parts(self) -> tuple[object, ...]:
        """Return all fields, with the parts in order."""
        sets = (self.unwritten, self.brief, self.suspected, self.cleared)
        return (*self.key(), self.ended_ms, *(sorted(parts) for parts in sets))

    def merge(self, other: 'Crash') -> 'Crash':
        """Return what two reports of the crash say together."""
        return Crash(
            self.target,
            self.started_ms,
            min(self.ended_ms, other.ended_ms) or max(self.ended_ms, other.ended_ms),
            self.unwritten | other.unwritten,
            self.brief | other.brief,
            self.suspected | other.suspected,
            self.cleared | other.cleared,
        )


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

    def is_settled(self, now: float) -> bool:
        """Return whether what might clear it would have been heard of."""
        return now >= self.found_at + SETTLED_SECONDS

    def is_request(self) -> bool:
        """Return whether it is a whole request."""
        return any(is_fingerprint(part) for part in self.parts)

    def label(self) -> str:
        """Return the parts as text."""
        return '+'.join(sorted(self.parts))


def make_crash(target: str, started_ms: int, ended_ms: int, runs: Sequence[SuspectRun]) -> Crash:
    """Return the report of a crash from the runs that broke off.

    While some run had begun its answer and written nothing, those that had not begun count less: engines begin
    one answer after another.

    Examples
    --------
    >>> runs = [SuspectRun(frozenset('ap')), SuspectRun(frozenset('ab'), wrote_seconds=0.1)]
    >>> crash = make_crash('t', 1, 0, [*runs, SuspectRun(frozenset('c'), wrote_seconds=2.0)])
    >>> sorted(crash.unwritten), sorted(crash.brief), sorted(crash.cleared)
    (['a', 'p'], ['a', 'b'], ['c'])
    """
    begun = [run for run in runs if run.has_begun and not run.wrote_seconds]
    proven = [run for run in runs if run.wrote_seconds >= PROOF_SECONDS]
    unwritten = begun or [run for run in runs if not run.has_begun]
    suspects = [run for run in runs if run not in proven]
    brief = [run for run in suspects if run not in unwritten]
    return Crash(
        target,
        started_ms,
        ended_ms,
        unwritten=_union(run.parts for run in unwritten),
        brief=_union(run.parts for run in brief),
        suspected=_union(run.suspected for run in suspects),
        cleared=_union(run.parts for run in proven),
    )


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


class Quarantine:
    """Known crashes, what clears parts of them, and the culprits.

    Attributes
    ----------
    crashes : dict
        Crashes by their keys, the latest last.
    culprits : list of Culprit
        Parts whose requests are in quarantine.
    suspects : frozenset of str
        Parts that may have caused a crash.
    scores : Counter
        Score of each suspect over all crashes.
    """

    def __init__(self) -> None:
        """Create a quarantine without crashes."""
        self.crashes: dict[CrashKey, Crash] = {}
        self.culprits: list[Culprit] = []
        self.suspects: Parts = _NO_PARTS
        self.scores: Counter[str] = Counter()
        # Monotonic seconds at which each crash was learnt.
        self.learnt_at: dict[CrashKey, float] = {}
        # Monotonic seconds of the latest run that proved each part lately, the latest last.
        self.proven_at: OrderedDict[str, float] = OrderedDict()
        self.requests = RequestCounts()

    def record_request(self, parts: Iterable[str]) -> None:
        """Count a request with some parts; earlier requests count less and less."""
        self.requests.record(parts)

    def record_crash(self, report: Crash, now: float) -> bool:
        """Merge the report of a crash; return whether it says something new.

        Parameters
        ----------
        report : Crash
            What another process or this one knows of the crash.
        now : float
            Monotonic seconds.
        """
        known = self.crashes.get(report.key())
        merged = report if known is None else known.merge(report)
        if known is None:
            self.learnt_at[report.key()] = now
        new_suspects = merged.suspects() if known is None else merged.suspects() - known.suspects()
        merged = replace(merged, cleared=merged.cleared | self._recently_proven(new_suspects, now))
        if merged == known:
            return False
        self.crashes[report.key()] = merged
        self._forget_old_crashes(now)
        self._update(now)
        return True

    def record_proof(self, parts: Iterable[str], now: float) -> bool:
        """Record that a run with some parts has shown that they crash no target.

        Returns
        -------
        bool
            Whether others have to know at once. That a request of one crash is sound matters with the next one.
        """
        proven = frozenset(parts)
        for part in proven:
            self.proven_at[part] = now
            self.proven_at.move_to_end(part)
        self._forget_old_proofs(now)
        cleared = self.suspects & proven
        if not cleared:
            return False
        is_news = any(not is_fingerprint(part) or self.scores[part] > UNWRITTEN_SCORE for part in cleared)
        for key, crash in self.crashes.items():
            if not cleared.isdisjoint(crash.suspects()):
                self.crashes[key] = replace(crash, cleared=crash.cleared | (crash.suspects() & proven))
        self._update(now)
        return is_news

    def find_culprit(self, parts: Iterable[str]) -> Culprit | None:
        """Return the culprit because of which a request with some parts is in quarantine, None if it is not."""
        if not self.culprits:
            return None
        present = frozenset(parts)
        return next((culprit for culprit in self.culprits if culprit.parts <= present), None)

    def is_confirmed(self, culprit: Culprit) -> bool:
        """Return whether a target has crashed on a culprit since its requests were kept back, as under a probe.

        Processes that have started since know that of a whole request by the number of its crashes.
        """
        if culprit.is_request() and len(culprit.crashes) > MAX_CONTESTED_CRASHES:
            return True
        settled_at = culprit.found_at + SETTLED_SECONDS
        return any(self.learnt_at.get(key, 0.0) > settled_at for key in culprit.crashes)

    def count_culprits(self, requests: bool) -> int:
        """Return the number of culprits that are whole requests, or of those that are not."""
        return sum(culprit.is_request() is requests for culprit in self.culprits)

    def make_digest(self) -> str:
        """Return a digest of all crashes, equal for processes that know the same."""
        fields = sorted(repr(crash.sort_parts()).encode() for crash in self.crashes.values())
        return make_fingerprint(fields)

    def find_isolated_part(self, parts: Iterable[str]) -> str:
        """Return the part that decides to which engine a request with some parts is sent, empty if none does."""
        return self.requests.find_isolated_part(parts, self.scores) if self.scores else ''

    def _recently_proven(self, parts: Parts, now: float) -> Parts:
        earliest = now - RECENT_PROOF_SECONDS
        return frozenset(part for part in parts if self.proven_at.get(part, -math.inf) > earliest)

    def _forget_old_proofs(self, now: float) -> None:
        """Forget proofs that clear no part of a further crash, and the earliest ones beyond the limit."""
        while self.proven_at:
            part, proven_at = next(iter(self.proven_at.items()))
            if len(self.proven_at) <= MAX_PROVEN_PARTS and now - proven_at < RECENT_PROOF_SECONDS:
                return
            self.proven_at.pop(part)

    def _forget_old_crashes(self, now: float) -> None:
        """Forget crashes that no culprit explains after a time, and the earliest ones beyond the limits."""
        explained = {key for culprit in self.culprits for key in culprit.crashes} & self.crashes.keys()
        unexplained = self.crashes.keys() - explained
        outdated = {key for key in unexplained if now - self.learnt_at[key] > EVIDENCE_SECONDS}
        # Each kind has its half, so that neither known culprits nor a flood of new suspects displaces the other.
        excess = [
            key
            for keys in (explained, unexplained - outdated)
            for key in sorted(keys, key=self.learnt_at.__getitem__)[: -MAX_CRASHES // 2]
        ]
        for key in (*outdated, *excess):
            self.crashes.pop(key)
            self.learnt_at.pop(key)

    def _update(self, now: float) -> None:
        found_at = {culprit.parts: culprit.found_at for culprit in self.culprits}
        self.scores = _sum_scores(self.crashes.values())
        self.suspects = frozenset(self.scores)
        self.culprits = [
            replace(culprit, found_at=found_at.get(culprit.parts, now))
            for culprit in find_culprits(self.crashes.values(), self.requests.by_part)
        ]


def _find_culprit(crashes: dict[CrashKey, Crash], request_counts: Counter[str]) -> Culprit | None:
    by_part = _index_crashes(crashes)
    scores = _sum_scores(crashes.values())
    repeated = _union(crash.suspected & crash.suspects() for crash in crashes.values())
    eligible = [part for part in repeated if scores[part] >= CULPRIT_SCORE and not _is_contested(by_part, part)]
    if not eligible:
        return None
    best = max(eligible, key=lambda part: (scores[part], -request_counts[part], part))
    keys = by_part[best]
    rivals = {
        part
        for part in _union(crashes[key].suspects() for key in keys) - {best}
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


def _sum_scores(crashes: Iterable[Crash]) -> Counter[str]:
    scores: Counter[str] = Counter()
    for crash in crashes:
        scores.update({part: crash.score(part) for part in crash.suspects()})
    return scores


def _union(sets: Iterable[Parts]) -> Parts:
    return frozenset().union(*sets)
