"""Validates a caller's request against the bundle: authentication, name resolution, authorization and deadline."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from tamarackfield.bundle import AdapterEntry, Bundle, CallerEntry
from tamarackfield.core import SYSTEM_CLOCK, AdapterRef, RequestError, deadline_from_unix_ms, parse_adapter_ref
from tamarackfield.core.errors import refusal
from tamarackfield.core.ids import AdapterRefError
from tamarackfield.entry.home_targets import find_home_target
from tamarackfield.entry.parameters import check_parameters, read_json
from tamarackfield.web import HttpRequest

#: Time-out of a request whose caller sends no deadline.
DEFAULT_TIMEOUT_SECONDS = 60.0
#: Later deadlines of callers are reduced to this time after the arrival of the request.
MAX_TIMEOUT_SECONDS = 600.0
#: Header with the caller's absolute deadline in Unix milliseconds.
DEADLINE_HEADER = 'x-deadline-unix-ms'
SERVICES_PREFIX = '/services/'
COMPLETION_PATHS = ('/v1/chat/completions', '/v1/completions')
_MAX_KEY_CHARACTERS = 256
_MAX_DEADLINE_DIGITS = 15
_FORWARDED_HEADERS = ('content-type', 'accept')
_SERVICE_METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'))


def discard_step(step: str, **details: Any) -> None:
    """Discard a step of a call for which no record is kept."""


@dataclass(frozen=True, slots=True)
class Call:
    """A validated and authorized request that can be sent to a target.

    Parameters
    ----------
    caller : str
        Name of the caller.
    adapter : AdapterRef or None
        Adapter and version; None for a call to a plain service.
    priority : int
        Priority from the caller's grant.
    deadline : float
        Deadline on the monotonic clock, in seconds.
    idempotency_key : str
        Key sent by the caller; empty if the call is idempotent and may be retried.
    targets : tuple of TargetEntry
        Targets that may run the call.
    method, path, headers, body
        Parts of the HTTP request that the sidecar sends to the target.
    stream : bool
        Whether the answer is a stream of server-sent events.
    record_step : callable
        Called with a step and its details, for ``tamarackfield explain``.
    """

    caller: str
    adapter: AdapterRef | None
    priority: int
    deadline: float
    idempotency_key: str
    targets: tuple[Any, ...]
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    record_step: Callable[..., None] = discard_step


def authenticate(request: HttpRequest, bundle: Bundle) -> CallerEntry:
    """Return the caller to whom the API key of a request belongs.

    Raises
    ------
    RequestError
        If the API key is missing or unknown.
    """
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    caller = bundle.find_caller(key.strip()) if scheme.lower() == 'bearer' else None
    if caller is None:
        raise refusal(
            'the API key is missing or unknown',
            step='authenticate',
            code='invalid_api_key',
            status=HTTPStatus.UNAUTHORIZED,
        )
    return caller


def read_completion(request: HttpRequest, bundle: Bundle) -> Call:
    """Validate and authorize a completion request.

    Parameters
    ----------
    request : HttpRequest
        Request as received.
    bundle : Bundle
        Bundle in force.

    Returns
    -------
    Call
        Call that can be routed.

    Raises
    ------
    RequestError
        With outcome ``not_run`` if it is malformed or not allowed.
    """
    caller = authenticate(request, bundle)
    document = read_json(request.body)
    adapter = _read_adapter(document)
    check_parameters(document, request.path)
    entry, model = resolve_adapter(bundle, adapter, caller.name)
    return Call(
        caller=caller.name,
        adapter=adapter,
        priority=entry.grants[caller.name],
        deadline=read_deadline(request),
        idempotency_key='',
        targets=bundle.find_engines(model, entry.regions),
        method='POST',
        path=request.path,
        headers=(('content-type', 'application/json'),),
        body=request.body,
        stream=document.get('stream') is True,
    )


def resolve_adapter(bundle: Bundle, adapter: AdapterRef, caller: str) -> tuple[AdapterEntry, str]:
    """Return the bundle entry of an adapter and the base model of the requested version.

    Parameters
    ----------
    bundle : Bundle
        Bundle in force.
    adapter : AdapterRef
        Adapter and version named in the request.
    caller : str
        Name of the caller.

    Returns
    -------
    tuple
        Entry of the adapter in the bundle and name of the base model.

    Raises
    ------
    RequestError
        If the version is unknown or the caller has no grant for the adapter.
    """
    entry = bundle.adapters.get(adapter.name)
    model = bundle.find_base_model(adapter)
    if entry is None or model is None:
        raise refusal(
            f'no adapter {adapter} is known', step='resolve', code='model_not_found', status=HTTPStatus.NOT_FOUND
        )
    if caller not in entry.grants:
        raise refusal(
            f'{caller} may not use {adapter.name}', step='authorize', code='no_grant', status=HTTPStatus.FORBIDDEN
        )
    return entry, model


def read_service_call(request: HttpRequest, bundle: Bundle) -> Call:
    """Validate and authorize a call to a plain service, ``/services/NAME/PATH``.

    Parameters
    ----------
    request : HttpRequest
        Request as received.
    bundle : Bundle
        Bundle in force.

    Returns
    -------
    Call
        Call that can be routed; a non-idempotent call has one target at most, the home target of its
        idempotency key.

    Raises
    ------
    RequestError
        With outcome ``not_run`` if it is malformed or not allowed.
    """
    caller = authenticate(request, bundle)
    _check_method(request.method)
    name, _, service_path = request.path.removeprefix(SERVICES_PREFIX).partition('/')
    path = f'/{service_path}'
    service = bundle.services.get(name)
    if service is None:
        raise refusal(
            f'no service {name!r} is known', step='resolve', code='service_not_found', status=HTTPStatus.NOT_FOUND
        )
    if caller.name not in service.grants:
        raise refusal(
            f'{caller.name} may not use {name}', step='authorize', code='no_grant', status=HTTPStatus.FORBIDDEN
        )
    key = request.headers.get('idempotency-key', '')
    targets = tuple(bundle.find_service_targets(name))
    if service.is_idempotent(request.method, path):
        key = ''
    else:
        _check_idempotency_key(key)
        home_target = find_home_target(caller.name, key, [target.name for target in targets])
        targets = tuple(target for target in targets if target.name == home_target)
    headers = _forwarded_headers(request)
    if key:
        headers.append(('idempotency-key', f'{caller.name}|{key}'))
    return Call(
        caller=caller.name,
        adapter=None,
        priority=service.grants[caller.name],
        deadline=read_deadline(request),
        idempotency_key=key,
        targets=targets,
        method=request.method,
        path=f'{path}?{request.query}' if request.query else path,
        headers=tuple(headers),
        body=request.body,
        stream=False,
    )


def read_deadline(request: HttpRequest) -> float:
    """Return the deadline of a request on the monotonic clock, at most `MAX_TIMEOUT_SECONDS` after its arrival.

    Raises
    ------
    RequestError
        If the header is not a decimal number of milliseconds or the deadline has already passed.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return request.received_at + DEFAULT_TIMEOUT_SECONDS
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DEADLINE_DIGITS:
        raise refusal(f'{DEADLINE_HEADER} is not Unix milliseconds', step='read_request', code='bad_deadline')
    deadline = deadline_from_unix_ms(int(text))
    if deadline <= SYSTEM_CLOCK.monotonic():
        raise RequestError(
            'the deadline has passed already',
            step='read_request',
            status=HTTPStatus.GATEWAY_TIMEOUT,
            code='deadline_passed',
        )
    return min(deadline, request.received_at + MAX_TIMEOUT_SECONDS)


def _read_adapter(document: dict[str, Any]) -> AdapterRef:
    model = document.get('model')
    if not isinstance(model, str):
        raise refusal('model is missing; use name@version', step='resolve', code='bad_model')
    try:
        return parse_adapter_ref(model)
    except AdapterRefError as exc:
        raise refusal(exc.message, step='resolve', code='bad_model') from None


def _check_method(method: str) -> None:
    if method not in _SERVICE_METHODS:
        raise refusal(
            f'method {method} is not passed on',
            step='read_request',
            code='bad_method',
            status=HTTPStatus.METHOD_NOT_ALLOWED,
        )


def _forwarded_headers(request: HttpRequest) -> list[tuple[str, str]]:
    forwarded = [(name, request.headers[name]) for name in _FORWARDED_HEADERS if name in request.headers]
    for name, text in forwarded:
        if not text.isascii():
            raise refusal(f'header {name} is not ASCII', step='read_request', code='bad_header')
    return forwarded


def _check_idempotency_key(key: str) -> None:
    if not key:
        raise refusal('this call needs an Idempotency-Key', step='read_request', code='idempotency_key_missing')
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable() or not key.isascii():
        raise refusal('the Idempotency-Key is too long or not printable ASCII', step='read_request', code='bad_key')
