"""HTTP interface for operators, served by every program."""

import hashlib
import hmac
import urllib.parse
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from tamarackfield.core.errors import RequestError, refusal
from tamarackfield.core.settings import ADDRESS_SCHEMA
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.web import HttpRequest, HttpServer, Responder

#: Schema of the ``operations`` settings.
OPERATIONS_SCHEMA = {
    'type': 'object',
    'required': ['listen'],
    'additionalProperties': False,
    'description': 'HTTP interface for operators',
    'properties': {
        'listen': {**ADDRESS_SCHEMA, 'description': 'address on which operators connect'},
        'token_sha256': {
            'type': 'string',
            'pattern': r'^([0-9a-f]{64})?\Z',
            'default': '',
            'description': 'SHA-256 of the token required for changes; empty refuses all changes',
        },
    },
}
_MAX_SINCE_DIGITS = 15
StatusReader = Callable[[], dict[str, Any]]
Command = Callable[[], Awaitable[dict[str, Any]]]
PageReader = Callable[[dict[str, str]], dict[str, Any]]


class Operations:
    """Serves liveness, readiness, status and audit pages, and runs the commands of operators.

    Parameters
    ----------
    status : callable
        Returns the state of the process as an object that can be encoded in JSON.
    is_ready : callable
        Returns whether the process accepts new requests.
    audit : AuditTrail
        Changes made by this process.
    token_sha256 : str
        SHA-256 of the operators' token; empty refuses all commands.
    """

    def __init__(
        self, status: StatusReader, is_ready: Callable[[], bool], audit: AuditTrail, token_sha256: str
    ) -> None:
        """Create an interface that does not listen yet."""
        self.status = status
        self.is_ready = is_ready
        self.audit = audit
        self.token_sha256 = token_sha256
        self.commands: dict[str, Command] = {}
        self.pages: dict[str, PageReader] = {'/status': lambda _: self.status(), '/audit': self._read_audit_page}
        self.server = HttpServer(self.handle, answer_error)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request of an operator or of the load balancer."""
        if request.method == 'POST':
            await self._run_command(request, responder)
            return
        page = self.pages.get(request.path)
        if page is not None:
            query = dict(urllib.parse.parse_qsl(request.query, errors='replace'))
            await responder.send_json(HTTPStatus.OK, page(query))
        elif not await answer_health(request, responder, self.is_ready):
            raise refusal(f'no page {request.path}', step='operations', code='not_found', status=HTTPStatus.NOT_FOUND)

    def _read_audit_page(self, query: dict[str, str]) -> dict[str, Any]:
        return {'changes': self.audit.changes_since(_parse_since(query.get('since', '0')))}

    async def _run_command(self, request: HttpRequest, responder: Responder) -> None:
        scheme, _, token = request.headers.get('authorization', '').partition(' ')
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        if scheme != 'Bearer' or not hmac.compare_digest(token_hash, self.token_sha256):
            raise refusal(
                'the operators token is missing or wrong',
                step='operations',
                code='forbidden',
                status=HTTPStatus.FORBIDDEN,
            )
        command = self.commands.get(request.path)
        if command is None:
            raise refusal(
                f'no command {request.path}', step='operations', code='not_found', status=HTTPStatus.NOT_FOUND
            )
        await responder.send_json(HTTPStatus.OK, await command())


def _parse_since(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_SINCE_DIGITS:
        raise refusal(f'since={text!r} is not a sequence number', step='operations', code='bad_since')
    return int(text)


async def answer_health(request: HttpRequest, responder: Responder, is_ready: Callable[[], bool]) -> bool:
    """Answer ``/livez`` and ``/readyz``.

    Parameters
    ----------
    request, responder
        Request to answer, and responder for its answer.
    is_ready : callable
        Returns whether the process accepts new requests.

    Returns
    -------
    bool
        False if the request is for another path and was not answered.
    """
    if request.path == '/livez':
        await responder.send_json(HTTPStatus.OK, {'live': True})
        return True
    if request.path == '/readyz':
        ready = is_ready()
        await responder.send_json(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, {'ready': ready})
        return True
    return False


async def answer_error(error: RequestError, responder: Responder) -> None:
    """Answer a failed request with an error in the OpenAI format.

    Parameters
    ----------
    error : RequestError
        Error to send to the caller.
    responder : Responder
        Responder on which nothing has been sent yet.
    """
    headers = (('Retry-After', str(error.retry_after)),) if error.retry_after else ()
    await responder.send_json(error.status, error_document(error), headers)


def error_document(error: RequestError) -> dict[str, Any]:
    """Return an error in the OpenAI format, extended with outcome, step and peer.

    Examples
    --------
    >>> document = error_document(refusal('no such page', step='route', code='not_found', status=HTTPStatus.NOT_FOUND))
    >>> document['error']['code'], document['error']['outcome']
    ('not_found', 'not_run')
    """
    kind = 'invalid_request_error' if error.status < HTTPStatus.INTERNAL_SERVER_ERROR else 'server_error'
    return {
        'error': {
            'message': error.message,
            'type': kind,
            'param': None,
            'code': error.code,
            'outcome': error.outcome.value,
            'step': error.step,
            'peer': error.peer,
            'retry_after': error.retry_after,
        },
    }
