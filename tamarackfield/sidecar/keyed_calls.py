"""Calls that run at most once: the record is added before dispatch and retained until the horizon.

The call with a key runs in a separate task, which outlives the request that started it. Every
request with the key waits for that task or is answered from the record.
"""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK, RequestError, deadline_from_unix_ms
from tamarackfield.core.errors import refusal
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import deadline_at
from tamarackfield.ledger import (
    Answer,
    Coverage,
    IssuedKeyError,
    Ledger,
    LedgerFullError,
    Proof,
    ProofResult,
    Record,
    RecordState,
    request_fingerprint,
)
from tamarackfield.sidecar.reply import Reply
from tamarackfield.wire.request_relay import KeyEpoch, Submit

#: Requests a caller's key from an earlier home target; true if the key never ran there and never will.
RequestHandover = Callable[[str, str], Awaitable[bool]]
#: Runs a call at the target, with a time-out at a time in monotonic seconds; calls the function immediately before
#: the first byte is sent.
RunCall = Callable[[Submit, float, Callable[[], None]], Awaitable[Answer]]


@dataclass(frozen=True, slots=True)
class NoAnswerReason:
    """Why no answer to a key is available, as text and as code for callers."""

    text: str
    code: str


_UNPROVED_REASONS = {
    Proof.EARLIER_INCARNATION: NoAnswerReason(
        'it may have run before its home restarted', code='key_earlier_incarnation'
    ),
    Proof.EARLIER_HOME: NoAnswerReason('it may have run at its earlier home', code='key_earlier_home'),
    Proof.NOT_HOME: NoAnswerReason('it has another home by the bundle in force there', code='key_not_home'),
    Proof.EXPIRED: NoAnswerReason('it was issued too long ago', code='key_expired'),
}
_ANSWER_NOT_KEPT = NoAnswerReason(
    'was answered, and its answer exceeded the limit on stored answers', code='answer_not_kept'
)
_ANSWER_LOST = NoAnswerReason('was dispatched and its answer is not known', code='answer_lost')


