"""Headers of workers and of the store that are read in more than one place, and the numbers in headers."""

import email.utils
import re
from datetime import UTC

from loguru import logger

#: Header with the id of one attempt of a caller, or of a call of the system, in requests and in answers.
REQUEST_ID_HEADER = 'Tamarackfield-Request-Id'
#: Path of the report that a model worker gives of itself.
REPORT_PATH = '/v1/report'
#: Header with which a worker says in all its answers that it leaves, in lower case, and its value.
LEAVING_HEADER = 'server-leaving'
LEAVING_VALUE = '1'
#: Header with which a worker says in its answers how many requests a second it takes from all machines, in lower case.
LIMIT_HEADER = 'server-limit'
#: Header with which a worker that turns a request away says for how long it wants no more, in lower case.
RETRY_AFTER_HEADER = 'retry-after'
#: Limit of the digits of a number in a header; longer ones count as missing.
_MAX_NUMBER_DIGITS = 15
_DECIMAL = re.compile(r'\d+(?:\.\d*)?')


def parse_number(text: str) -> int | None:
    """Return the whole number in a header, None if it has none.

    Examples
    --------
    >>> parse_number(' 12 '), parse_number('-1'), parse_number(99 * '9')
    (12, None, None)
    """
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit() or len(stripped) > _MAX_NUMBER_DIGITS:
        return None
    return int(stripped)


def parse_request_limit(text: str) -> float | None:
    """Return the requests a second in a Server-Limit header, None if it has none; a malformed one is logged.

    Examples
    --------
    >>> parse_request_limit(' 4.5'), parse_request_limit('')
    (4.5, None)
    """
    stripped = text.strip()
    if not stripped:
        return None
    if not _DECIMAL.fullmatch(stripped) or len(stripped) > _MAX_NUMBER_DIGITS:
        logger.bind(text=stripped).info('request_limit_malformed')
        return None
    return float(stripped)


def parse_retry_after(text: str, now: float) -> float:
    """Return the seconds in a Retry-After header, 0 if it has none; a malformed one is logged and reads as none.

    Parameters
    ----------
    text : str
        Seconds, which may have a fraction, or a date; empty without the header.
    now : float
        Unix seconds.

    Examples
    --------
    >>> parse_retry_after('1.5', 0.0), parse_retry_after('Thu, 01 Jan 1970 00:00:09 GMT', 4.0)
    (1.5, 5.0)
    """
    stripped = text.strip()
    if not stripped:
        return 0.0
    if _DECIMAL.fullmatch(stripped):
        return float(stripped)
    try:
        date = email.utils.parsedate_to_datetime(stripped)
    except ValueError:
        logger.bind(text=stripped).info('retry_after_malformed')
        return 0.0
    aware_date = date if date.tzinfo else date.replace(tzinfo=UTC)
    return max(0.0, aware_date.timestamp() - now)
