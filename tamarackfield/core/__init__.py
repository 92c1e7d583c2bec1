"""Identifiers, clocks, outcomes, typed errors, settings and the application object."""

from tamarackfield.core.application import Application
from tamarackfield.core.clock import BOOT_CLOCK, SYSTEM_CLOCK, Clock, deadline_from_unix_ms, unix_ms_from_deadline
from tamarackfield.core.connections import ConnectionServer, cancel_and_wait
from tamarackfield.core.errors import RequestError, TamarackfieldError
from tamarackfield.core.ids import AdapterRef, new_incarnation, parse_adapter_ref
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.problems import Address, Problem, format_problems, json_path, split_address

__all__ = [
    'BOOT_CLOCK',
    'SYSTEM_CLOCK',
    'AdapterRef',
    'Address',
    'Application',
    'Clock',
    'ConnectionServer',
    'Outcome',
    'Problem',
    'RequestError',
    'TamarackfieldError',
    'cancel_and_wait',
    'deadline_from_unix_ms',
    'format_problems',
    'json_path',
    'new_incarnation',
    'parse_adapter_ref',
    'split_address',
    'unix_ms_from_deadline',
]
