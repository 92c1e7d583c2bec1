"""Errors that carry the step and the peer at which they occurred."""

from tamarackfield.core.outcome import Outcome

#: Retry delay suggested to a caller when no better estimate is available.
DEFAULT_RETRY_AFTER_SECONDS = 1


class TamarackfieldError(Exception):
    """Base of every error raised by this package.

    Parameters
    ----------
    message : str
        What failed, with the offending value.
    step : str
        Processing step at which the error occurred, such as ``dispatch``.
    peer : str
        Process or target on the other side of the connection; empty if there was none.
    """

    def __init__(self, message: str, step: str = '', peer: str = '') -> None:
        """Create an error of a step and a peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class RequestError(TamarackfieldError):
    """A request that ends without its full answer.

    Parameters
    ----------
    message : str
        What failed, for the caller.
    step : str
        Processing step at which the request ended.
    peer : str
        Process or target at which the request ended; empty if there was none.
    outcome : Outcome
        What is known about the execution of the request.
    status : int
        HTTP status for the caller.
    code : str
        Stable machine-readable error code.
    retry_after : float
        Seconds after which the caller may retry; zero if a retry cannot succeed.
    """

    def __init__(  # noqa: WPS211 one argument for each field of the error that callers see
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        outcome: Outcome = Outcome.NOT_RUN,
        status: int = 503,
        code: str = 'unavailable',
        retry_after: float = 0,
    ) -> None:
        """Create an error with all fields of the error answer."""
        super().__init__(message, step, peer)
        self.outcome = outcome
        self.status = status
        self.code = code
        self.retry_after = retry_after


def refusal(message: str, *, step: str, code: str, status: int = 400, peer: str = '') -> RequestError:
    """Build the error of a refused request that a retry cannot turn into a success.

    Parameters
    ----------
    message, step, code, peer : str
        As in `RequestError`.
    status : int
        HTTP status for the caller.

    Returns
    -------
    RequestError
        Error with outcome ``not_run`` and no retry delay.
    """
    return RequestError(message, step=step, peer=peer, status=status, code=code)
