"""Completion requests of tests and chaos runs, and the check of their answers."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.processes import HOST
from tamarackfield.web import ClientError, ClientResponse, open_request

#: Attempts of `retry_completion`, and the pause after each refused attempt.
MAX_ATTEMPTS = 60
REFUSAL_PAUSE_SECONDS = 0.25
_OK = 200
_DATA = 'data: '
_DONE = '[DONE]'
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class Answer:
    """Answer that a caller received, in full or in part.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no status was received.
    text : str
        Text that was received.
    is_complete : bool
        Whether the answer was received up to its end marker.
    error : dict
        Error member of the answer or of an event; empty if there was none.
    connection_error : str
        Message of the connection error; empty if there was none.
    """

    status: int = 0
    text: str = ''
    is_complete: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    connection_error: str = ''

    @property
    def outcome(self) -> str:
        """Outcome that the error names, empty if there is none."""
        return self.error.get('outcome', '')


def expected_text(model: str, tokens: int) -> str:
    """Return the text that the engine stand-in generates."""
    return ''.join(f'{model}#{index} ' for index in range(tokens))


def is_correct_answer(answer: Answer, model: str, tokens: int) -> bool:
    """Return whether an answer is complete and correct, or a correct prefix with a reported failure.

    An answer without end marker must report an error or end in a connection error, and the text
    received must be a prefix of the expected text.
    """
    expected = expected_text(model, tokens)
    if answer.is_complete:
        return answer.text == expected
    return expected.startswith(answer.text) and bool(answer.error or answer.connection_error)


async def request_completion(  # noqa: WPS211 each parameter describes the request
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
    """Request a completion from an entry.

    Parameters
    ----------
    port : int
        Port of the entry on this machine.
    model : str
        Adapter and version, ``name@version``.
    tokens : int
        Number of tokens to generate.
    stream : bool
        Whether the answer is streamed.
    seconds : float
        Time from now to the deadline in the request header.
    key : str
        API key of the caller.
    gate : asyncio.Event, optional
        Event that must be set before the body is read.
    prompt : str
        Prompt, which the control page of the engine lists once it ran.

    Returns
    -------
    Answer
        Answer; failures of the system are recorded in it, not raised.
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
            await _read_answer(response, answer, stream=stream)
    except ClientError as exc:
        answer.connection_error = exc.message
    return answer


async def retry_completion(port: int, model: str, tokens: int = 3, *, stream: bool = False) -> Answer:
    """Request a completion, with retries after refusals whose outcome is ``not_run``.

    Parameters
    ----------
    port, model, tokens, stream
        As in `request_completion`.

    Returns
    -------
    Answer
        First answer that is not such a refusal, or the last refusal.
    """
    for _ in range(MAX_ATTEMPTS):
        answer = await request_completion(port, model, tokens, stream=stream)
        if answer.outcome != 'not_run':
            break
        await asyncio.sleep(REFUSAL_PAUSE_SECONDS)
    return answer


async def _read_answer(response: ClientResponse, answer: Answer, *, stream: bool) -> None:
    answer.status = response.status
    if answer.status == _OK and stream:
        await _read_events(response, answer)
        return
    document = json.loads(await response.read())
    answer.error = document.get('error', {})
    if answer.status == _OK:
        answer.text = document['choices'][0]['text']
        answer.is_complete = True


async def _read_events(response: ClientResponse, answer: Answer) -> None:
    remainder = ''
    async for chunk in response.chunks():
        *events, remainder = (remainder + chunk.decode()).split('\n\n')
        for event in events:
            _add_event(event.removeprefix(_DATA), answer)


def _add_event(event: str, answer: Answer) -> None:
    if event == _DONE:
        answer.is_complete = True
        return
    document = json.loads(event)
    answer.error = document.get('error', answer.error)
    answer.text += ''.join(choice['text'] for choice in document.get('choices', ()))
