"""What entries report of the targets that are listed on the machine of a sidecar."""

from tamarackfield.wire.reservations import Facts

#: Number of targets of which facts are kept; one machine has few, but any number of items may name it.
MAX_KNOWN_TARGETS = 32
#: Facts of no target, in force until the first ones arrive.
NO_FACTS = Facts(0, '', 0, 1, 0, 0, [], [], [], 0)


class KnownFacts:
    """Newest facts of each target that is listed on a machine, of which at most one is its engine.

    Items of other writers may name the machine, so the listed starts alone do not show which target is there.
    """

    def __init__(self) -> None:
        """Start without facts."""
        self.by_target: dict[str, Facts] = {}
        # Start of the incarnation that refused orders in the name of a target, by that name.
        self.rejected: dict[str, int] = {}

    def add(self, facts: Facts) -> bool:
        """Store facts, unless those that are stored of the target are as new or newer; return whether it did."""
        known = self.by_target.get(facts.target, NO_FACTS)
        if (facts.started_ms, facts.revision) <= (known.started_ms, known.revision):
            return False
        self.by_target.pop(facts.target, None)
        self.by_target[facts.target] = facts
        return True

    def reject(self, facts: Facts) -> None:
        """Record that the engine refused an order as it has another name than the target of these facts."""
        self.rejected[facts.target] = facts.started_ms

    def choose(self, started_ms: int, current_target: str) -> Facts | None:
        """Return the facts of the engine.

        Parameters
        ----------
        started_ms : int
            Start of the engine's incarnation, 0 if it is not known.
        current_target : str
            Name of the target that is taken to be the engine, empty for none.

        Returns
        -------
        Facts or None
            Those of a target that started with the engine, of the current one if there are several; without any,
            those of the latest start.
        """
        self._forget_excess(started_ms)
        candidates = [facts for facts in self.by_target.values() if not self._is_rejected(facts)]
        return max(
            candidates,
            key=lambda facts: (facts.started_ms == started_ms, facts.started_ms, facts.target == current_target),
            default=None,
        )

    def _is_rejected(self, facts: Facts) -> bool:
        return self.rejected.get(facts.target) == facts.started_ms

    def _forget_excess(self, started_ms: int) -> None:
        """Forget the earliest facts beyond the limit, those of the engine's incarnation last."""
        removable = sorted(self.by_target.values(), key=lambda facts: facts.started_ms == started_ms)
        for facts in removable[: max(0, len(removable) - MAX_KNOWN_TARGETS)]:
            self.by_target.pop(facts.target)
            self.rejected.pop(facts.target, None)
