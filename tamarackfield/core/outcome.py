"""What is known of a request that got no answer, and how that knowledge may change."""

import enum


class Outcome(enum.StrEnum):
    """What the system can promise about a request."""

    #: No byte of the request has gone to a target.
    NOT_RUN = 'not_run'
    #: Bytes went to a target and no answer came back.
    UNKNOWN = 'unknown'
    #: The target ran the request and answered with an error, or its answer was unusable.
    FAILED = 'failed'
    #: The target's whole answer was received.
    ANSWERED = 'answered'


_ALLOWED = frozenset(
    (
        (Outcome.NOT_RUN, Outcome.UNKNOWN),
        (Outcome.UNKNOWN, Outcome.FAILED),
        (Outcome.UNKNOWN, Outcome.ANSWERED),
    )
)


def advance(current: Outcome, following: Outcome) -> Outcome:
    """Move an outcome forward; it never moves back.

    Parameters
    ----------
    current : Outcome
        What was known until now.
    following : Outcome
        What is known from now on.

    Returns
    -------
    Outcome
        ``following``.

    Raises
    ------
    ValueError
        If the step would take knowledge back, such as ``unknown`` to ``not_run``.

    Examples
    --------
    >>> advance(Outcome.NOT_RUN, Outcome.UNKNOWN).value
    'unknown'
    """
    if (current, following) not in _ALLOWED:
        raise ValueError(f'outcome cannot go from {current} to {following}')
    return following
