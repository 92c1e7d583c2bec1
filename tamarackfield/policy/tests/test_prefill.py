"""Replay of streams on a slow engine that prefills prompts between decode steps."""

import random

from tamarackfield.policy.prefill import NOTICEABLE_PAUSE_FRACTION, PrefillPacer

#: Decode step and prefill time of a token on an engine of half the usual speed.
STEP_SECONDS = 0.009
TOKEN_SECONDS = 0.000052
#: Prompt tokens that are prefilled in one step, and tokens in one event of a stream.
CHUNK_TOKENS = 768
EVENT_TOKENS = 8
EVENTS_PER_STREAM = 36
#: Longest acceptable pause between two events.
MAX_PAUSE_SECONDS = 0.3
REQUESTS_PER_SECOND = 11


class Engine:
    """Engine with chunked prefill: one chunk in each step, which also gives every stream one token."""

    def __init__(self, pacer, report_pauses):
        self.pacer = pacer
        self.report_pauses = report_pauses
        self.now = 100.0
        self.prompts = []
        self.streams = {}
        self.pauses = []

    def add_prompt(self, number, tokens):
        self.pacer.record_dispatch(number, tokens, self.now)
        self.prompts.append([number, tokens])

    def step(self):
        tokens_prefilled = min(CHUNK_TOKENS, self.prompts[0][1]) if self.prompts else 0
        self.now += STEP_SECONDS + tokens_prefilled * TOKEN_SECONDS
        if tokens_prefilled:
            self._prefill(tokens_prefilled)
        for number in list(self.streams):
            self._decode(number)

    def _prefill(self, tokens):
        self.prompts[0][1] -= tokens
        if not self.prompts[0][1]:
            number, _ = self.prompts.pop(0)
            self.pacer.record_prefill_end(number, self.now)
            # Number of decoded tokens, time of the last event, longest pause between two events.
            self.streams[number] = [0, self.now, 0.0]

    def _decode(self, number):
        stream = self.streams[number]
        stream[0] += 1
        if stream[0] % EVENT_TOKENS:
            return
        pause = self.now - stream[1]
        stream[1] = self.now
        stream[2] = max(stream[2], pause)
        if pause > NOTICEABLE_PAUSE_FRACTION * MAX_PAUSE_SECONDS and self.report_pauses:
            self.pacer.record_pause(self.now)
        if stream[0] == EVENTS_PER_STREAM * EVENT_TOKENS:
            self.pauses.append(stream[2])
            self.streams.pop(number)


def replay(report_pauses, seconds=40):
    """Return the percentage of streams without a pause above the limit."""
    rng = random.Random(3)
    engine = Engine(PrefillPacer(), report_pauses)
    waiting = []
    next_arrival_at = engine.now
    number = 0
    while engine.now < 100 + seconds:
        while next_arrival_at <= engine.now:
            number += 1
            waiting.append((number, rng.choice((826, 826, 826, 2368))))
            next_arrival_at += rng.expovariate(REQUESTS_PER_SECOND)
        while waiting and engine.pacer.can_dispatch(waiting[0][1], engine.now):
            engine.add_prompt(*waiting.pop(0))
        engine.step()
    return 100 * sum(pause <= MAX_PAUSE_SECONDS for pause in engine.pauses) // len(engine.pauses)


def test_prefill_on_a_slow_engine_does_not_stall_its_streams():
    assert replay(report_pauses=True) > 90


def test_streams_stall_if_pauses_are_not_reported():
    assert replay(report_pauses=False) < 60
