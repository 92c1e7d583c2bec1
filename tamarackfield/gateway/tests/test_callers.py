"""Calls as they are served, whatever their callers stated."""

from tamarackfield.gateway.callers import MOST_PROMPT_TOKENS, bound_call
from tamarackfield.gateway.model import Service
from tamarackfield.gateway.tests.samples import ENGINE, make_call, make_route

MODELS = Service('models', 100, ENGINE)


def test_stated_length_of_a_prompt_does_not_keep_an_engine_from_others():
    call = make_call(prompt_tokens=10**14, model='base')
    assert bound_call(call, make_route(), MODELS).prompt_tokens == MOST_PROMPT_TOKENS
    call.prompt_tokens = 800
    assert bound_call(call, make_route(), MODELS).prompt_tokens == 800


def test_call_to_a_plain_service_needs_no_adapter():
    call = make_call(model='base', adapter='a7')
    bounded = bound_call(call, make_route(), Service('plain', 100))
    assert (bounded.model, bounded.adapter) == ('', '')
