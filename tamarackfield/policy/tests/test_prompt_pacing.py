"""Replay of streams on a slow engine that reads prompts between their tokens."""

import random

from tamarackfield.policy.prompts import NOTICED_SECONDS, PromptPacing

#: An engine that takes twice the usual time: seconds of a step, and of a token that is read.
STEP_SECONDS = 0.009
TOKEN_SECONDS = 0.000052
#: Tokens of prompts that are read in one step, and tokens of one event of a stream.
CHUNK_TOKENS = 768
EVENT_TOKENS = 8
EVENTS = 36
#: Seconds in which callers expect the next event.
PAUSE_SECONDS = 0.3
RATE = 11


class Engine:
    """Reads prompts a chunk a step; each step gives every stream one token."""

    def __init__(self, pacing, told):
        self.pacing = pacing
        self.told = told
        self.now = 100.0
        self.reading = []
        self.streams = {}
        self.pauses = []

    def give(self, number, tokens):
        self.pacing.give(number, tokens, self.now)
        self.reading.append([number, tokens])

    def step(self):
        read = min(CHUNK_TOKENS, self.reading[0][1]) if self.reading else 0
        self.now += STEP_SECONDS + read * TOKEN_SECONDS
        if read:
            self._read(read)
        for number in list(self.streams):
            self._extend(number)

    def _read(self, tokens):
        self.reading[0][1] -= tokens
        if not self.reading[0][1]:
            number, _ = self.reading.pop(0)
            self.pacing.finish(number, self.now)
            self.streams[number] = [0, self.now, 0.0]

    def _extend(self, number):
        stream = self.streams[number]
        stream[0] += 1
        if stream[0] % EVENT_TOKENS:
            return
        pause = self.now - stream[1]
        stream[1] = self.now
        stream[2] = max(stream[2], pause)
        if pause > NOTICED_SECONDS and self.told:
            self.pacing.note_pause(self.now)
        if stream[0] == EVENTS * EVENT_TOKENS:
            self.pauses.append(stream[2])
            self.streams.pop(number)


def replay(told, seconds=40):
    """Return how many in a hundred streams never paused for too long."""
    rng = random.Random(3)
    engine = Engine(PromptPacing(), told)
    waiting = []
    next_at = engine.now
    number = 0
    while engine.now < 100 + seconds:
        while next_at <= engine.now:
            number += 1
            waiting.append((number, rng.choice((826, 826, 826, 2368))))
            next_at += rng.expovariate(RATE)
        while waiting and engine.pacing.may_give(waiting[0][1], engine.now):
            engine.give(*waiting.pop(0))
        engine.step()
    return 100 * sum(pause <= PAUSE_SECONDS for pause in engine.pauses) // len(engine.pauses)


def test_streams_of_a_slow_engine_go_on_while_it_reads_prompts():
    assert replay(told=True) > 90


def test_without_word_of_pauses_the_streams_stall():
    assert replay(told=False) < 60
