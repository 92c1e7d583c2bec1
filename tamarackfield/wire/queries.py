"""Queries that entries send each other, each on a connection of its own."""

from tamarackfield.wire.crash_reports import AskCrashes
from tamarackfield.wire.freshness import AskFreshness
from tamarackfield.wire.known_entries import AskEntries, KnownEntries
from tamarackfield.wire.quotas import AskTokens
from tamarackfield.wire.request_limits import AskPermit
from tamarackfield.wire.reservations import AskBeliefs, AskItems, Beliefs, Items

__all__ = (
    'AskBeliefs',
    'AskCrashes',
    'AskEntries',
    'AskFreshness',
    'AskItems',
    'AskPermit',
    'AskTokens',
    'Beliefs',
    'Items',
    'KnownEntries',
)
