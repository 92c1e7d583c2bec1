"""Home targets of idempotency keys, and the outcome that an entry reports for a key that it did not forward.

The home target of a key is the only target at which a call with the key may run. Error texts call it the home.
"""

from collections.abc import Iterable
from http import HTTPStatus

from tamarackfield.core.errors import RequestError, refusal
from tamarackfield.core.outcome import Outcome
from tamarackfield.ledger import IssuedKeyError, parse_issued_key
from tamarackfield.policy.placement import home_target
from tamarackfield.web import HttpRequest

KEY_HEADER = 'idempotency-key'
#: Steps that an entry runs before the home target of the key receives the request.
_STEPS_BEFORE_HOME_TARGET = frozenset(('read_request', 'resolve', 'route', 'submit'))


def find_home_target(caller: str, key: str, targets: Iterable[str]) -> str | None:
    """Return the home target of an idempotency key.

    An issued key names its home target; that of any other key is chosen by rendezvous hashing of caller and key.

    Parameters
    ----------
    caller : str
        Name of the caller that uses the key.
    key : str
        Idempotency key as sent by the caller.
    targets : iterable of str
        Names of all targets of the service.

    Returns
    -------
    str or None
        Name of the home target; None if the service has no target.

    Raises
    ------
    RequestError
        With outcome ``not_run`` if the key has the form of an issued key but is invalid.
    """
    try:
        issued = parse_issued_key(key)
    except IssuedKeyError as exc:
        raise refusal(str(exc), step='read_request', code='bad_key') from None
    return home_target(f'{caller}|{key}', targets) if issued is None else issued.target


def mark_unknown_if_key_may_have_run(error: RequestError, request: HttpRequest) -> RequestError:
    """Return an error with outcome ``unknown`` if an earlier request with the same key may have run.

    Parameters
    ----------
    error : RequestError
        Error because of which the entry did not forward the request.
    request : HttpRequest
        Request of the caller.

    Returns
    -------
    RequestError
        The same error, unless the request carries a key and failed with a 5xx status before it reached the key's
        home target.
    """
    failed_before_home_target = (
        error.status >= HTTPStatus.INTERNAL_SERVER_ERROR and error.step in _STEPS_BEFORE_HOME_TARGET
    )
    if KEY_HEADER not in request.headers or error.outcome is not Outcome.NOT_RUN or not failed_before_home_target:
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
