"""Ledger of a home target: state and answer of each non-idempotent call, retained until the horizon."""

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

#: Limit on the bytes of all stored answers; above it a record keeps its state without the answer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: Limit on the records of one home target; above it new keys are refused.
MAX_RECORDS = 32_768
#: Limit on the bytes of all recorded keys; above it new keys are refused.
MAX_KEY_BYTES = 4 * 1024 * 1024


class LedgerFullError(Exception):
    """The ledger cannot record another key before ``retry_at``, in monotonic seconds."""

    def __init__(self, retry_at: float) -> None:
        """Store the expiry time of the oldest record, in monotonic seconds."""
        super().__init__(f'ledger is full; its oldest record expires at {retry_at} monotonic seconds')
        self.retry_at = retry_at


class RecordState(enum.Enum):
    """State of the call with a key."""

    #: The call waits in the queue; no byte was sent to the target.
    ADMITTED = 'admitted'
    #: Bytes may have been sent to the target; its answer is pending.
    DISPATCHED = 'dispatched'
    #: The target answered.
    ANSWERED = 'answered'
    #: Bytes may have been sent to the target, and the exchange ended without an answer.
    LOST = 'lost'
    #: The key never ran here; the right to run it was handed over to another home target.
    HANDED_OVER = 'handed_over'


#: States in which a call is in progress.
RUNNING_STATES = frozenset((RecordState.ADMITTED, RecordState.DISPATCHED))


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of the target to the single run of a key."""

    status: int
    headers: list[list[str]]
    body: bytes


@dataclass(slots=True)
class Record:
    """Record of one key.

    Parameters
    ----------
    key : str
        Caller and idempotency key.
    fingerprint : bytes
        Hash of the request that first used the key.
    state : RecordState
        State of the call.
    expires_at : float
        Monotonic seconds after which the record may be evicted.
    answer : Answer or None
        Answer of the target; None if there is none yet or it exceeded the limit on stored answers.
    holder : str
        Target and incarnation that the key was handed over to; empty if it was not handed over.
    """

    key: str
    fingerprint: bytes
    state: RecordState
    expires_at: float
    answer: Answer | None = None
    holder: str = ''

    def is_live(self, now: float) -> bool:
        """Return whether the record must be kept: its call is in progress or it has not expired."""
        return self.state in RUNNING_STATES or self.expires_at > now


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return a hash that distinguishes requests with the same key.

    Examples
    --------
    >>> request_fingerprint('POST', '/a', b'x') == request_fingerprint('POST', '/a', b'y')
    False
    """
    head = f'{method} {path}\n'.encode()
    return hashlib.sha256(head + body).digest()


class Ledger:
    """All records of one home target, in order of admission.

    A key is admitted once: a second attempt finds the record. The record of a call of which no byte
    was sent is withdrawn, so that the caller may send the key again. A live record is never evicted
    to free capacity: when the ledger is full, new keys are refused.

    Parameters
    ----------
    max_records : int
        Limit on the number of records.
    max_key_bytes : int
        Limit on the bytes of all recorded keys.
    max_answer_bytes : int
        Limit on the bytes of all stored answers.
    """

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_key_bytes: int = MAX_KEY_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Create an empty ledger."""
        self.max_records = max_records
        self.max_key_bytes = max_key_bytes
        self.max_answer_bytes = max_answer_bytes
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.key_bytes = 0
        self.answer_bytes = 0

    def find_record(self, key: str, now: float) -> Record | None:
        """Return the live record of a key, or None."""
        record = self.records.get(key)
        return record if record is not None and record.is_live(now) else None

    def admit(self, key: str, fingerprint: bytes, expires_at: float, now: float) -> Record:
        """Add a record for a key that has no live record.

        Raises
        ------
        KeyError
            If the key has a live record.
        LedgerFullError
            If a limit is reached; no live record is evicted.
        """
        self.drop_expired(now)
        if self.find_record(key, now) is not None:
            raise KeyError(key)
        self._drop(key)
        size = len(key.encode())
        if len(self.records) >= self.max_records or self.key_bytes + size > self.max_key_bytes:
            raise LedgerFullError(next(iter(self.records.values())).expires_at)
        record = Record(key, fingerprint, RecordState.ADMITTED, expires_at)
        self.records[key] = record
        self.key_bytes += size
        return record

    def mark_dispatched(self, key: str) -> None:
        """Mark the call as dispatched, before its first byte is sent to the target."""
        self.records[key].state = RecordState.DISPATCHED

    def store_answer(self, key: str, answer: Answer) -> None:
        """Store the answer of a dispatched call, or only its state if the limit on stored answers is reached."""
        record = self.records[key]
        record.state = RecordState.ANSWERED
        if self.answer_bytes + len(answer.body) <= self.max_answer_bytes:
            record.answer = answer
            self.answer_bytes += len(answer.body)

    def mark_lost(self, key: str) -> None:
        """Mark a dispatched call that ended without an answer."""
        self.records[key].state = RecordState.LOST

    def withdraw(self, key: str) -> None:
        """Remove the record of a call of which certainly no byte was sent to the target."""
        self._drop(key)

    def hand_over(self, key: str, holder: str, expires_at: float, now: float) -> bool:
        """Transfer the right to run a key without a record to another home target, permanently.

        Parameters
        ----------
        key : str
            Caller and idempotency key.
        holder : str
            Target and incarnation of the other home target.
        expires_at, now : float
            Expiry of the record and current time, in monotonic seconds.

        Returns
        -------
        bool
            False if the key has a record here, was handed over to another home target or the ledger is full.
        """
        record = self.find_record(key, now)
        if record is not None:
            return record.state is RecordState.HANDED_OVER and record.holder == holder
        try:
            record = self.admit(key, b'', expires_at, now)
        except LedgerFullError:
            return False
        record.state = RecordState.HANDED_OVER
        record.holder = holder
        return True

    def drop_expired(self, now: float) -> None:
        """Evict expired records, oldest first, up to the first live one."""
        while self.records:
            record = next(iter(self.records.values()))
            if record.is_live(now):
                return
            self._drop(record.key)

    def _drop(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is None:
            return
        self.key_bytes -= len(key.encode())
        if record.answer is not None:
            self.answer_bytes -= len(record.answer.body)
