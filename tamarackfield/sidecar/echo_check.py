"""Checks that the answer of an engine names the requested adapter and version."""

import json
from collections.abc import Iterator
from http import HTTPStatus

from tamarackfield.core.errors import RequestError
from tamarackfield.core.outcome import Outcome

#: Content of the event that ends a complete stream.
END_MARKER = b'[DONE]'
_DATA = b'data:'
_EVENT_END = b'\n\n'
_MAX_EVENT_BYTES = 262_144


def check_echo(encoded: bytes, adapter: str, peer: str) -> None:
    """Raise an error unless a JSON answer names the adapter and version.

    Parameters
    ----------
    encoded : bytes
        Answer, or one event of a stream, in JSON.
    adapter : str
        Requested ``name@version``.
    peer : str
        Name of the engine.

    Raises
    ------
    RequestError
        With outcome ``failed`` if the answer names another adapter or none.
    """
    try:
        echoed = json.loads(encoded)['model']
    except (ValueError, KeyError, TypeError):
        echoed = None
    if echoed != adapter:
        raise RequestError(
            f'the engine answered for {echoed!r} in place of {adapter!r}',
            step='check_echo',
            peer=peer,
            outcome=Outcome.FAILED,
            status=HTTPStatus.BAD_GATEWAY,
            code='echo_mismatch',
        )


class CheckedEventStream:
    """Splits a stream of server-sent events into events and checks each.

    Parameters
    ----------
    adapter : str
        ``name@version`` that each event must name.
    peer : str
        Name of the engine.
    """

    def __init__(self, adapter: str, peer: str) -> None:
        """Create a stream with an empty buffer."""
        self.adapter = adapter
        self.peer = peer
        self.buffer = b''
        self.done = False
        self.event_count = 0

    def drop_partial(self) -> None:
        """Discard the start of an event that was received incompletely."""
        self.buffer = b''

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each complete event after its check, as bytes to be forwarded.

        Raises
        ------
        RequestError
            If an event names another adapter or is too large.
        """
        self.buffer += chunk
        *events, remainder = self.buffer.split(_EVENT_END)
        self.buffer = remainder
        if len(self.buffer) > _MAX_EVENT_BYTES:
            raise RequestError(
                'an event of the engine is too large',
                step='check_echo',
                peer=self.peer,
                outcome=Outcome.FAILED,
                status=HTTPStatus.BAD_GATEWAY,
                code='bad_answer',
            )
        for event in events:
            content = event.removeprefix(_DATA).strip()
            if content == END_MARKER:
                self.done = True
            else:
                check_echo(content, self.adapter, self.peer)
                self.event_count += 1
            yield event + _EVENT_END
