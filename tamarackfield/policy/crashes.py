"""Crashes of targets amid runs, as processes know and exchange them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Time in seconds for which a run writes until it has shown that its prompt does not crash the engine. The engines
#: of the platform end within 0.15 s of the first token.
PROOF_SECONDS = 0.25
#: Score of a part in a crash: for a run that had written nothing, and for one that had written for a moment.
UNWRITTEN_SCORE, BRIEF_SCORE = 3, 2

#: Limit of the probes of one culprit at all entries: so many further runs of a crashing request are allowed.
MAX_PROBES = 3

#: Name of a target and start of its incarnation, which identify its crash.
CrashKey = tuple[str, int]
Parts = frozenset[str]
_NO_PARTS: Parts = frozenset()


@dataclass(frozen=True, slots=True)
class ProbeMark:
    """Claim of an entry to the next probe of a culprit, or its word that it sends the probe.

    Parameters
    ----------
    parts : frozenset of str
        Parts of the culprit.
    number : int
        Number of probes that were sent before.
    entry : str
        Name of the entry.
    sent : bool
        Whether the probe is sent.
    """

    parts: Parts
    number: int
    entry: str
    sent: bool = False


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
    probed : frozenset of str
        All of its parts if it was sent as a probe.
    """

    parts: Parts
    has_begun: bool = True
    wrote_seconds: float = 0.0
    suspected: Parts = _NO_PARTS
    probed: Parts = _NO_PARTS


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
    probed : frozenset of str
        Parts of a run that was sent as a probe.
    marks : frozenset of ProbeMark
        Probes that were claimed or sent because of it.
    """

    target: str
    started_ms: int
    ended_ms: int = 0
    unwritten: Parts = _NO_PARTS
    brief: Parts = _NO_PARTS
    suspected: Parts = _NO_PARTS
    cleared: Parts = _NO_PARTS
    probed: Parts = _NO_PARTS
    marks: frozenset[ProbeMark] = frozenset()

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
        sets = (self.unwritten, self.brief, self.suspected, self.cleared, self.probed)
        marks = sorted((sorted(mark.parts), mark.number, mark.entry, mark.sent) for mark in self.marks)
        return (*self.key(), self.ended_ms, *(sorted(parts) for parts in sets), marks)

    def has_probed(self, parts: Parts) -> bool:
        """Return whether it may have been caused by some parts, in a run that was sent as a probe of them."""
        return parts <= self.probed and parts <= self.suspects()

    def has_other_suspect(self) -> bool:
        """Return whether a part that was suspected before, in a run beside the probe, may have caused it as well."""
        return not (self.suspected & self.suspects()) <= self.probed

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
            self.probed | other.probed,
            self.marks | other.marks,
        )


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
        unwritten=union(run.parts for run in unwritten),
        brief=union(run.parts for run in brief),
        suspected=union(run.suspected for run in suspects),
        cleared=union(run.parts for run in proven),
        probed=union(run.probed for run in suspects),
    )


def union(sets: Iterable[Parts]) -> Parts:
    """Return the union of some sets."""
    return frozenset().union(*sets)
