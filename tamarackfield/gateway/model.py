"""What the gateway knows: routes, services, targets and calls."""

from dataclasses import dataclass, field

from tamarackfield.core import Address

HeaderLines = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class BaseModel:
    """A base model that an engine can hold.

    Parameters
    ----------
    name : str
        Of the model.
    weight_mb : float
        Size of its weights, in megabytes.
    adapter_mb : float
        Size of each of its adapters, in megabytes.
    """

    name: str
    weight_mb: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class Engine:
    """What every target of a model service offers.

    Parameters
    ----------
    batch : int
        Requests that run at once.
    adapter_places : int
        Adapters that a target can hold, those on their way included.
    weight_mb : float
        Memory for weights and adapters, in megabytes.
    loads_per_second : float
        Loads of base models that the weight store allows over all targets.
    models : tuple of BaseModel
        Models that requests may name.
    """

    batch: int
    adapter_places: int
    weight_mb: float
    loads_per_second: float
    models: tuple[BaseModel, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """Targets of one kind; ``engine`` is None for a plain service."""

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what may be done with them.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
        Whether answers are event streams.
    resumable : bool
        Whether a broken stream may go on at another target.
    timeout_seconds : float
        Longest time that a request may be kept.
    objective_seconds : float
        Time to the answer, or to the first event, that callers hope for.
    priority : int
        0 is the most urgent.
    max_targets : int
        Most targets that one request may be sent to.
    splits : tuple of pairs
        Services and their weights.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    streaming: bool
    resumable: bool
    timeout_seconds: float
    objective_seconds: float
    priority: int
    max_targets: int
    splits: tuple[tuple[str, float], ...]

    @property
    def may_run_again(self) -> bool:
        """Tell whether a request that may have run can be sent once more from its start."""
        return self.repeatable or (self.streaming and self.resumable)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of callers' requests, in bytes and seconds."""

    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


@dataclass(slots=True)
class TargetRecord:
    """A target as the instance list shows it.

    Parameters
    ----------
    name : str
        Of this target; another life of it may bear the same name.
    service, zone : str
        Of the target.
    address : tuple of str and int
        IP number and port.
    batch : int
        Requests that it runs at once.
    draining : bool
        Whether it has announced that it leaves.
    started_ms : int
        Start of this life, in Unix milliseconds by the target's clock; 0 if it does not say.
    holdings : tuple of str
        What it said that it holds: ``model`` or ``model/adapter@version``.
    """

    name: str
    service: str
    zone: str
    address: Address
    batch: int
    draining: bool
    started_ms: int
    holdings: tuple[str, ...] = ()


@dataclass(slots=True)
class Call:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        As the caller sent it.
    method, target, host : str
        Of the request; the target is the path with its query, unchanged.
    headers : list of pairs of bytes
        Lines that are passed on, in their order.
    body : bytes
        Whole body.
    received_at, deadline : float
        Monotonic seconds, on the clock that counts suspensions.
    model, adapter : str
        Empty for a call to a plain service.
    prompt_tokens : int
        Length of the prompt that the caller stated; 0 if it did not.
    last_event : int
        Last event that the caller has; 0 at the start of a stream.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: HeaderLines
    body: bytes
    received_at: float
    deadline: float
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    last_event: int = 0


@dataclass(slots=True)
class AnswerHead:
    """Start of a target's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of pairs of bytes
        Lines for the caller, without those of one connection.
    request_id : str
        Whose answer it is; empty if it does not say.
    not_run : bool
        Whether the target states that it did not run the request.
    genuine : bool
        Whether it bears the target's mark; a success without it is not an answer.
    event_stream : bool
        Whether the body is a series of events.
    answered_by : str
        Target that answered, if it says so.
    keep_seconds : float
        How long the target keeps the idle connection; 0 if it does not say.
    """

    status: int
    headers: HeaderLines
    request_id: str
    not_run: bool
    genuine: bool
    event_stream: bool
    answered_by: str = ''
    keep_seconds: float = 0.0


@dataclass(slots=True)
class Versions:
    """Newest version of each adapter that operators announced, by ``model/adapter``."""

    newest: dict[str, int] = field(default_factory=dict)

    def announce(self, adapter: str, version: int) -> bool:
        """Take in a version; return whether it is newer than all before."""
        if version <= self.newest.get(adapter, 0):
            return False
        self.newest[adapter] = version
        return True
