"""Calls that tests and the chaos run make, each judged against what was asked."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.processes import HOST
from tamarackfield.web import ClientError, ClientResponse, open_request

#: Refusals after which `complete_with_retries` gives up, and the pause in seconds after each.
MAX_REFUSALS = 60
REFUSAL_PAUSE = 0.25
_OK = 200
_DATA = 'data: '
_DONE = '[DONE]'
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class Answer:
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was none.
    text : str
        Text of the answer, as far as it came.
    whole : bool
        Whether the answer came with its end marker.
    error : dict
        Error answer or error event; empty if there was none.
    broken : str
        How the connection broke; empty if it did not.
    """

    status: int = 0
    text: str = ''
    whole: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    broken: str = ''

    @property
    def outcome(self) -> str:
        """Outcome that the caller was told, empty if none."""
        return self.error.get('outcome', '')


def expected_text(model: str, tokens: int) -> str:
    """Return what the engine stand-in generates."""
    return ''.join(f'{model}#{index} ' for index in range(tokens))


def is_truthful(answer: Answer, model: str, tokens: int) -> bool:
    """Tell whether an answer is the whole one to its request, or admits that it is not.

    An answer without end marker must say so by an error or a broken connection, and what came of
    it must be the start of the right one.
    """
    expected = expected_text(model, tokens)
    if answer.whole:
        return answer.text == expected
    return expected.startswith(answer.text) and bool(answer.error or answer.broken)


async def complete(  # noqa: WPS211 a call is described by all of these
    port: int,
    model: str,
    tokens: int = 3,
    *,
    stream: bool = False,
    seconds: float = 20.0,
    key: str = 'key-clinic',
    gate: asyncio.Event | None = None,
    prompt: str = 'x',
) -> Answer:
    """Ask an entry for a completion.

    Parameters
    ----------
    port : int
        Of the entry.
    model : str
        Adapter and version.
    tokens : int
        To be generated.
    stream : bool
        Whether the answer is streamed.
    seconds : float
        Until the deadline that is named.
    key : str
        Of the caller.
    gate : asyncio.Event, optional
        The body is not read before this is set.
    prompt : str
        Shows in the engine's witness.

    Returns
    -------
    Answer
        Never raises for what the system does.
    """
    document = {'model': model, 'prompt': prompt, 'max_tokens': tokens, 'stream': stream}
    deadline = SYSTEM_CLOCK.unix_ms() + round(seconds * _MS_PER_SECOND)
    headers = [('Authorization', f'Bearer {key}'), ('X-Deadline-Unix-Ms', str(deadline))]
    body = json.dumps(document).encode()
    answer = Answer()
    try:
        async with open_request((HOST, port), 'POST', '/v1/completions', body, headers) as response:
            if gate is not None:
                await gate.wait()
            await _read(response, answer, stream=stream)
    except ClientError as exc:
        answer.broken = exc.message
    return answer


async def complete_with_retries(port: int, model: str, tokens: int = 3, *, stream: bool = False) -> Answer:
    """Ask for a completion as a caller does that comes back when it was refused as ``not_run``.

    Parameters
    ----------
    port, model, tokens, stream
        As in `complete`.

    Returns
    -------
    Answer
        The first that is not such a refusal, or the last refusal.
    """
    for _ in range(MAX_REFUSALS):
        answer = await complete(port, model, tokens, stream=stream)
        if answer.outcome != 'not_run':
            break
        await asyncio.sleep(REFUSAL_PAUSE)
    return answer


async def _read(response: ClientResponse, answer: Answer, *, stream: bool) -> None:
    answer.status = response.status
    if answer.status == _OK and stream:
        await _read_events(response, answer)
        return
    document = json.loads(await response.read())
    answer.error = document.get('error', {})
    if answer.status == _OK:
        answer.text = document['choices'][0]['text']
        answer.whole = True


async def _read_events(response: ClientResponse, answer: Answer) -> None:
    rest = ''
    async for chunk in response.chunks():
        *events, rest = (rest + chunk.decode()).split('\n\n')
        for event in events:
            _take_event(event.removeprefix(_DATA), answer)


def _take_event(event: str, answer: Answer) -> None:
    if event == _DONE:
        answer.whole = True
        return
    document = json.loads(event)
    answer.error = document.get('error', answer.error)
    answer.text += ''.join(choice['text'] for choice in document.get('choices', ()))
