"""Continuous batching of the engine stand-in: each step adds one token to each running sequence."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

#: Characters of a prompt in one prefix-cache block.
PREFIX_BLOCK_CHARACTERS = 64
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class Sequence:
    """One request in the engine with its generated tokens; ``readers`` counts resumes of its stream."""

    request_id: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    tokens: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ended: bool = False
    chat: bool = True
    readers: int = 0


class PrefixCache:
    """LRU cache of prompt prefixes; `capacity` is in blocks."""

    def __init__(self, capacity: int) -> None:
        """Create an empty cache."""
        self.capacity = capacity
        self.blocks: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.events: list[dict[str, Any]] = []

    def cache_prompt(self, adapter: str, prompt: str) -> int:
        """Cache a prompt and return the number of its characters that were not cached, in whole blocks."""
        uncached_characters = 0
        for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCK_CHARACTERS):
            block = (adapter, prompt[:end])
            if block in self.blocks:
                self.blocks.move_to_end(block)
            else:
                uncached_characters += PREFIX_BLOCK_CHARACTERS
                self._store_block(block)
        return uncached_characters

    def _store_block(self, block: tuple[str, str]) -> None:
        self.blocks[block] = None
        self.events.append({'kind': 'stored', 'adapter': block[0], 'characters': len(block[1])})
        if len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self.events.append({'kind': 'removed', 'adapter': evicted[0], 'characters': len(evicted[1])})


class Batcher:
    """Runs sequences in steps of one batch.

    Parameters
    ----------
    settings : dict
        Settings ``batch``, ``speed``, ``step_ms``, ``sequence_ms``, ``prefill_ms`` and ``prefix_blocks``.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create a batcher without sequences."""
        self.settings = settings
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.cache = PrefixCache(settings['prefix_blocks'])
        self.has_work = asyncio.Event()
        self.steps = 0
        self.batched_sequences = 0
        self.busy_ms = 0.0
        self.slowdown = 1.0

    def add_sequence(self, sequence: Sequence) -> None:
        """Queue a sequence; lower priority numbers run first."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda item: item.priority)
        self.has_work.set()

    def end_sequence(self, sequence: Sequence) -> None:
        """End a sequence and remove it from the batch or the queue."""
        sequence.ended = True
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        sequence.changed.set()

    def is_adapter_in_use(self, adapter: str) -> bool:
        """Return whether a running or waiting sequence uses an adapter."""
        return any(sequence.adapter == adapter for sequence in (*self.running, *self.waiting))

    async def run_steps(self) -> None:
        """Run steps until cancelled."""
        while True:
            self.has_work.clear()
            prefill_characters = self._fill_batch()
            if not self.running:
                await self.has_work.wait()
                continue
            await self._run_step(prefill_characters)

    async def _run_step(self, prefill_characters: int) -> None:
        settings = self.settings
        milliseconds = settings['step_ms'] + settings['sequence_ms'] * len(self.running)
        milliseconds += settings['prefill_ms'] * prefill_characters / PREFIX_BLOCK_CHARACTERS
        milliseconds *= self.slowdown / settings['speed']
        batch = list(self.running)
        await asyncio.sleep(milliseconds / _MS_PER_SECOND)
        self.steps += 1
        self.batched_sequences += len(batch)
        self.busy_ms += milliseconds
        for sequence in batch:
            self._append_token(sequence)

    def _append_token(self, sequence: Sequence) -> None:
        if sequence.ended:
            return
        sequence.tokens.append(f'{sequence.adapter}#{len(sequence.tokens)} ')
        if len(sequence.tokens) >= sequence.max_tokens:
            self.end_sequence(sequence)
        sequence.changed.set()

    def _fill_batch(self) -> int:
        prefill_characters = 0
        while self.waiting and len(self.running) < self.settings['batch']:
            sequence = self.waiting.pop(0)
            self.running.append(sequence)
            prefill_characters += self.cache.cache_prompt(sequence.adapter, sequence.prompt)
        return prefill_characters
