"""Logs, metrics, the audit trail and the operators' interface."""

from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.logs import configure_logs
from tamarackfield.observe.metrics import METRICS, Metrics, send_gauges
from tamarackfield.observe.operations import Operations, answer_error, answer_health, error_document
from tamarackfield.observe.program import run_program
from tamarackfield.observe.settings import program_schema

__all__ = [
    'METRICS',
    'AuditTrail',
    'Metrics',
    'Operations',
    'answer_error',
    'answer_health',
    'configure_logs',
    'error_document',
    'program_schema',
    'run_program',
    'send_gauges',
]
