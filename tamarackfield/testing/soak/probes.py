"""Probes of the configuration that an entry has in force."""

from dataclasses import dataclass


@dataclass(slots=True)
class Probe:
    """Answer of an entry on a route that was added by a version of the configuration."""

    request_id: str
    entry: str
    process_id: int
    version: int
    sent_at: float
    ended_at: float
    status: int
