"""Records of the stand-in for workers: the requests that it ran or turned away, and its faults."""

from dataclasses import dataclass

Headers = dict[str, str]


@dataclass(slots=True)
class Run:
    """One request that a worker started.

    ``worker`` and ``incarnation`` are its name and start at that time, ``began_at`` is in monotonic seconds;
    ``announced_leaving`` is whether its answer said that the worker leaves, ``stated_limit`` the limit of requests that
    the worker stated when it began, empty for none; ``sound`` whether the worker, without a
    fault of its own, finished it or found its connection closed by the other side.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    worker: str = ''
    began_at: float = 0.0
    finished: bool = False
    incarnation: int = 0
    announced_leaving: bool = False
    stated_limit: str = ''
    sound: bool = False

    def list_shared_parts(self) -> list[str]:
        """Return the ids of the parts of its prompt but the last."""
        pairs = self.headers.get('tamarackfield-prompt-prefix', '').split(',')[:-1]
        return [pair.partition(':')[0] for pair in pairs]


@dataclass(frozen=True, slots=True)
class Refusal:
    """One request that a worker turned away; ``retry_after`` is empty unless the worker asked for a pause."""

    request_id: str
    at: float
    retry_after: str = ''


@dataclass(slots=True)
class WorkerFault:
    """Fault of a worker in its next requests.

    Parameters
    ----------
    kind : str
        Fault: empty, or ``errors``, ``shed``, ``pause``, ``hang``, ``reset_after_run``, ``extra``, ``unframed``,
        ``unframed_reset``, ``unframed_cut``, ``unframed_crash``, ``garbage``, ``cut``, ``unsigned``, ``encoded``,
        ``endless_head``, ``endless_body``, ``drip``, ``raw``, ``raw_crash``.
        An unframed answer ends with its connection; ``cut`` and ``unframed_cut`` close it in order
        before the answer is complete. With ``unframed_crash`` the worker crashes before the last event.
    remaining_requests : int
        Number of further requests with the fault.
    """

    kind: str = ''
    remaining_requests: int = 0

    def next_fault(self) -> str:
        """Return the fault of the current request, empty for none, and count the request."""
        if self.remaining_requests <= 0:
            return ''
        self.remaining_requests -= 1
        return self.kind
