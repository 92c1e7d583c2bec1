"""Decides whether this process may send orders and requests to its engine.

The highest fencing number that the engine has seen identifies the process that owns it. A process
claims the engine with a number above all that the engine has seen. Each status that shows no higher
number extends the lease of the process to `LEASE_SECONDS` after the status request; a status that
shows a higher number ends its ownership permanently. A process that claims an engine first waits
until the lease of the previous owner has expired and the requests of that owner have ended.
"""

from dataclasses import dataclass, field

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.sidecar.engine import EngineStatus

#: Gap between two iterations of the event loop above which this process counts as paused.
PAUSE_THRESHOLD_SECONDS = 1.0
#: Time after a status request during which this process may send orders and requests.
LEASE_SECONDS = 2.0


@dataclass(slots=True)
class Ownership:
    """Lease and fencing number of this process; times are monotonic seconds.

    Parameters
    ----------
    fence : int
        Fencing number in the orders of this process.
    fencing : bool
        Whether the engine refuses orders with lower numbers.
    fence_chosen : bool
        Whether this process has chosen its first fencing number.
    claim_pending : bool
        Whether the engine has not confirmed the fencing number yet.
    superseded : bool
        Whether the engine has seen a higher number than that of this process.
    earlier_requests_possible : bool
        Whether the engine may still run requests of an earlier process.
    sole_owner_at : float
        Time at which the lease of any earlier process has expired.
    lease_expires_at : float
        End of the lease of this process.
    last_iteration_at : float
        Time of the last known iteration of the event loop.
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
        """Return whether the lease is valid and this process was not paused."""
        return not self.was_paused(now) and now < self.lease_expires_at

    def was_paused(self, now: float) -> bool:
        """Return whether this process was paused since the last iteration of its event loop."""
        return now - self.last_iteration_at > PAUSE_THRESHOLD_SECONDS

    def renew_lease(self, status: EngineStatus, requested_at: float) -> None:
        """Extend the lease after a status, or end it if another process claimed the engine."""
        if self.fence_chosen and status.highest_fence > self.fence:
            self.superseded = True
        self.fencing = status.fencing
        self.lease_expires_at = 0.0 if self.superseded else requested_at + LEASE_SECONDS

    def claim_incarnation(self, status: EngineStatus, now: float) -> None:
        """Choose a fencing number to claim an incarnation of the engine that this process has not claimed yet."""
        if not self.fence_chosen:
            self.fence_chosen = True
            self.earlier_requests_possible = bool(status.highest_fence or status.running)
            self.sole_owner_at = now + LEASE_SECONDS if self.earlier_requests_possible else now
            self.fence = SYSTEM_CLOCK.unix_ms()
        self.raise_fence(status.highest_fence)

    def raise_fence(self, seen: int = 0) -> None:
        """Choose a higher fencing number, so that earlier orders can no longer take effect."""
        self.fence = max(self.fence, seen) + 1
        self.claim_pending = True

    def confirm_fence(self, fence: int) -> None:
        """Record that the engine confirmed a fencing number."""
        self.claim_pending = fence != self.fence

    def is_sole_owner(self, status: EngineStatus, requested_at: float) -> bool:
        """Return whether a status rules out that the engine still runs requests of an earlier process."""
        if requested_at < self.sole_owner_at or (self.earlier_requests_possible and status.running):
            return False
        self.earlier_requests_possible = False
        return True
