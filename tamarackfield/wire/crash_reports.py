"""Messages about runs that broke off, and about the ends of engines."""

from dataclasses import dataclass

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.policy.crashes import Crash, SuspectRun
from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class BrokenRun(Message):
    """The connection of a run ended before its answer did.

    ``target`` and ``started_ms`` identify the incarnation that ran it, ``label`` is the caller's request id.
    ``has_begun`` is whether the head of the answer arrived, ``wrote_ms`` the time from the first part of its body
    to the last. ``parts`` are the ids of the parts of its prompt that other requests may have as well, and the
    fingerprint of the request, ``suspected`` those that had been suspected of a crash when it was sent.
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

    The lists have the ids of parts of prompts, and fingerprints of requests.
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
    lists = [sorted(parts) for parts in (crash.unwritten, crash.brief, crash.suspected, crash.cleared)]
    return CrashReport(crash.target, crash.started_ms, crash.ended_ms, *lists)


def decode_crash(report: CrashReport) -> Crash:
    """Return the crash that a message reports."""
    lists = (report.unwritten, report.brief, report.suspected, report.cleared)
    return Crash(report.target, report.started_ms, report.ended_ms, *map(frozenset, lists))


def make_suspect_run(run: BrokenRun) -> SuspectRun:
    """Return what a broken run says of the parts of its prompt."""
    wrote_seconds = run.wrote_ms / MS_PER_SECOND
    return SuspectRun(frozenset(run.parts), run.has_begun, wrote_seconds, frozenset(run.suspected))


#: Message types of this module by kind.
CRASH_REPORT_TYPES = {
    message_type.kind: message_type for message_type in (BrokenRun, CrashReport, AskCrashes, CrashesTold)
}

register_message_types(CRASH_REPORT_TYPES)
