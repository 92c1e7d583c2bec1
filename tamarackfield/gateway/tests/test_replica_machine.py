"""The replica never goes back, whatever pages, events and peers bring in whatever order."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.gateway.replica import Item, Replica

KEYS = st.sampled_from(('op/config', 'servers/a', 'servers/b'))


class ReplicaMachine(RuleBasedStateMachine):
    """A store with a history, and reports of any part of it, old or new."""

    def __init__(self):
        super().__init__()
        self.replica = Replica()
        self.history = []
        self.seen = {}
        self.shown = {}

    @rule(key=KEYS, deleted=st.booleans())
    def change(self, key, deleted):
        revision = len(self.history) + 1
        self.history.append(Item(key, revision, None if deleted else str(revision).encode()))

    @rule(data=st.data())
    def report(self, data):
        if self.history:
            item = data.draw(st.sampled_from(self.history))
            self.replica.apply(item)
            self.seen[item.key] = max(item.revision, self.seen.get(item.key, 0))

    @rule(data=st.data())
    def read_whole(self, data):
        revision = data.draw(st.integers(0, len(self.history)))
        state = {item.key: item for item in self.history[:revision]}
        present = {key for key, item in state.items() if item.content is not None}
        for key in present:
            self.replica.apply(state[key])
            self.seen[key] = max(state[key].revision, self.seen.get(key, 0))
        for gone in self.replica.missing('', present, revision):
            self.replica.apply(gone)
            self.seen[gone.key] = max(gone.revision, self.seen.get(gone.key, 0))

    @invariant()
    def no_item_goes_back(self):
        for key, item in self.replica.items.items():
            assert item.revision >= self.shown.get(key, 0)
            self.shown[key] = item.revision

    @invariant()
    def what_is_shown_is_the_newest_that_was_reported(self):
        for key, revision in self.seen.items():
            shown = self.replica.items.get(key)
            assert revision in {self.replica.deleted.get(key), shown and shown.revision}


TestReplica = ReplicaMachine.TestCase
TestReplica.settings = settings(max_examples=150, stateful_step_count=30)
