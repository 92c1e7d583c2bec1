"""Headers of clients' requests and of workers' answers, as the product's calls and answers."""

import math
from http import HTTPStatus

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import CallOptions
from tamarackfield.gateway.model import AnswerHead, Call, HeaderLines
from tamarackfield.web import HttpRequest

#: Carries the id of one attempt of a client, both ways.
REQUEST_ID = 'Tamarackfield-Request-Id'
_REQUEST_ID_KEY = b'tamarackfield-request-id'
_DEADLINE = 'tamarackfield-deadline-ms'
_MODEL = 'tamarackfield-model'
_TOKENS = 'tamarackfield-token-usage'
_LAST_EVENT = 'last-event-id'
_SIGNATURE = b'tamarackfield-server-signature'
#: The worker states that it did not run the request.
_NOT_EXECUTED = b'tamarackfield-not-executed'
_INSTANCE = b'tamarackfield-instance-id'
#: Highest number of a priority header, the least urgent.
_LEAST_URGENT = 9
_MAX_DIGITS = 15
#: Headers that concern one connection only.
_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'http2-settings',
    )
)
#: Headers of an answer that are not passed on; the id is set anew.
_NOT_FOR_CLIENTS = _HOP | {_REQUEST_ID_KEY}
#: Headers that only the system may set on a request to a worker.
_OURS = frozenset(
    (
        b'tamarackfield-deadline-ms',
        b'tamarackfield-expect-instance',
        b'tamarackfield-expect-version',
        b'tamarackfield-request-priority',
        b'tamarackfield-pin-ms',
        b'tamarackfield-hold',
        b'tamarackfield-kv-backup',
        b'tamarackfield-kv-from',
        b'tamarackfield-kv-fetch',
        b'kv-from',
        b'kv-fetch',
        b'kv-backup',
        b'wait-ms',
    )
)


def read_call(request: HttpRequest) -> Call:
    """Read a client's request; what it states wrongly counts as not stated.

    Examples
    --------
    >>> request = HttpRequest('GET', '/a/', '', {'host': 'h', 'tamarackfield-deadline-ms': '1500'}, b'', 10.0, 'r')
    >>> read_call(request).deadline
    11.5
    """
    headers = request.headers
    deadline_ms = _read_number(headers.get(_DEADLINE, ''))
    model, _, adapter = headers.get(_MODEL, '').partition('/')
    # Tokens of the prompt, then those of the answer.
    prompt = headers.get(_TOKENS, '').partition(',')[0]
    named = {token.strip().encode().lower() for token in headers.get('connection', '').split(',')}
    dropped = _HOP | _OURS | named | {_LAST_EVENT.encode()}
    return Call(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        host=headers.get('host', ''),
        headers=[line for line in request.raw_headers if line[0].lower() not in dropped],
        body=request.body,
        received_at=request.received_at,
        deadline=math.inf if deadline_ms is None else request.received_at + deadline_ms / MS_PER_SECOND,
        model=model,
        adapter=adapter,
        prompt_tokens=_read_number(prompt) or 0,
        last_event=_read_number(headers.get(_LAST_EVENT, '')) or 0,
    )


class WorkerDialect:
    """Requests to workers and the heads of their answers."""

    def request_headers(
        self, call: Call, target: Target, remaining_seconds: float, options: CallOptions
    ) -> HeaderLines:
        """Return the header lines of a request; a worker other than the one that is meant refuses it."""
        lines = [
            *call.headers,
            (b'Tamarackfield-Deadline-Ms', str(max(1, int(remaining_seconds * MS_PER_SECOND))).encode()),
            (b'Tamarackfield-Expect-Instance', target.record.name.encode()),
        ]
        if call.model:
            lines.append((b'Tamarackfield-Request-Priority', str(min(_LEAST_URGENT, options.priority)).encode()))
        if options.version and call.adapter:
            lines.append((b'Tamarackfield-Expect-Version', str(options.version).encode()))
        if options.last_event:
            lines.append((b'Last-Event-Id', str(options.last_event).encode()))
        if call.body or call.method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            lines.append((b'Content-Length', str(len(call.body)).encode()))
        return lines

    def read_head(self, status: int, headers: HeaderLines) -> AnswerHead:
        """Read the head of an answer."""
        known = {name.lower(): text for name, text in headers}
        encoding = known.get(b'content-encoding', b'identity').lower()
        content_type = known.get(b'content-type', b'').lower()
        refused = _NOT_EXECUTED in known or status == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerHead(
            status=status,
            headers=[line for line in headers if line[0].lower() not in _NOT_FOR_CLIENTS],
            request_id=known.get(_REQUEST_ID_KEY, b'').decode('latin-1'),
            not_run=refused,
            genuine=_SIGNATURE in known and encoding == b'identity',
            event_stream=content_type.startswith(b'text/event-stream'),
            answered_by=known.get(_INSTANCE, b'').decode('latin-1'),
            keep_alive_seconds=_read_keep(known.get(b'keep-alive', b'')),
        )


def _read_number(text: str) -> int | None:
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit() or len(stripped) > _MAX_DIGITS:
        return None
    return int(stripped)


def _read_keep(text: bytes) -> float:
    """Return the seconds of a Keep-Alive header, 0 if it names none."""
    for part in text.decode('latin-1').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout':
            return float(_read_number(seconds) or 0)
    return 0.0
