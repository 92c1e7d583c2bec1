"""Fields of the documents of other writers, each checked for type and range where it is decoded."""

import math
from typing import Any

#: Exceptions raised when malformed bytes or fields are decoded.
MALFORMED = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError, RecursionError)
#: Largest whole number of a field: what every JSON writer represents exactly.
MAX_WHOLE = 9_007_199_254_740_991
#: Limit of the characters of a name; those that go into messages and headers are far shorter.
MAX_TEXT_LENGTH = 1024


def require_text(field: Any) -> str:
    """Return a field that is a name.

    Raises
    ------
    TypeError, ValueError
        If it is not a text, is too long, or cannot be encoded.
    """
    if not isinstance(field, str):
        raise TypeError(f'{type(field).__name__} is not a text')
    if len(field) > MAX_TEXT_LENGTH:
        raise ValueError(f'text has {len(field)} characters')
    field.encode()
    return field


def require_whole(field: Any) -> int:
    """Return a field that is a whole number from 0 to `MAX_WHOLE`.

    Raises
    ------
    TypeError, ValueError
        If it is not.

    Examples
    --------
    >>> require_whole(64), require_whole(64.0)
    (64, 64)
    """
    number = require_decimal(field)
    if number != int(number):
        raise ValueError(f'{number} is not whole')
    return int(field)


def require_decimal(field: Any) -> float:
    """Return a field that is a number from 0 to `MAX_WHOLE`.

    Raises
    ------
    TypeError, ValueError
        If it is not.
    """
    if isinstance(field, bool) or not isinstance(field, int | float):
        raise TypeError(f'{type(field).__name__} is not a number')
    if not 0 <= field <= MAX_WHOLE or math.isnan(field):
        raise ValueError('number is out of range')
    return float(field)


def require_list(field: Any) -> list[Any]:
    """Return a field that is a list; raise `TypeError` if it is not."""
    if not isinstance(field, list):
        raise TypeError(f'{type(field).__name__} is not a list')
    return field
