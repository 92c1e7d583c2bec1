"""At-most-once execution: records of non-idempotent calls, and proofs that a key without a record never ran."""

from tamarackfield.ledger.coverage import Coverage, Proof, ProofResult
from tamarackfield.ledger.issued_keys import IssuedKey, IssuedKeyError, issue_key, parse_issued_key
from tamarackfield.ledger.records import Answer, Ledger, LedgerFullError, Record, RecordState, request_fingerprint

__all__ = [
    'Answer',
    'Coverage',
    'IssuedKey',
    'IssuedKeyError',
    'Ledger',
    'LedgerFullError',
    'Proof',
    'ProofResult',
    'Record',
    'RecordState',
    'issue_key',
    'parse_issued_key',
    'request_fingerprint',
]
