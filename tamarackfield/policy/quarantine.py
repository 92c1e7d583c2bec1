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

A culprit is provisional: what many callers send alike is in flight at most crashes of other causes. A run that is sent
as a probe (`tamarackfield.policy.probe_gate`) clears it, or confirms it by a crash.

Crashes are merged by union, so that processes that have heard of the same crashes and clearances, in any order,
come to the same culprits.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from tamarackfield.policy.crashes import MAX_PROBES, UNWRITTEN_SCORE, Crash, CrashKey, Parts, ProbeMark
from tamarackfield.policy.culprits import SETTLED_SECONDS, Culprit, find_culprits, sum_scores
from tamarackfield.policy.fingerprints import is_fingerprint, make_fingerprint
from tamarackfield.policy.isolation import RequestCounts

#: Seconds before a crash within which a run with a part clears the part of it.
RECENT_PROOF_SECONDS = 5.0
#: The same for a whole request: one that crashes its targets does so from its first run on, while a part may be shared
#: by prompts that differ in all else.
REQUEST_PROOF_SECONDS = 60.0
#: Seconds for which a crash that no culprit explains is remembered.
EVIDENCE_SECONDS = 3600.0
#: Limits of the crashes and of the proven parts that are remembered.
MAX_CRASHES = 256
MAX_PROVEN_PARTS = 4096

_NO_PARTS: Parts = frozenset()


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

    def list_culprits(self, parts: Iterable[str]) -> list[Culprit]:
        """Return the culprits because of which a request with some parts is in quarantine, a confirmed one first."""
        if not self.culprits:
            return []
        present = frozenset(parts)
        found = [culprit for culprit in self.culprits if culprit.parts <= present]
        return sorted(found, key=self.is_confirmed, reverse=True)

    def find_culprit(self, parts: Iterable[str]) -> Culprit | None:
        """Return the culprit because of which a request with some parts is in quarantine, None if it is not."""
        return next(iter(self.list_culprits(parts)), None)

    def count_probe_crashes(self, culprit: Culprit) -> int:
        """Return the number of targets that crashed under probes of a culprit."""
        return len(self._list_probe_crashes(culprit))

    def is_confirmed(self, culprit: Culprit) -> bool:
        """Return whether a target crashed under a probe of a culprit, and nothing else that was suspected ran there.

        As many crashes of probes as are allowed confirm it in any case.
        """
        probed = self._list_probe_crashes(culprit)
        return len(probed) >= MAX_PROBES or not all(crash.has_other_suspect() for crash in probed)

    def is_final(self, culprit: Culprit, now: float) -> bool:
        """Return whether a culprit is confirmed, and what might clear it would have been heard of."""
        if not self.is_confirmed(culprit):
            return False
        return min(self.learnt_at[crash.key()] for crash in self._list_probe_crashes(culprit)) <= now - SETTLED_SECONDS

    def list_marks(self, culprit: Culprit) -> frozenset[ProbeMark]:
        """Return the claims and the sent probes of a culprit; none that a sound run with it has outdated."""
        return frozenset(
            mark
            for crash in self.crashes.values()
            if crash.marks and culprit.parts <= crash.suspects()
            for mark in crash.marks
            if culprit.parts <= mark.parts
        )

    def record_mark(self, culprit: Culprit, mark: ProbeMark) -> None:
        """Record a claim or a sent probe of a culprit in the latest of its crashes, with which it spreads."""
        crashes = self._list_crashes(culprit)
        suspected = [crash for crash in crashes if culprit.parts <= crash.suspects()] or crashes
        latest = max(suspected, key=lambda crash: self.learnt_at[crash.key()])
        self.crashes[latest.key()] = replace(latest, marks=latest.marks | {mark})

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

    def _list_crashes(self, culprit: Culprit) -> list[Crash]:
        return [self.crashes[key] for key in culprit.crashes]

    def _list_probe_crashes(self, culprit: Culprit) -> list[Crash]:
        return [crash for crash in self._list_crashes(culprit) if crash.has_probed(culprit.parts)]

    def _recently_proven(self, parts: Parts, now: float) -> Parts:
        return frozenset(part for part in parts if self.proven_at.get(part, -math.inf) > now - _proof_seconds(part))

    def _forget_old_proofs(self, now: float) -> None:
        """Forget proofs that clear no part of a further crash, and the earliest ones beyond the limit."""
        while self.proven_at:
            part, proven_at = next(iter(self.proven_at.items()))
            if len(self.proven_at) <= MAX_PROVEN_PARTS and now - proven_at < _proof_seconds(part):
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
        self.scores = sum_scores(self.crashes.values())
        self.suspects = frozenset(self.scores)
        self.culprits = [
            replace(culprit, found_at=found_at.get(culprit.parts, now))
            for culprit in find_culprits(self.crashes.values(), self.requests.by_part)
        ]


def _proof_seconds(part: str) -> float:
    """Return how long before a crash a run with a part clears the part of it, in seconds."""
    return REQUEST_PROOF_SECONDS if is_fingerprint(part) else RECENT_PROOF_SECONDS
