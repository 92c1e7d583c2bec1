"""Conversion of callers' requests, requests to workers and workers' answers between the platform's headers
and the product's types.
"""

import math
from http import HTTPStatus

from tamarackfield.core.clock import MS_PER_SECOND, SYSTEM_CLOCK
from tamarackfield.gateway.authentication import digest_key
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import CallOptions
from tamarackfield.gateway.model import AnswerHead, Call, HeaderLines, Service
from tamarackfield.platform.headers import (
    LEAVING_HEADER,
    LEAVING_VALUE,
    LIMIT_HEADER,
    REQUEST_ID_HEADER,
    REPORT_PATH,
    RETRY_AFTER_HEADER,
    parse_number,
    parse_request_limit,
    parse_retry_after,
)
from tamarackfield.web import HttpRequest

_REQUEST_ID_LOWER = b'tamarackfield-request-id'
_DEADLINE_HEADER = 'tamarackfield-deadline-ms'
_MODEL_HEADER = 'tamarackfield-model'
_TOKEN_USAGE_HEADER = 'tamarackfield-token-usage'
#: Header with the caller's estimate of the number of answer tokens.
_LENGTH_HINT_HEADER = 'tamarackfield-length-hint'
_LAST_EVENT_HEADER = 'last-event-id'
#: Header with the parts of the prompt in order, as pairs ID:TOKENS separated by commas.
_PROMPT_PARTS_HEADER = 'tamarackfield-prompt-prefix'
#: Limits of the number of parts and of the length of an id; parts beyond them are forwarded, but not compared.
_MAX_PROMPT_PARTS = 64
_MAX_PART_ID_LENGTH = 64
_SIGNATURE_HEADER = b'tamarackfield-server-signature'
#: Header with which a worker states that it did not run the request.
_NOT_EXECUTED_HEADER = b'tamarackfield-not-executed'
#: Header with the caller's API key after `_KEY_SCHEME`; targets get the name of its customer in its place.
_KEY_HEADER = 'authorization'
_KEY_SCHEME = 'bearer'
_CUSTOMER_HEADER = b'Tamarackfield-Tenant'
#: Headers of callers that targets do not get where callers are authenticated.
_REPLACED_HEADERS = frozenset((_KEY_HEADER.encode(), _CUSTOMER_HEADER.lower()))
_INSTANCE_HEADER = b'tamarackfield-instance-id'
_EXPECTATION_HEADER = b'Tamarackfield-Expect-Instance'
#: Largest value of the priority header, which is the least urgent.
_LEAST_URGENT_PRIORITY = 9
#: Headers that apply to one connection only, so that they are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
#: Headers of an answer that are not forwarded; the request id is set again by the entry.
_UNFORWARDED_HEADERS = _HOP_BY_HOP_HEADERS | {_REQUEST_ID_LOWER, LEAVING_HEADER.encode(), LIMIT_HEADER.encode()}
#: Headers of a request to a worker that only the system may set; those of callers are dropped.
_SYSTEM_HEADERS = frozenset(
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
    """Convert a caller's request; malformed headers count as missing.

    Examples
    --------
    >>> request = HttpRequest('GET', '/a/', '', {'host': 'h', 'tamarackfield-deadline-ms': '1500'}, b'', 10.0, 'r')
    >>> read_call(request).deadline
    11.5
    """
    headers = request.headers
    deadline_ms = parse_number(headers.get(_DEADLINE_HEADER, ''))
    model, _, adapter = headers.get(_MODEL_HEADER, '').partition('/')
    # The header has the number of prompt tokens, then the largest number of answer tokens.
    prompt, _, answer = headers.get(_TOKEN_USAGE_HEADER, '').partition(',')
    usage = (parse_number(prompt), parse_number(answer))
    connection_headers = {token.strip().encode().lower() for token in headers.get('connection', '').split(',')}
    dropped_headers = _HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS | connection_headers | {_LAST_EVENT_HEADER.encode()}
    return Call(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        host=headers.get('host', ''),
        headers=[line for line in request.raw_headers if line[0].lower() not in dropped_headers],
        body=request.body,
        received_at=request.received_at,
        deadline=math.inf if deadline_ms is None else request.received_at + deadline_ms / MS_PER_SECOND,
        model=model,
        adapter=adapter,
        prompt_tokens=usage[0] or 0,
        answer_tokens=parse_number(headers.get(_LENGTH_HINT_HEADER, '')) or 0,
        last_event=parse_number(headers.get(_LAST_EVENT_HEADER, '')) or 0,
        prompt_parts=_parse_shared_parts(headers.get(_PROMPT_PARTS_HEADER, '')),
        key_digest=_digest_key(headers.get(_KEY_HEADER, '')),
        usage_tokens=None if None in usage else sum(usage),
    )


def _digest_key(credentials: str) -> bytes:
    """Return the digest of the API key in a header, empty without one."""
    scheme, _, key = credentials.strip().partition(' ')
    if scheme.lower() != _KEY_SCHEME or not key.strip():
        return b''
    return digest_key(key.strip().encode('utf-8', 'surrogateescape'))


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt that requests share: the last part belongs to the request alone."""
    ids = [pair.partition(':')[0].strip() for pair in text.split(',')[:-1]]
    return tuple(part for part in ids[:_MAX_PROMPT_PARTS] if 0 < len(part) <= _MAX_PART_ID_LENGTH)


class WorkerDialect:
    """Headers of requests to workers and of their answers."""

    started_field = 'born'

    def request_headers(
        self, call: Call, target: Target, remaining_seconds: float, options: CallOptions
    ) -> HeaderLines:
        """Return the header lines of a request; any worker other than the expected instance refuses it."""
        header_lines = [
            *_customer_headers(call),
            (b'Tamarackfield-Deadline-Ms', str(max(1, int(remaining_seconds * MS_PER_SECOND))).encode()),
            (_EXPECTATION_HEADER, target.record.name.encode()),
        ]
        if call.model:
            header_lines.append(
                (b'Tamarackfield-Request-Priority', str(min(_LEAST_URGENT_PRIORITY, options.priority)).encode())
            )
        if options.version and call.adapter:
            header_lines.append((b'Tamarackfield-Expect-Version', str(options.version).encode()))
        if options.last_event:
            header_lines.append((b'Last-Event-Id', str(options.last_event).encode()))
        if call.body or call.method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            header_lines.append((b'Content-Length', str(len(call.body)).encode()))
        return header_lines

    def status_call(self, target: Target, service: Service, request_id: str) -> tuple[str, HeaderLines]:
        """Return a call that runs nothing; a model worker answers one for its report without a free slot."""
        path = service.health_path if service.engine is None else REPORT_PATH
        named = [(REQUEST_ID_HEADER.encode(), request_id.encode()), (_EXPECTATION_HEADER, target.record.name.encode())]
        return path, [(b'Host', target.record.address[0].encode()), *named]

    def read_head(self, status: int, headers: HeaderLines) -> AnswerHead:
        """Decode the status and headers of an answer."""
        fields = {name.lower(): text for name, text in headers}
        encoding = fields.get(b'content-encoding', b'identity').lower()
        content_type = fields.get(b'content-type', b'').lower()
        not_run = _NOT_EXECUTED_HEADER in fields or status == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerHead(
            status=status,
            headers=[line for line in headers if line[0].lower() not in _UNFORWARDED_HEADERS],
            request_id=fields.get(_REQUEST_ID_LOWER, b'').decode('latin-1'),
            not_run=not_run,
            genuine=_SIGNATURE_HEADER in fields and encoding == b'identity',
            event_stream=content_type.startswith(b'text/event-stream'),
            answered_by=fields.get(_INSTANCE_HEADER, b'').decode('latin-1'),
            pause_seconds=_read_pause_seconds(status, fields),
            leaving=fields.get(LEAVING_HEADER.encode()) == LEAVING_VALUE.encode(),
            request_limit=parse_request_limit(_join_values(headers, LIMIT_HEADER)),
            keep_alive_seconds=_parse_keep_alive_seconds(fields.get(b'keep-alive', b'')),
        )


def _customer_headers(call: Call) -> HeaderLines:
    """Return the header lines of a caller; where it is authenticated, its customer stands in place of its key."""
    if call.customer is None:
        return call.headers
    kept = [line for line in call.headers if line[0].lower() not in _REPLACED_HEADERS]
    return [*kept, (_CUSTOMER_HEADER, call.customer.encode())] if call.customer else kept


def _join_values(headers: HeaderLines, name: str) -> str:
    """Return the text of a header; the values of repeated ones are joined by commas."""
    return ','.join(text.decode('latin-1') for key, text in headers if key.lower() == name.encode())


def _read_pause_seconds(status: int, fields: dict[bytes, bytes]) -> float:
    """Return for how many seconds a worker that turned a request away wants no more, 0 if it does not say."""
    text = fields.get(RETRY_AFTER_HEADER.encode(), b'')
    if status != HTTPStatus.SERVICE_UNAVAILABLE or not text:
        return 0.0
    return parse_retry_after(text.decode('latin-1'), SYSTEM_CLOCK.unix_ms() / MS_PER_SECOND)


def _parse_keep_alive_seconds(text: bytes) -> float:
    """Return the time-out of a Keep-Alive header in seconds, 0 if it has none."""
    for part in text.decode('latin-1').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout':
            return float(parse_number(seconds) or 0)
    return 0.0
