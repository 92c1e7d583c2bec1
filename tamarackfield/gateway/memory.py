"""Division of the memory of a machine among what an entry holds for its callers."""

from dataclasses import dataclass

from tamarackfield.web.answer_budget import DEFAULT_ANSWER_BYTES
from tamarackfield.web.limits import DEFAULT_LIMITS

#: Bytes of a megabyte in the settings; the smaller of the two usual meanings keeps within both.
BYTES_PER_MB = 1_000_000
#: Least memory of a machine: 45 MB for the process at rest, 30 MB for the request bodies and answers of two callers at
#: the limits, and a margin.
MIN_MEMORY_MB = 96
#: Share of the memory for answers on their way to callers. Each byte is held once.
ANSWER_SHARE = 0.25
#: Share of the memory for bodies of requests. Each byte is held twice while a body is read.
BODY_SHARE = 0.125
#: Bytes of an answer that a connection buffers before its source is throttled: 16 MB for the 1,000 callers of the
#: smallest machine.
WRITE_BUFFER_BYTES = 16_384
#: Send queue of a connection in the kernel, which doubles it: a caller 50 ms away can read 5 MB a second.
SEND_QUEUE_BYTES = 131_072


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of what an entry holds.

    Parameters
    ----------
    answer_bytes : int
        Limit of the bytes of answers on their way to callers.
    body_bytes : int
        Limit of the bytes of request bodies.
    write_buffer_bytes, send_queue_bytes : int
        What a connection buffers, as in `HttpLimits`.
    """

    answer_bytes: int = DEFAULT_ANSWER_BYTES
    body_bytes: int = DEFAULT_LIMITS.max_buffered_bytes
    write_buffer_bytes: int = 0
    send_queue_bytes: int = 0


def divide_memory(memory_mb: float) -> MemoryLimits:
    """Return the limits that follow from the memory of the machine.

    Raises
    ------
    ValueError
        If the memory is less than an entry needs.

    Examples
    --------
    >>> divide_memory(160).answer_bytes, divide_memory(160).body_bytes
    (40000000, 20000000)
    """
    if isinstance(memory_mb, bool) or not memory_mb >= MIN_MEMORY_MB:
        raise ValueError(f'{memory_mb!r} is less than {MIN_MEMORY_MB}, which an entry needs')
    memory_bytes = memory_mb * BYTES_PER_MB
    return MemoryLimits(
        answer_bytes=int(memory_bytes * ANSWER_SHARE),
        body_bytes=int(memory_bytes * BODY_SHARE),
        write_buffer_bytes=WRITE_BUFFER_BYTES,
        send_queue_bytes=SEND_QUEUE_BYTES,
    )
