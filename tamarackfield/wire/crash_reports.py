"""Messages about runs that broke off, and about the ends of engines."""

from collections.abc import Iterable
from dataclasses import dataclass

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.crashes import Crash, ProbeMark, SuspectRun
from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


#: Begin entries of ``suspected`` for probed parts and for marks of probes; no part begins so.
_PROBED, _MARK = 'probed,', 'probe-mark,'
#: Between the fields of a mark; header values, of which the ids of parts are made, cannot contain it.
_SEPARATOR = '\n'


@dataclass(frozen=True, slots=True)
class BrokenRun(Message):
    """The connection of a run ended before its answer did.

    ``target`` and ``started_ms`` identify the incarnation that ran it, ``label`` is the caller's request id.
    ``has_begun`` is whether the head of the answer arrived, ``wrote_ms`` the time from the first part of its body
    to the last. ``parts`` are the ids of the parts of its prompt that other requests may have as well, and the
    fingerprint of the request, ``suspected`` those that had been suspected of a crash when it was sent, and those that
    were probed, with `_PROBED` before them.
    """

    kind = 70
    target: str
    started_ms: int
    label: str
    has_begun: bool
    wrote_ms: int
    parts: list[str]
    suspected: list[str]


@dataclass(frozen=True, slots=True)
class CrashReport(Message):
    """The end of an engine amid runs, as far as the sender knows it (`tamarackfield.policy.quarantine.Crash`).

    The lists have the ids of parts of prompts, and fingerprints of requests. ``suspected`` also has the probed parts
    and the marks of probes, each with its prefix: earlier builds keep and pass on what they do not know there.
    """

    kind = 71
    target: str
    started_ms: int
    ended_ms: int
    unwritten: list[str]
    brief: list[str]
    suspected: list[str]
    cleared: list[str]


@dataclass(frozen=True, slots=True)
class AskCrashes(Message):
    """Question of an entry to another one for the crashes that it knows, sent after those that it knows itself.

    ``digest`` is that of all crashes that the sender knows. The answer is a `CrashReport` for each crash, none if both
    know the same, and `CrashesTold`.
    """

    kind = 79
    digest: str


@dataclass(frozen=True, slots=True)
class CrashesTold(Message):
    """End of an answer to `AskCrashes`."""

    kind = 80


def encode_crash(crash: Crash) -> CrashReport:
    """Return the message that reports a crash."""
    marks = [_encode_mark(mark) for mark in crash.marks]
    suspected = sorted((*crash.suspected, *mark_probed(crash.probed), *marks))
    lists = [sorted(crash.unwritten), sorted(crash.brief), suspected, sorted(crash.cleared)]
    return CrashReport(crash.target, crash.started_ms, crash.ended_ms, *lists)


def decode_crash(report: CrashReport) -> Crash:
    """Return the crash that a message reports."""
    suspected, probed = _split_probed(report.suspected)
    return Crash(
        report.target,
        report.started_ms,
        report.ended_ms,
        frozenset(report.unwritten),
        frozenset(report.brief),
        frozenset(part for part in suspected if not part.startswith(_MARK)),
        frozenset(report.cleared),
        probed,
        frozenset(_decode_mark(part) for part in suspected if part.startswith(_MARK)),
    )


def make_suspect_run(run: BrokenRun) -> SuspectRun:
    """Return what a broken run says of the parts of its prompt."""
    wrote_seconds = run.wrote_ms / MS_PER_SECOND
    suspected, probed = _split_probed(run.suspected)
    return SuspectRun(frozenset(run.parts), run.has_begun, wrote_seconds, suspected, probed)


def mark_probed(parts: Iterable[str]) -> list[str]:
    """Return probed parts as entries of ``suspected``."""
    return [_PROBED + part for part in sorted(parts)]


def _split_probed(entries: Iterable[str]) -> tuple[frozenset[str], frozenset[str]]:
    probed = frozenset(each for each in entries if each.startswith(_PROBED))
    return frozenset(entries) - probed, frozenset(each.removeprefix(_PROBED) for each in probed)


def _encode_mark(mark: ProbeMark) -> str:
    sent = 'sent' if mark.sent else ''
    return _MARK + _SEPARATOR.join((str(mark.number), mark.entry, sent, *sorted(mark.parts)))


def _decode_mark(text: str) -> ProbeMark:
    number, entry, sent, *parts = text.removeprefix(_MARK).split(_SEPARATOR)
    return ProbeMark(frozenset(parts), int(number), entry, sent=bool(sent))


#: Message types of this module by kind.
CRASH_REPORT_TYPES = {
    message_type.kind: message_type for message_type in (BrokenRun, CrashReport, AskCrashes, CrashesTold)
}

register_message_types(CRASH_REPORT_TYPES)
