"""Data model of the gateway: routes, services, targets and calls."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackfield.core import Address
from tamarackfield.policy.fingerprints import make_fingerprint

#: Longest pause between two events of a stream, in seconds, if the configuration states none.
DEFAULT_PAUSE_SECONDS = 0.3
#: Headers by which callers identify themselves, in lower case.
_CREDENTIAL_HEADERS = frozenset((b'authorization', b'cookie', b'x-api-key'))

HeaderLines = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class BaseModel:
    """Base model that an engine can load.

    Parameters
    ----------
    name : str
        Name of the model.
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
    """Models and capacity of the inference engine that runs on every target of a model service.

    Parameters
    ----------
    batch : int
        Largest number of requests that run concurrently.
    adapter_places : int
        Largest number of adapters that a target can hold, those being loaded included.
    weight_mb : float
        Memory for weights and adapters, in megabytes.
    loads_per_second : float
        Rate of base model loads that the weight store allows over all targets.
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
    """Group of interchangeable targets.

    ``engine`` is None for a plain service, set for a model service; ``health_path`` is the path at which its targets
    answer whether they are healthy, empty if the configuration names none.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    health_path: str = ''


@dataclass(frozen=True, slots=True)
class Route:
    """Services for the requests of one host and path prefix, with their retry and time limits.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, host and path prefix that it matches; the prefix begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
        Whether answers are event streams.
    resumable : bool
        Whether a broken stream may be resumed at another target.
    timeout_seconds : float
        Longest time from the arrival of a request to the end of its answer.
    objective_seconds : float
        Latency objective: time to the answer, or to the first event of a stream.
    priority : int
        0 is the most urgent.
    max_targets : int
        Largest number of targets to which one request may be sent.
    splits : tuple of pairs
        Services and their weights.
    pause_seconds : float
        Longest pause between two events of a stream for which it is still on time.
    public : bool
        Whether requests need no API key where customers are configured.
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
    pause_seconds: float = DEFAULT_PAUSE_SECONDS
    public: bool = False

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that may have run can be sent once more from its start."""
        return self.repeatable or (self.streaming and self.resumable)


