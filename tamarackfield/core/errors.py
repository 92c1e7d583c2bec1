"""Errors that carry the step and the peer at which they arose."""

from tamarackfield.core.outcome import Outcome

#: Seconds after which a caller may come back when nothing better is known.
DEFAULT_RETRY_AFTER = 1


class TamarackfieldError(Exception):
    """Base of every error raised by this package.

    Parameters
    ----------
    message : str
        What went wrong, naming the offending value.
    step : str
        The step of the work at which it arose, such as ``dispatch``.
    peer : str
        The process or target on the other side, empty if there was none.
    """

    def __init__(self, message: str, step: str = '', peer: str = '') -> None:
        """Keep the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class RequestError(TamarackfieldError):
    """A request that ends without its answer.

    Parameters
    ----------
    message : str
        What went wrong, in words for the caller.
    step : str
        The step at which the request ended.
    peer : str
        The peer at which it ended.
    outcome : Outcome
        What is known of the run.
    status : int
        HTTP status for the caller.
    code : str
        Stable machine-readable code.
    retry_after : float
        Seconds after which the caller may come back; zero if coming back cannot help.
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
        """Keep everything that the caller is told."""
        super().__init__(message, step, peer)
        self.outcome = outcome
        self.status = status
        self.code = code
        self.retry_after = retry_after


def refusal(message: str, *, step: str, code: str, status: int = 400, peer: str = '') -> RequestError:
    """Build a refusal that coming back cannot change.

    Parameters
    ----------
    message, step, code, peer : str
        As in `RequestError`.
    status : int
        HTTP status for the caller.

    Returns
    -------
    RequestError
        With outcome ``not_run`` and no time to come back.
    """
    return RequestError(message, step=step, peer=peer, status=status, code=code)
