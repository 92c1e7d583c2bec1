"""Replica under pages, events and peer reports in arbitrary order: no item reverts to an earlier revision."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.gateway.replica import Item, Replica
from tamarackfield.gateway.revisions import ORIGIN, Revision

KEYS = st.sampled_from(('op/config', 'servers/a', 'servers/b'))


class ReplicaMachine(RuleBasedStateMachine):
    """Store with a history of changes, any part of which is reported, in any order."""

    def __init__(self):
        super().__init__()
        self.replica = Replica()
        self.history = []
        self.reported = {}
        self.observed = {}

    @rule(key=KEYS, deleted=st.booleans())
    def change(self, key, deleted):
        number = len(self.history) + 1
        self.history.append(Item(key, Revision(0, number), None if deleted else str(number).encode()))

    @rule(data=st.data())
    def report(self, data):
        if self.history:
            item = data.draw(st.sampled_from(self.history))
            self.replica.apply(item)
            self.reported[item.key] = max(item.revision, self.reported.get(item.key, ORIGIN))

    @rule(data=st.data())
    def read_all(self, data):
        revision = data.draw(st.integers(0, len(self.history)))
        state = {item.key: item for item in self.history[:revision]}
        present = {key for key, item in state.items() if item.content is not None}
        for key in present:
            self.replica.apply(state[key])
            self.reported[key] = max(state[key].revision, self.reported.get(key, ORIGIN))
        for deletion in self.replica.find_deleted('', present, Revision(0, revision)):
            self.replica.apply(deletion)
            self.reported[deletion.key] = max(deletion.revision, self.reported.get(deletion.key, ORIGIN))

    @invariant()
    def no_item_reverts_to_earlier_revision(self):
        for key, item in self.replica.items.items():
            assert item.revision >= self.observed.get(key, ORIGIN)
            self.observed[key] = item.revision

    @invariant()
    def replica_has_newest_reported_revision(self):
        for key, revision in self.reported.items():
            observed = self.replica.items.get(key)
            deletion = self.replica.deleted.get(key)
            assert revision in {deletion and deletion.revision, observed and observed.revision}


TestReplica = ReplicaMachine.TestCase
TestReplica.settings = settings(max_examples=150, stateful_step_count=30)
