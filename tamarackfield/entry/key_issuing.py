"""Issues idempotency keys to callers: ``POST /v1/idempotency-keys`` with the name of a service in the body."""

import json
import random
from http import HTTPStatus

from tamarackfield.bundle import Bundle
from tamarackfield.core import RequestError
from tamarackfield.core.errors import refusal
from tamarackfield.entry.calls import authenticate
from tamarackfield.entry.fleet import Fleet
from tamarackfield.ledger import issue_key
from tamarackfield.web import HttpRequest, Responder

KEYS_PATH = '/v1/idempotency-keys'


async def send_issued_key(request: HttpRequest, responder: Responder, bundle: Bundle, fleet: Fleet) -> None:
    """Issue an idempotency key and send it to the caller.

    The home target of the key is a usable target of the service, chosen at random. The key is valid for one call, for
    the at-most-once horizon of the bundle, and only as long as the sidecar of its home target is not restarted.

    Raises
    ------
    RequestError
        If the caller has no grant for the service or no target of the service is usable.
    """
    caller = authenticate(request, bundle)
    name = _read_service_name(request.body)
    service = bundle.services.get(name)
    if service is None or caller.name not in service.grants:
        raise refusal(
            f'{caller.name} may use no service {name!r}',
            step='authorize',
            code='no_grant',
            status=HTTPStatus.FORBIDDEN,
        )
    links = [fleet.links[target.name] for target in bundle.find_service_targets(name) if target.name in fleet.links]
    usable = [link for link in links if link.usable and link.key_epoch is not None]
    if not usable:
        raise RequestError('no target of the service is reachable', step='route', code='no_target', retry_after=1)
    link = random.choice(usable)
    key = issue_key(link.target.name, link.key_epoch.incarnation, link.key_epoch.uptime_ms)
    await responder.send_json(HTTPStatus.CREATED, {'key': str(key), 'valid_seconds': bundle.horizon_seconds})


def _read_service_name(body: bytes) -> str:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    name = document.get('service') if isinstance(document, dict) else None
    if not isinstance(name, str):
        raise refusal('the body is not JSON with the name of a service', step='read_request', code='bad_json')
    return name
