"""Answer documents of the engine stand-in, in the format of the OpenAI API."""

from typing import Any

from tamarackfield.testing.batching import Sequence


def make_answer_document(sequence: Sequence, model: str) -> dict[str, Any]:
    """Return the complete answer document of a sequence."""
    text = ''.join(sequence.tokens)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    choice |= {'message': {'role': 'assistant', 'content': text}} if sequence.chat else {'text': text}
    return _make_document(sequence, model, choice, '')


def make_token_event(sequence: Sequence, model: str, index: int) -> dict[str, Any]:
    """Return the document of the stream event with one token of a sequence."""
    token = sequence.tokens[index]
    reason = 'length' if index + 1 >= sequence.max_tokens else None
    choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
    choice |= {'delta': {'content': token}} if sequence.chat else {'text': token}
    return _make_document(sequence, model, choice, '.chunk' if sequence.chat else '')


def _make_document(sequence: Sequence, model: str, choice: dict[str, Any], suffix: str) -> dict[str, Any]:
    kind = 'chat.completion' if sequence.chat else 'text_completion'
    return {
        'id': sequence.request_id,
        'object': f'{kind}{suffix}',
        'created': 0,
        'model': model,
        'choices': [choice],
    }
