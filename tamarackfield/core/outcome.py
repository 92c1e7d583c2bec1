"""Outcomes of requests."""

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
