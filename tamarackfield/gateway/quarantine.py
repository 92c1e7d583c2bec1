"""Quarantine of requests on which targets crash: what this entry knows, and its exchange with other processes.

A sidecar reports the end of its engine to all entries, and passes on what they report. An entry finds out itself
whether a target without a sidecar has ended. Each entry tells every
sidecar what it knows, so that a process that starts hears of it from any that lives, before a request is granted.
Where no sidecar responds, entries tell each other (`tamarackfield.gateway.peers`).
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Application, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import listen_for, wait_within
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.end_watch import EndWatch
from tamarackfield.gateway.exchange import Answered, AttemptResult, Exchange, MaybeRan, Streamed
from tamarackfield.gateway.links import ManagerLink
from tamarackfield.gateway.model import Call
from tamarackfield.policy.probe_gate import ProbeCase, ProbeGate, ProbeStep
from tamarackfield.policy.crashes import PROOF_SECONDS, Crash
from tamarackfield.policy.culprits import Culprit
from tamarackfield.policy.quarantine import Quarantine
from tamarackfield.policy.ring import order_by_rendezvous
from tamarackfield.web.framing import BodyFraming
from tamarackfield.wire.crash_reports import BrokenRun, mark_probed

#: Seconds for which changes are collected before the sidecars are told: most of them have heard from others by then.
COLLECT_SECONDS = 0.05
#: Seconds after the break of a run in which its sidecar finds that the target has ended, and tells the entries.
SUSPICION_SECONDS = 0.15
#: Size limit, in bytes, of the bodies of requests whose runs are remembered while no target has crashed: hashing one
#: takes some 30 microseconds.
MAX_REMEMBERED_BYTES = 16_384
#: Retry-After, in seconds, while a verdict is provisional: a probe decides within about this time.
PROVISIONAL_RETRY_SECONDS = 2.0
#: Bits of the random name of an entry in the marks of its probes.
_NAME_BITS = 48


class RequestQuarantine:
    """Crashes that this entry knows of, and the requests that it does not send because of them.

    Parameters
    ----------
    application : Application
        Owns the tasks that find out whether a target has ended.
    list_links : callable
        Returns the links to all sidecars.

    Attributes
    ----------
    refused : int
        Number of requests that were not sent.
    count_entries : callable
        Returns the number of entries.
    tell_entries : callable
        Tells other entries of the crashes if no sidecar can.
    """

    def __init__(self, application: Application, list_links: Callable[[], Iterable[ManagerLink]]) -> None:
        """Create a quarantine without crashes."""
        self.list_links = list_links
        self.evidence = Quarantine()
        rng = random.Random()  # noqa: S311 spreads probes
        self.gate = ProbeGate(f'{rng.getrandbits(_NAME_BITS):x}', rng)
        # Monotonic seconds of the latest sound run of a request without a culprit, by service.
        self.sound_at: dict[str, float] = {}
        self.changed = asyncio.Event()
        self.ends = EndWatch(application, self._record_seen_crash)
        self.refused = 0
        self.count_entries: Callable[[], int] = int
        self.tell_entries: Callable[[], Awaitable[None]] = _tell_nobody

    def attach(self, link: ManagerLink) -> None:
        """Exchange crashes with the sidecar of a new link."""
        link.on_crash = self.record_crash
        link.list_crashes = lambda: list(self.evidence.crashes.values())

    def _admit_probe(self, call_state: CallState, culprits: list[Culprit], now: float) -> bool:
        """Return whether a request in quarantine is sent all the same, to find out whether targets crash on it."""
        if len(culprits) > 1:
            return False
        culprit = culprits[0]
        marks = self.evidence.list_marks(culprit)
        case = ProbeCase(
            culprit.parts,
            culprit.found_at,
            marks,
            self.evidence.count_probe_crashes(culprit),
            self.evidence.is_confirmed(culprit),
            self.sound_at.get(call_state.service, -math.inf),
            max(1, self.count_entries()),
            self.has_sidecar(),
        )
        step, mark = self.gate.decide(case, now)
        if step is ProbeStep.REFUSE:
            return False
        self.evidence.record_mark(culprit, mark)
        self.changed.set()
        bound = logger.bind(request_id=call_state.call.request_id, culprit=culprit.label(), number=mark.number)
        if step is ProbeStep.CLAIM:
            bound.info('quarantine_probe_claimed')
            return False
        call_state.is_probe = True
        bound.warning('quarantine_probe')
        return True

    def find_culprit(self, call_state: CallState) -> Culprit | None:
        """Return the culprit because of which a call is not sent, None if it may be sent."""
        if call_state.is_probe or not self.evidence.culprits:
            return None
        return self.evidence.find_culprit(self.list_parts(call_state.call))

    def explain_refusal(self, call_state: CallState) -> str:
        """Return why a call may not be sent, empty if it may."""
        culprit = self.find_culprit(call_state)
        if culprit is None:
            return ''
        reason = 'targets crash on' if culprit.is_request() else 'engines crash on prompt part'
        return f'{reason} {culprit.label()}'

    def require_release(self, call_state: CallState) -> None:
        """Let a call pass that is not in quarantine, or that is sent as a probe.

        Raises
        ------
        RequestError
            If the call is in quarantine and did not run. Its status does not invite it back once a probe has confirmed
            the culprit; until then, it says when that will be.
        """
        now = BOOT_CLOCK.monotonic()
        prompt_parts = call_state.call.prompt_parts
        if prompt_parts:
            self.evidence.record_request(prompt_parts)
        if call_state.is_probe or not self.evidence.culprits:
            return
        culprits = self.evidence.list_culprits(self.list_parts(call_state.call))
        if not culprits or self._admit_probe(call_state, culprits, now):
            return
        self.refused += 1
        is_final = self.evidence.is_final(culprits[0], now)
        make_error = partial(
            RequestError,
            self.explain_refusal(call_state),
            step='quarantine',
            status=HTTPStatus.BAD_REQUEST if is_final else HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after=0 if is_final else PROVISIONAL_RETRY_SECONDS,
        )
        if culprits[0].is_request():
            raise make_error(code='request_in_quarantine')
        raise make_error(code='prompt_in_quarantine')

    def list_parts(self, call: Call) -> tuple[str, ...]:
        """Return what may be suspected of a crash: the shared parts of a prompt, and the request as a whole."""
        return (*call.prompt_parts, call.identify())

    def find_suspected(self, call: Call) -> frozenset[str]:
        """Return those parts of a call that are suspected of a crash."""
        return self.evidence.suspects.intersection(self.list_parts(call)) if self.evidence.suspects else frozenset()

    def record_crash(self, report: Crash) -> None:
        """Record what a sidecar or this entry knows of a crash."""
        if self.evidence.record_crash(report, BOOT_CLOCK.monotonic()):
            self._announce_change(f'{report.target}/{report.started_ms}')

    def find_isolated_part(self, call: Call) -> str:
        """Return the part that decides to which target a call is sent, empty if none does.

        A request without shared parts of a prompt is isolated as a whole.
        """
        if not self.evidence.suspects:
            return ''
        return self.evidence.find_isolated_part(call.prompt_parts or (call.identify(),))

    async def wait_for_report(self, call_state: CallState) -> None:
        """Wait until the end of a target would be known that did not run a call with a suspected part."""
        if call_state.not_run_targets and self.find_isolated_part(call_state.call):
            await listen_for(SUSPICION_SECONDS)

    async def wait_for_suspicion(self, call_state: CallState) -> bool:
        """Wait until the end of the target of the last run would be known.

        Returns
        -------
        bool
            Whether a part of the prompt is suspected of it. The request as a whole always is, and may be sent once
            more as long as it is not in quarantine.
        """
        if call_state.end_check is None:
            await listen_for(SUSPICION_SECONDS)
        else:
            await wait_within(call_state.end_check, SUSPICION_SECONDS)
        return not self.evidence.suspects.isdisjoint(call_state.call.prompt_parts)

    def record_attempt(
        self, call_state: CallState, exchange: Exchange, result: AttemptResult, link: ManagerLink | None
    ) -> None:
        """Record what the end of an attempt says of the parts of its request.

        Parameters
        ----------
        call_state : CallState
            State of the call, which learns whether the run broke off before it had shown that the request does not
            crash the target.
        exchange : Exchange
            Exchange of the attempt.
        result : AttemptResult
            Result of the attempt.
        link : ManagerLink or None
            Link to the sidecar of its target.
        """
        call = exchange.call
        # A crash looks like the end of an answer that ends with its connection.
        is_clear_end = _shows_survival(call, result) and exchange.framing is not BodyFraming.CLOSE
        is_proven = is_clear_end or exchange.wrote_seconds() >= PROOF_SECONDS
        if is_proven:
            self._record_proof(call_state)
        may_have_broken_off = isinstance(result, MaybeRan) or (_shows_survival(call, result) and not is_proven)
        call_state.broke_off_unproven = False
        call_state.end_check = None
        if not may_have_broken_off or not exchange.has_connection_ended():
            return
        call_state.broke_off_unproven = isinstance(result, MaybeRan) and not is_proven
        run = self._report_end(exchange, link)
        # One probe is one run.
        call_state.is_probe = False
        if link is None or link.is_silent():
            call_state.end_check = self.ends.check(run, exchange.target.record.address)

    async def explain_unproven_end(self, exchange: Exchange, link: ManagerLink | None) -> str:
        """Find out whether a target lived on after an answer that only the end of its connection ended.

        Parameters
        ----------
        exchange : Exchange
            Exchange whose connection the target closed.
        link : ManagerLink or None
            Link to the sidecar of the target, which learns that the run may have broken off.

        Returns
        -------
        str
            Why the answer is not complete; empty if the target has answered a later call.
        """
        run = self._report_end(exchange, link)
        return await self.ends.explain_unproven_end(run, exchange.target, link is not None and not link.is_silent())

    async def run(self) -> None:
        """Tell the sidecars, or other entries if no sidecar responds, what has changed; never return."""
        while True:
            await self.changed.wait()
            await asyncio.sleep(COLLECT_SECONDS)
            self.changed.clear()
            for crash in list(self.evidence.crashes.values()):
                for link in self.list_links():
                    link.report_crash(crash)
            if not self.has_sidecar():
                await self.tell_entries()

    def has_sidecar(self) -> bool:
        """Return whether a sidecar responds, which tells the entries of crashes."""
        return any(not link.is_silent() for link in self.list_links())

    def _record_proof(self, call_state: CallState) -> None:
        now = BOOT_CLOCK.monotonic()
        call = call_state.call
        self.sound_at[call_state.service] = now
        is_remembered = self.evidence.suspects or len(call.body) <= MAX_REMEMBERED_BYTES
        parts = self.list_parts(call) if is_remembered else call.prompt_parts
        if self.evidence.record_proof(parts, now):
            self._announce_change(f'request {call.request_id}')

    def _report_end(self, exchange: Exchange, link: ManagerLink | None) -> BrokenRun:
        """Report a run whose connection has ended to the sidecar of its target, once."""
        record = exchange.target.record
        parts = self.list_parts(exchange.call)
        run = BrokenRun(
            record.name,
            record.started_ms,
            exchange.call.request_id,
            exchange.framing is not None,
            round(exchange.wrote_seconds() * MS_PER_SECOND),
            list(parts),
            [*sorted(exchange.suspected_parts), *mark_probed(parts if exchange.is_probe else ())],
        )
        if link is not None and not exchange.end_reported:
            exchange.end_reported = link.send_best_effort(run)
        return run

    def _record_seen_crash(self, crash: Crash) -> None:
        """Record a crash that this entry found, and tell the sidecar at which the reports of all entries meet."""
        self.record_crash(crash)
        links = {link.address[0]: link for link in self.list_links() if not link.is_silent()}
        for host in order_by_rendezvous(crash.target, links)[:1]:
            links[host].report_crash(self.evidence.crashes[crash.key()])

    def _announce_change(self, source: str) -> None:
        evidence = self.evidence
        logger.bind(
            source=source,
            crashes=len(evidence.crashes),
            suspects=len(evidence.suspects),
            culprits=' '.join(f'{culprit.label()}:{len(culprit.crashes)}' for culprit in evidence.culprits),
        ).info('crash_evidence')
        self.changed.set()


def _shows_survival(call: Call, result: AttemptResult) -> bool:
    """Return whether a target that gave an answer has run the request and lives; engines also refuse with errors."""
    if isinstance(result, Streamed):
        return True
    if not isinstance(result, Answered):
        return False
    limit = HTTPStatus.MULTIPLE_CHOICES if call.model else HTTPStatus.INTERNAL_SERVER_ERROR
    return result.head.status < limit


async def _tell_nobody() -> None:
    """Do nothing."""
