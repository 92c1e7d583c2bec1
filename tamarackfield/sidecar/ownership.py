"""Decides whether this process may give its engine orders and work.

The engine's fencing number tells who gives orders. A process claims the engine with a number
above all that the engine saw. Each status that shows no higher number entitles it to act for
`LEASE_SECONDS`; one that shows a higher number ends its work for good. A process that takes an
engine over first lets the lease of the one before it expire, and that one's requests end.
"""

from dataclasses import dataclass, field

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.sidecar.engine import EngineStatus

#: Monotonic gap in seconds after which this process counts as having been paused.
PAUSE_THRESHOLD_SECONDS = 1.0
#: Seconds for which a status of the engine entitles this process to orders and dispatches.
LEASE_SECONDS = 2.0


@dataclass(slots=True)
class Ownership:
    """What this process knows of its right to give orders; times are monotonic seconds.

    Parameters
    ----------
    fence : int
        Fencing number of this process's orders.
    fencing : bool
        Whether the engine refuses lower numbers.
    claimed : bool
        Whether this process ever chose a number.
    claim_wanted : bool
        Whether the number is still to be made known to the engine.
    superseded : bool
        Whether the engine saw a higher number than ours.
    foreign_work : bool
        Whether the engine may still run requests from before this process.
    sole_owner_at : float
        When the lease of another process has expired.
    lease_expires_at : float
        Until when this process may act.
    last_turn_at : float
        When the event loop was last known to run.
    """

    fence: int = 0
    fencing: bool = False
    fence_chosen: bool = False
    claim_pending: bool = False
    superseded: bool = False
    earlier_requests_possible: bool = False
    sole_owner_at: float = 0.0
    lease_expires_at: float = 0.0
    last_iteration_at: float = field(default_factory=SYSTEM_CLOCK.monotonic)

    def has_valid_lease(self, now: float) -> bool:
        """Tell whether the lease holds and this process was not paused."""
        return not self.was_paused(now) and now < self.lease_expires_at

    def was_paused(self, now: float) -> bool:
        """Tell whether this process was paused since its last turn."""
        return now - self.last_iteration_at > PAUSE_THRESHOLD_SECONDS

    def renew_lease(self, status: EngineStatus, requested_at: float) -> None:
        """Extend the lease by a status, or end it if another process claimed the engine."""
        if self.fence_chosen and status.highest_fence > self.fence:
            self.superseded = True
        self.fencing = status.fencing
        self.lease_expires_at = 0.0 if self.superseded else requested_at + LEASE_SECONDS

    def claim_incarnation(self, status: EngineStatus, now: float) -> None:
        """Choose a number for an incarnation of the engine that this process meets."""
        if not self.fence_chosen:
            self.fence_chosen = True
            self.earlier_requests_possible = bool(status.highest_fence or status.running)
            self.sole_owner_at = now + LEASE_SECONDS if self.earlier_requests_possible else now
            self.fence = SYSTEM_CLOCK.unix_ms()
        self.raise_fence(status.highest_fence)

    def raise_fence(self, seen: int = 0) -> None:
        """Choose a higher number, so that earlier orders can take no more effect."""
        self.fence = max(self.fence, seen) + 1
        self.claim_pending = True

    def confirm_fence(self, fence: int) -> None:
        """Note that the engine took in a number."""
        self.claim_pending = fence != self.fence

    def is_sole_owner(self, status: EngineStatus, requested_at: float) -> bool:
        """Tell whether a status rules out that another process's work is under way."""
        if requested_at < self.sole_owner_at or (self.earlier_requests_possible and status.running):
            return False
        self.earlier_requests_possible = False
        return True