@dataclass(frozen=True, slots=True)
class Quota:
    """Work that a customer may request, over all entries together.

    Parameters
    ----------
    counts_tokens : bool
        Whether rate and burst count tokens; they count requests otherwise.
    plain_tokens : int
        Tokens that a request counts for which states no token usage.
    per_second, burst : float
        Refill rate and capacity of the token bucket, in tokens or requests; a rate of 0 sets no limit.
    """

    counts_tokens: bool
    plain_tokens: int
    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer whose requests carry one of its API keys.

    Parameters
    ----------
    name : str
        Name that targets are given.
    key_digests : frozenset of bytes
        SHA-256 digests of its API keys.
    priority : int or None
        Precedes the priority of the route; None if the customer has none of its own.
    quota : Quota or None
        None if its requests are not limited.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of callers' requests.

    Parameters
    ----------
    body_bytes : int
        Largest request body.
    header_seconds : float
        Time-out for receiving the header lines of a request.
    idle_seconds : float
        Idle time-out of callers' connections.
    """

    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration; ``customers``, by name, is None if requests are not authenticated."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    customers: dict[str, Customer] | None = None


@dataclass(slots=True)
class TargetRecord:
    """Target as described by the instance list.

    Parameters
    ----------
    name : str
        Name of the target; another incarnation may have the same name.
    service, zone : str
        Service and availability zone of the target.
    address : tuple of str and int
        IP address and port.
    batch : int
        Largest number of requests that it runs concurrently.
    draining : bool
        Whether it announced that it is shutting down.
    started_ms : int
        Start of this incarnation, in Unix milliseconds by the target's clock; 0 if not stated.
    holdings : tuple of str
        Models and adapters that it reported as resident: ``model`` or ``model/adapter@version``.
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
    """Request of a caller.

    Parameters
    ----------
    request_id : str
        Request id that the caller sent.
    method, target, host : str
        Method, request target and host of the request; the target is the path with its query, unchanged.
    headers : list of pairs of bytes
        Header lines that are forwarded, in their order.
    body : bytes
        Complete body.
    received_at, deadline : float
        Monotonic seconds, on the clock that includes the time for which the machine was suspended.
    model, adapter : str
        Names of the model and the adapter; empty for a call to a plain service.
    prompt_tokens : int
        Length of the prompt in tokens, as stated by the caller; 0 if not stated.
    answer_tokens : int
        Length of the answer in tokens, as estimated by the caller; 0 if not stated.
    last_event : int
        Number of the last event that the caller received; 0 at the start of a stream.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may have as well, in their order.
    fingerprint : str
        What `identify` returned; empty before.
    key_digest : bytes
        SHA-256 digest of the API key that the caller sent; empty without one.
    usage_tokens : int or None
        Tokens of the prompt and the longest answer together, as stated by the caller; None if not stated.
    customer : str or None
        Name of the customer; empty for a public request without a known key, None if requests are not authenticated.
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
    answer_tokens: int = 0
    last_event: int = 0
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ''
    key_digest: bytes = b''
    usage_tokens: int | None = None
    customer: str | None = None

    def identify(self) -> str:
        """Return the fingerprint of the request, equal for requests of one caller that ask for the same.

        Header lines other than those that identify the caller differ between attempts and are not compared.

        Examples
        --------
        >>> from tamarackfield.gateway.tests.samples import make_call
        >>> make_call('r1').identify() == make_call('r2').identify()
        True
        >>> make_call(body=b'1').identify() == make_call(body=b'2').identify()
        False
        >>> make_call(prompt_parts=('a',)).identify() == make_call(prompt_parts=('a', 'b')).identify()
        False
        """
        if not self.fingerprint:
            names = (self.method, self.host.lower(), self.target, self.model, self.adapter, ','.join(self.prompt_parts))
            self.fingerprint = make_fingerprint(
                (*(name.encode() for name in names), *self._list_credentials(), self.body)
            )
        return self.fingerprint

    def _list_credentials(self) -> Iterable[bytes]:
        """Return what identifies the caller: the name of its customer, or else the header lines with credentials."""
        if self.customer:
            return (b'customer', self.customer.encode())
        credentials = sorted((name.lower(), text) for name, text in self.headers if name.lower() in _CREDENTIAL_HEADERS)
        return itertools.chain.from_iterable(credentials)


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of a target's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of pairs of bytes
        Header lines for the caller, without hop-by-hop headers.
    request_id : str
        Id of the request that it answers; empty if not stated.
    not_run : bool
        Whether the target states that it did not run the request.
    genuine : bool
        Whether it carries the header that marks answers of targets; a success without it is treated as an
        attempt that may have run.
    event_stream : bool
        Whether the body is an event stream.
    answered_by : str
        Name of the target that answered; empty if not stated.
    keep_alive_seconds : float
        Idle time-out of the connection at the target, in seconds; 0 if not stated.
    leaving : bool
        Whether the target states that it leaves.
    pause_seconds : float
        Time for which a target that turned the request away wants no more, in seconds; 0 if not stated.
    request_limit : float or None
        Requests a second that the target takes from all entries together; None if not stated.
    """

    status: int
    headers: HeaderLines
    request_id: str
    not_run: bool
    genuine: bool
    event_stream: bool
    answered_by: str = ''
    keep_alive_seconds: float = 0.0
    leaving: bool = False
    pause_seconds: float = 0.0
    request_limit: float | None = None


@dataclass(slots=True)
class Versions:
    """Newest version of each adapter that operators announced, by ``model/adapter``; ``changes`` counts them."""

    newest: dict[str, int] = field(default_factory=dict)
    changes: int = 0

    def record_version(self, adapter: str, version: int) -> bool:
        """Record an announced version; return whether it is newer than all earlier ones."""
        if version <= self.newest.get(adapter, 0):
            return False
        self.newest[adapter] = version
        self.changes += 1
        return True
