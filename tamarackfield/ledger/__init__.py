"""At-most-once records of non-idempotent calls."""

from tamarackfield.ledger.records import Answer, Ledger, Record, RecordState

__all__ = ['Answer', 'Ledger', 'Record', 'RecordState']
