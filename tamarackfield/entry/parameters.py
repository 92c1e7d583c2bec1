"""Validates the JSON body of a completion request and refuses values that no engine accepts."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tamarackfield.core.errors import refusal

#: Largest number of tokens that one request may ask for.
MAX_TOKENS = 131_072
#: Largest number of answers to one prompt.
MAX_CHOICES = 128
CHAT_PATH = '/v1/chat/completions'
_MAX_TEMPERATURE = 2

Check = Callable[[Any], bool]


def read_json(body: bytes) -> dict[str, Any]:
    """Decode a request body that must be one JSON object in UTF-8 without duplicate names.

    Parameters
    ----------
    body : bytes
        Body as received.

    Returns
    -------
    dict
        The decoded object.

    Raises
    ------
    RequestError
        If the body is anything else. Duplicate names are refused because the engine might use another of the values.
    """
    try:
        document = json.loads(
            body.decode('utf-8'),
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        raise refusal(f'the body is not JSON in UTF-8: {exc}', step='read_request', code='bad_json') from None
    if not isinstance(document, dict):
        raise refusal('the body is not a JSON object', step='read_request', code='bad_json')
    return document


def check_parameters(document: dict[str, Any], path: str) -> None:
    """Refuse a completion request whose parameters are of the wrong type or out of range.

    Parameters
    ----------
    document : dict
        Decoded body of the request.
    path : str
        Path of the request; chat completions require ``messages``, plain completions ``prompt``.

    Raises
    ------
    RequestError
        With code ``bad_parameter`` for the first invalid parameter.
    """
    required, is_valid_content, expected_content = _CHAT_CONTENT if path == CHAT_PATH else _COMPLETION_CONTENT
    if not is_valid_content(document.get(required)):
        raise _bad_parameter_error(required, expected_content)
    for name, (is_valid, expected) in _OPTIONAL_PARAMETERS.items():
        given = document.get(name)
        if given is not None and not is_valid(given):
            raise _bad_parameter_error(name, expected)


def _bad_parameter_error(name: str, expected: str) -> Exception:
    return refusal(
        f'{name} is not {expected}', step='read_request', code='bad_parameter', status=HTTPStatus.BAD_REQUEST
    )


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError('a name occurs twice in one object')
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not JSON')


def _integer_between(low: int, high: int) -> Check:
    return lambda given: isinstance(given, int) and not isinstance(given, bool) and low <= given <= high


def _number_between(low: float, high: float) -> Check:
    return lambda given: isinstance(given, int | float) and not isinstance(given, bool) and low <= given <= high


def _is_boolean(given: Any) -> bool:
    return isinstance(given, bool)


def _is_object(given: Any) -> bool:
    return isinstance(given, dict)


def _is_string_or_strings(given: Any) -> bool:
    items = given if isinstance(given, list) else [given]
    return all(isinstance(item, str) for item in items)


def _is_message(given: Any) -> bool:
    if not isinstance(given, dict) or not isinstance(given.get('role'), str):
        return False
    return isinstance(given.get('content'), str | list | None)


def _are_messages(given: Any) -> bool:
    return isinstance(given, list) and bool(given) and all(_is_message(item) for item in given)


def _is_prompt(given: Any) -> bool:
    return isinstance(given, str) or (isinstance(given, list) and bool(given))


_TOKEN_COUNT = (_integer_between(1, MAX_TOKENS), f'a whole number from 1 to {MAX_TOKENS}')
_CHAT_CONTENT = ('messages', _are_messages, 'a list of messages, each with a role and content')
_COMPLETION_CONTENT = ('prompt', _is_prompt, 'text or a list')
_OPTIONAL_PARAMETERS: dict[str, tuple[Check, str]] = {
    'max_tokens': _TOKEN_COUNT,
    'max_completion_tokens': _TOKEN_COUNT,
    'n': (_integer_between(1, MAX_CHOICES), f'a whole number from 1 to {MAX_CHOICES}'),
    'stream': (_is_boolean, 'true or false'),
    'stream_options': (_is_object, 'an object'),
    'temperature': (_number_between(0, _MAX_TEMPERATURE), f'a number from 0 to {_MAX_TEMPERATURE}'),
    'top_p': (_number_between(0, 1), 'a number from 0 to 1'),
    'stop': (_is_string_or_strings, 'text or a list of texts'),
}