@dataclass(slots=True)
class KeyedCalls:
    """Records and running calls of one home target.

    Parameters
    ----------
    target : str
        Name of the home target.
    ledger : Ledger
        Records of the home target.
    coverage : Coverage
        Classifies keys without a record.
    run_call : callable
        Runs a call at the target.
    request_handover : callable
        Requests the handover of a key from an earlier home target.
    running : dict
        Task of each call in progress, by caller and idempotency key.
    """

    target: str
    ledger: Ledger
    coverage: Coverage
    run_call: RunCall
    request_handover: RequestHandover
    running: dict[str, asyncio.Task[Answer]] = field(default_factory=dict)

    def make_epoch(self) -> KeyEpoch:
        """Return the message from which entries issue keys for this home target."""
        coverage = self.coverage
        return KeyEpoch(coverage.incarnation, coverage.uptime_ms(SYSTEM_CLOCK.monotonic()))

    def hand_over(self, scoped_key: str, holder: str) -> bool:
        """Hand a key over to its new home target if it never ran here; return whether it was handed over.

        A key that was handed over is never run here afterwards.
        """
        now = SYSTEM_CLOCK.monotonic()
        if not self.coverage.can_hand_over(scoped_key, now):
            return False
        return self.ledger.hand_over(scoped_key, holder, now + self.coverage.horizon_seconds, now)

    def draining_outcome(self, submit: Submit) -> Outcome | None:
        """Return the outcome of a call that arrives while draining; None if its record answers it."""
        now = SYSTEM_CLOCK.monotonic()
        if self.ledger.find_record(f'{submit.caller}|{submit.idempotency_key}', now) is not None:
            return None
        try:
            proof_result = self.coverage.classify_key(submit.caller, submit.idempotency_key, now)
        except IssuedKeyError:
            return Outcome.NOT_RUN
        return Outcome.NOT_RUN if proof_result.proof is Proof.NEVER_RAN else Outcome.UNKNOWN

    async def run(self, submit: Submit, reply: Reply) -> None:
        """Run a call that may run at most once, or answer from its record.

        Raises
        ------
        RequestError
            If the call is refused or fails, or its answer is unknown.
        """
        answer = await self._obtain_answer(submit)
        reply.send_head(answer.status, answer.headers)
        await reply.send_chunk(answer.body)
        reply.send_end()

    async def _obtain_answer(self, submit: Submit) -> Answer:
        scoped_key = f'{submit.caller}|{submit.idempotency_key}'
        fingerprint = request_fingerprint(submit.method, submit.path, submit.body)
        if self.ledger.find_record(scoped_key, SYSTEM_CLOCK.monotonic()) is None:
            await self._prove_never_ran(submit)
        record = self.ledger.find_record(scoped_key, SYSTEM_CLOCK.monotonic())
        if record is None:
            self._start_call(scoped_key, fingerprint, submit)
        elif record.fingerprint != fingerprint and record.state is not RecordState.HANDED_OVER:
            raise refusal(
                'this request was not run: its key was first used for another request',
                step='ledger',
                peer=self.target,
                code='key_reused',
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
            )
        task = self.running.get(scoped_key)
        if task is None:
            return self._recorded_answer(self.ledger.records[scoped_key])
        return await self._await_call(task, submit)

    async def _prove_never_ran(self, submit: Submit) -> None:
        """Raise an error with outcome ``unknown`` unless a key without a record provably never ran."""
        now = SYSTEM_CLOCK.monotonic()
        caller, key = submit.caller, submit.idempotency_key
        try:
            proof_result = self.coverage.classify_key(caller, key, now)
        except IssuedKeyError as exc:
            raise refusal(str(exc), step='ledger', peer=self.target, code='bad_key') from None
        if proof_result.proof is Proof.NEVER_RAN:
            return
        if proof_result.proof is Proof.EARLIER_HOME and proof_result.earlier_homes:
            scoped_key = f'{caller}|{key}'
            handed_over = await asyncio.gather(
                *(self.request_handover(home, scoped_key) for home in proof_result.earlier_homes)
            )
            # A bundle may have changed the home targets of the key while the handovers were in progress.
            if all(handed_over) and self.coverage.classify_key(caller, key, SYSTEM_CLOCK.monotonic()) == proof_result:
                return
        raise self._unproved_error(proof_result, now)

    def _unproved_error(self, proof_result: ProofResult, now: float) -> RequestError:
        reason = _UNPROVED_REASONS[proof_result.proof]
        return RequestError(
            f'nobody can tell whether this key ran: {reason.text}',
            step='ledger',
            peer=self.target,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.SERVICE_UNAVAILABLE if proof_result.retry_at else HTTPStatus.CONFLICT,
            code=reason.code,
            retry_after=max(1, math.ceil(proof_result.retry_at - now)),
        )

    def _start_call(self, scoped_key: str, fingerprint: bytes, submit: Submit) -> None:
        now = SYSTEM_CLOCK.monotonic()
        expires_at = now + self.coverage.horizon_seconds
        try:
            self.ledger.admit(scoped_key, fingerprint, expires_at, now)
        except LedgerFullError as exc:
            raise RequestError(
                'the home remembers as many keys as it can',
                step='ledger',
                peer=self.target,
                code='ledger_full',
                retry_after=max(1, math.ceil(exc.retry_at - now)),
            ) from None
        task = asyncio.create_task(self._run_call(scoped_key, expires_at, submit), name=f'keyed-{scoped_key}')
        self.running[scoped_key] = task
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def _run_call(self, scoped_key: str, expires_at: float, submit: Submit) -> Answer:
        try:
            answer = await self.run_call(submit, expires_at, lambda: self.ledger.mark_dispatched(scoped_key))
        except BaseException as exc:
            self._record_failure(scoped_key, exc)
            raise
        finally:
            self.running.pop(scoped_key, None)
        self.ledger.store_answer(scoped_key, answer)
        return answer

    def _record_failure(self, scoped_key: str, failure: BaseException) -> None:
        not_run = isinstance(failure, RequestError) and failure.outcome is Outcome.NOT_RUN
        if not_run or self.ledger.records[scoped_key].state is RecordState.ADMITTED:
            self.ledger.withdraw(scoped_key)
        else:
            self.ledger.mark_lost(scoped_key)

    async def _await_call(self, task: asyncio.Task[Answer], submit: Submit) -> Answer:
        deadline = deadline_from_unix_ms(submit.deadline_unix_ms)
        with contextlib.suppress(TimeoutError):
            async with deadline_at(deadline):
                await asyncio.wait((task,))
        if task.done() and not task.cancelled():
            return task.result()
        raise RequestError(
            'the deadline passed while the call with this key was under way',
            step='await_answer',
            peer=self.target,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.GATEWAY_TIMEOUT,
            code='deadline_passed',
            retry_after=1,
        )

    def _recorded_answer(self, record: Record) -> Answer:
        if record.answer is not None:
            return record.answer
        reason = _ANSWER_NOT_KEPT if record.state is RecordState.ANSWERED else _ANSWER_LOST
        raise RequestError(
            f'the call with this key {reason.text}',
            step='ledger',
            peer=self.target,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.CONFLICT,
            code=reason.code,
            retry_after=max(1, math.ceil(record.expires_at - SYSTEM_CLOCK.monotonic())),
        )
