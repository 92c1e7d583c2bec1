"""Records of non-idempotent calls at the key's home: key, dispatched, answer, kept to the horizon."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

#: Answers kept in full, in bytes over all keys; beyond it a key keeps its state without the answer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class RecordState(enum.Enum):
    """How far a key got."""

    ADMITTED = 'admitted'
    DISPATCHED = 'dispatched'
    ANSWERED = 'answered'


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
    state : RecordState
        How far it got.
    expires_at : float
        Monotonic seconds after which the record may be dropped.
    answer : Answer or None
        Set once it is answered, unless the answer was dropped for its size.
    """

    key: str
    state: RecordState
    expires_at: float
    answer: Answer | None = None


class Ledger:
    """All records of one home, in order of their expiry.

    A key is admitted once: a second try finds the record. A key that was admitted and never
    dispatched is withdrawn, so that it may be sent again.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.answer_bytes = 0

    def find(self, key: str, now: float) -> Record | None:
        """Return the live record of a key, or None."""
        record = self.records.get(key)
        return record if record is not None and record.expires_at > now else None

    def admit(self, key: str, expires_at: float, now: float) -> Record:
        """Make the record of a key that was not seen before.

        Raises
        ------
        KeyError
            If there is a live record.
        """
        self.expire(now)
        if key in self.records:
            raise KeyError(key)
        record = Record(key, RecordState.ADMITTED, expires_at)
        self.records[key] = record
        return record

    def dispatch(self, key: str) -> None:
        """Note that the call is about to leave for the target."""
        self.records[key].state = RecordState.DISPATCHED

    def answer(self, key: str, answer: Answer) -> None:
        """Keep the answer of a dispatched call."""
        record = self.records.get(key)
        if record is None:
            return
        record.state = RecordState.ANSWERED
        if self.answer_bytes + len(answer.body) <= MAX_ANSWER_BYTES:
            record.answer = answer
            self.answer_bytes += len(answer.body)

    def withdraw(self, key: str) -> None:
        """Drop the record of a call of which no byte left for the target."""
        record = self.records.get(key)
        if record is not None and record.state is RecordState.ADMITTED:
            self.records.pop(key)

    def expire(self, now: float) -> None:
        """Drop records that are past their horizon, oldest first."""
        while self.records:
            record = next(iter(self.records.values()))
            if record.expires_at > now:
                return
            self.records.pop(record.key)
            if record.answer is not None:
                self.answer_bytes -= len(record.answer.body)
