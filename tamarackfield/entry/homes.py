"""Homes of idempotency keys as an entry sees them, and what it may say of a key that it did not send."""

from collections.abc import Iterable
from http import HTTPStatus

from tamarackfield.core.errors import RequestError, refusal
from tamarackfield.core.outcome import Outcome
from tamarackfield.ledger import IssuedKeyError, parse_issued_key
from tamarackfield.policy.placement import owner_target
from tamarackfield.web import HttpRequest

KEY_HEADER = 'idempotency-key'
#: Steps of an entry before the home is asked.
_ENTRY_STEPS = frozenset(('read_request', 'resolve', 'route', 'submit'))


def home_of_key(caller: str, key: str, targets: Iterable[str]) -> str | None:
    """Return the only target at which a key may run.

    Parameters
    ----------
    caller : str
        Who uses the key.
    key : str
        As the caller sent it.
    targets : iterable of str
        All targets of the service.

    Returns
    -------
    str or None
        None if there is no target.

    Raises
    ------
    RequestError
        With outcome ``not_run`` if the key looks like an issued one and is none.
    """
    try:
        issued = parse_issued_key(key)
    except IssuedKeyError as exc:
        raise refusal(str(exc), step='read_request', code='bad_key') from None
    return owner_target(f'{caller}|{key}', targets) if issued is None else issued.target


def qualify(error: RequestError, request: HttpRequest) -> RequestError:
    """Say ``unknown`` where an entry refuses a key of which it cannot tell whether it ran.

    Parameters
    ----------
    error : RequestError
        Why the entry did not send the request on.
    request : HttpRequest
        What the caller sent.

    Returns
    -------
    RequestError
        The same error, unless the request carries a key and the refusal came before its home was asked.
    """
    undecided = error.status >= HTTPStatus.INTERNAL_SERVER_ERROR and error.step in _ENTRY_STEPS
    if KEY_HEADER not in request.headers or error.outcome is not Outcome.NOT_RUN or not undecided:
        return error
    return RequestError(
        f'{error.message}; this request was not sent, and whether an earlier one with its key ran is not known',
        step=error.step,
        peer=error.peer,
        outcome=Outcome.UNKNOWN,
        status=error.status,
        code=error.code,
        retry_after=error.retry_after or 1,
    )
