"""Settings of a gateway entry, decoded and validated by the program that starts it."""

from dataclasses import dataclass

from tamarackfield.core import Address
from tamarackfield.gateway.memory import MemoryLimits
from tamarackfield.policy.store_reads import ReadTimes, find_read_times

#: Upper bound of the time within which changes must be in force, as a share of that after which a removed key runs
#: nothing: two watches and the pause between them take 1.3 times the former, and the proof must not expire meanwhile.
REVOKE_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one entry.

    Parameters
    ----------
    instance, zone : str
        Instance name and availability zone of this process.
    listen : tuple of str and int
        Address on which callers connect.
    ready_listen : tuple of str and int
        Address of the readiness check for the load balancer.
    peer_listen : tuple of str and int, optional
        Address on which other entries query items; None to serve none.
    seeds : tuple of addresses
        Addresses of some other entries.
    manager_port : int
        Port of the sidecar on the machine of a target.
    metrics_port : int
        Port on which metrics are served; 0 to serve none.
    retry_share : float
        Share of a retry that each request adds to the retry budget.
    retry_allowance : float
        Retries beyond that share in one window, over all entries.
    retry_window_seconds : float
        Length of the window of the retry budget.
    leaving_seconds : float
        Time within which a draining target must stop receiving new requests.
    change_seconds : float
        Time within which a changed configuration must be in force.
    recovery_seconds : float
        Time after the end of a disruption from which the other times must be kept again.
    grace_seconds : float
        Grace period between the stop signal and the end of the process.
    max_connections : int
        Limit of concurrent connections of callers.
    memory : MemoryLimits
        Limits of what is held for callers.
    strict_revoke : bool
        Whether an API key is accepted only while the configuration is proven to be current.
    revoke_seconds : float
        Time after the removal of a key from which no request with it may run; 0 unless ``strict_revoke`` is set.
    hedging_share : float
        Hedged requests of a service as a share of its requests; 0 for none.
    """

    instance: str
    zone: str
    listen: Address
    ready_listen: Address
    peer_listen: Address | None
    seeds: tuple[Address, ...]
    manager_port: int
    metrics_port: int
    retry_share: float
    retry_allowance: float
    retry_window_seconds: float
    leaving_seconds: float
    change_seconds: float
    recovery_seconds: float
    grace_seconds: float
    max_connections: int
    memory: MemoryLimits = MemoryLimits()
    strict_revoke: bool = False
    revoke_seconds: float = 0.0
    hedging_share: float = 0.0

    def find_read_times(self) -> ReadTimes:
        """Return the times of the reads of the store by which each of its changes is in force in time."""
        bound_seconds = min(self.leaving_seconds, self.change_seconds, self.recovery_seconds)
        if self.strict_revoke:
            bound_seconds = min(bound_seconds, REVOKE_SHARE * self.revoke_seconds)
        return find_read_times(bound_seconds)
