"""Settings of an entry on the direct edge, decoded and checked by whoever starts it."""

from dataclasses import dataclass

from tamarackfield.core import Address


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What one entry needs to know at its start.

    Parameters
    ----------
    instance, zone : str
        Of this process.
    listen : tuple of str and int
        Where callers connect.
    ready_listen : tuple of str and int
        Where the balancer asks whether this entry is ready.
    peer_listen : tuple of str and int, optional
        Where other entries ask for items.
    seeds : tuple of addresses
        Of some other entries.
    manager_port : int
        Port of the sidecar beside a target.
    metrics_port : int
        Where counters are served; 0 for nowhere.
    retry_share : float
        Attempts beyond the first that each request earns.
    retry_allowance : float
        Attempts on top of that in one window, over all entries.
    retry_window_seconds : float
        Length of the window.
    leaving_seconds : float
        Time in which a target that is known to leave must get nothing new.
    grace_seconds : float
        Time between the order to stop and the end of the process.
    max_connections : int
        Connections of callers that are open at once.
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
    grace_seconds: float
    max_connections: int
