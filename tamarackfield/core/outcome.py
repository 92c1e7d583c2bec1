"""Outcomes of requests and the allowed transitions between them."""

import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    #: No byte of the request was sent to a target.
    NOT_RUN = 'not_run'
    #: Bytes were sent to a target and no answer was received.
    UNKNOWN = 'unknown'
    #: The target ran the request and answered with an error or with an unusable answer.
    FAILED = 'failed'
    #: The complete answer of the target was received.
    ANSWERED = 'answered'


_ALLOWED_TRANSITIONS = frozenset(
    (
        (Outcome.NOT_RUN, Outcome.UNKNOWN),
        (Outcome.UNKNOWN, Outcome.FAILED),
        (Outcome.UNKNOWN, Outcome.ANSWERED),
    )
)


def advance_outcome(current: Outcome, new: Outcome) -> Outcome:
    """Check the transition to a new outcome and return it; an outcome never moves back.

    Parameters
    ----------
    current : Outcome
        Outcome so far.
    new : Outcome
        New outcome.

    Returns
    -------
    Outcome
        ``new``.

    Raises
    ------
    ValueError
        If the transition would discard knowledge, such as from ``unknown`` to ``not_run``.

    Examples
    --------
    >>> advance_outcome(Outcome.NOT_RUN, Outcome.UNKNOWN).value
    'unknown'
    """
    if (current, new) not in _ALLOWED_TRANSITIONS:
        raise ValueError(f'outcome cannot go from {current} to {new}')
    return new
