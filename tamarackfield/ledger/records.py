"""Records of non-idempotent calls at the key's home: key, dispatched, answer, kept to the horizon."""

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

#: Answers kept in full, in bytes over all keys; beyond it a key keeps its state without the answer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: Keys that one home remembers at once; beyond it new keys are refused.
MAX_RECORDS = 32_768
#: Bytes of all remembered keys; beyond it new keys are refused.
MAX_KEY_BYTES = 4 * 1024 * 1024


class LedgerFullError(Exception):
    """No further key can be remembered before ``retry_at``, in monotonic seconds."""

    def __init__(self, retry_at: float) -> None:
        """Keep the time at which the oldest record ends."""
        super().__init__(f'the ledger is full until {retry_at}')
        self.retry_at = retry_at


class RecordState(enum.Enum):
    """How far a key got."""

    #: Waits in the queue; no byte left for the target.
    ADMITTED = 'admitted'
    #: Bytes may have left for the target; the answer is awaited.
    DISPATCHED = 'dispatched'
    #: The target answered.
    ANSWERED = 'answered'
    #: Bytes may have left for the target and no answer will come.
    LOST = 'lost'
    #: Another home was told that the key never ran here, and may run it.
    HANDED_OVER = 'handed_over'


#: States in which a call is under way.
RUNNING_STATES = frozenset((RecordState.ADMITTED, RecordState.DISPATCHED))


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer that a key's one run gave."""

    status: int
    headers: list[list[str]]
    body: bytes


@dataclass(slots=True)
class Record:
    """What is known of one key.

    Parameters
    ----------
    key : str
        Caller and idempotency key.
    fingerprint : bytes
        Of the request that the key was first used for.
    state : RecordState
        How far it got.
    expires_at : float
        Monotonic seconds after which the record may be dropped.
    answer : Answer or None
        Set once it is answered, unless the answer was dropped for its size.
    holder : str
        Incarnation of the home that the key was handed over to.
    """

    key: str
    fingerprint: bytes
    state: RecordState
    expires_at: float
    answer: Answer | None = None
    holder: str = ''

    def is_live(self, now: float) -> bool:
        """Tell whether the record still counts; one whose call is under way always does."""
        return self.state in RUNNING_STATES or self.expires_at > now


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return what tells one request from another under the same key.

    Examples
    --------
    >>> request_fingerprint('POST', '/a', b'x') == request_fingerprint('POST', '/a', b'y')
    False
    """
    head = f'{method} {path}\n'.encode()
    return hashlib.sha256(head + body).digest()


class Ledger:
    """All records of one home, in order of their admission.

    A key is admitted once: a second try finds the record. A key that was admitted and never
    dispatched is withdrawn, so that it may be sent again. A live record is never dropped to make
    room: when the ledger is full, new keys are refused.

    Parameters
    ----------
    max_records : int
        Keys remembered at once.
    max_key_bytes : int
        Bytes of all remembered keys.
    max_answer_bytes : int
        Bytes of all kept answers.
    """

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_key_bytes: int = MAX_KEY_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Start empty."""
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
        """Make the record of a key that was not seen before.

        Raises
        ------
        KeyError
            If there is a live record.
        LedgerFullError
            If there is no room; nothing is forgotten.
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
        """Note that the call is about to leave for the target."""
        self.records[key].state = RecordState.DISPATCHED

    def store_answer(self, key: str, answer: Answer) -> None:
        """Keep the answer of a dispatched call, or its state alone if there is no room for the answer."""
        record = self.records[key]
        record.state = RecordState.ANSWERED
        if self.answer_bytes + len(answer.body) <= self.max_answer_bytes:
            record.answer = answer
            self.answer_bytes += len(answer.body)

    def mark_lost(self, key: str) -> None:
        """Note that a dispatched call broke off without an answer."""
        self.records[key].state = RecordState.LOST

    def withdraw(self, key: str) -> None:
        """Drop the record of a call of which it is certain that no byte left for the target."""
        self._drop(key)

    def hand_over(self, key: str, holder: str, expires_at: float, now: float) -> bool:
        """Give the right to run an unseen key to another home, for good.

        Parameters
        ----------
        key : str
            Caller and idempotency key.
        holder : str
            Incarnation of the other home.
        expires_at, now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False if the key was seen here, if another home holds it or if there is no room.
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
        """Drop records that are past their horizon, oldest first, up to the first live one."""
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
