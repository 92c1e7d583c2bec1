"""Decides whether a key that is not in the ledger can have run before.

A ledger lives in memory. A home may run an unseen key only with proof that the key never ran:
the key names the home's present incarnation, or every earlier use of the key would lie beyond
the horizon, or an operator declared that nothing ran before this incarnation. For keys that
callers chose, the targets of the service decide the home; after a change of targets the homes
of the earlier sets have to vouch for a key until the horizon has passed.
"""

import enum
from dataclasses import dataclass, field

from tamarackfield.ledger.issued_keys import IssuedKey, parse_issued_key
from tamarackfield.policy.placement import home_target

_MS_PER_SECOND = 1000


class Proof(enum.Enum):
    """What is known of a key that is not in the ledger."""

    #: It never ran.
    NEVER_RAN = 'never_ran'
    #: It may have run at an earlier incarnation of this home.
    EARLIER_INCARNATION = 'earlier_incarnation'
    #: It may have run at the homes of an earlier set of targets.
    EARLIER_HOME = 'earlier_home'
    #: Its home is another target.
    NOT_HOME = 'not_home'
    #: It was issued longer ago than the horizon.
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class ProofResult:
    """Proof for one key.

    Parameters
    ----------
    proof : Proof
        What is known.
    settled_at : float
        Monotonic seconds at which the key may be tried again; 0 if coming back cannot help.
    earlier_homes : tuple of str
        Targets that have to vouch for the key.
    """

    proof: Proof
    retry_at: float = 0.0
    earlier_homes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EarlierTargets:
    """Targets of the service before a change, and when they stop to count in monotonic seconds."""

    targets: frozenset[str]
    expires_at: float


@dataclass(slots=True)
class Coverage:
    """What one incarnation of a home can prove.

    Parameters
    ----------
    target : str
        The home.
    incarnation : int
        Of its sidecar.
    started_at : float
        Monotonic seconds at which it took in its first bundle; no key ran at it before.
    horizon_seconds : float
        Time after its first try for which a key counts; fixed for the incarnation.
    targets : frozenset of str
        All targets of the service, from the bundle.
    declared_first : bool
        Whether an operator declared that no key ran before this incarnation.
    earlier : list of EarlierTargets
        Sets of targets that still count; an empty set stands for those of bundles that were missed.
    bundle_number : int
        Of the bundle in force.
    """

    target: str
    incarnation: int
    started_at: float
    horizon_seconds: float
    targets: frozenset[str] = frozenset()
    first_start_declared: bool = False
    earlier_targets: list[EarlierTargets] = field(default_factory=list)
    bundle_number: int = 0

    @property
    def earlier_keys_expire_at(self) -> float:
        """Monotonic seconds from which no key of an earlier incarnation counts any more."""
        return self.started_at + self.horizon_seconds

    def uptime_ms(self, now: float) -> int:
        """Return the age of this incarnation, in milliseconds."""
        return int((now - self.started_at) * _MS_PER_SECOND)

    def apply_targets(self, targets: frozenset[str], number: int, now: float) -> None:
        """Take in the targets of a bundle that came into force.

        Parameters
        ----------
        targets : frozenset of str
            All targets of the service.
        number : int
            Of the bundle.
        now : float
            Monotonic seconds.
        """
        self.earlier_targets = [former for former in self.earlier_targets if former.expires_at > now]
        if self.targets and targets != self.targets:
            expires_at = now + self.horizon_seconds
            self.earlier_targets.append(EarlierTargets(self.targets, expires_at))
            if number > self.bundle_number + 1:
                self.earlier_targets.append(EarlierTargets(frozenset(), expires_at))
        self.targets = targets
        self.bundle_number = number

    def classify_key(self, caller: str, key: str, now: float) -> ProofResult:
        """Return what is known of a key that is not in the ledger.

        Parameters
        ----------
        caller : str
            Who uses the key.
        key : str
            Idempotency key.
        now : float
            Monotonic seconds.

        Raises
        ------
        IssuedKeyError
            If the key is malformed.
        """
        issued = parse_issued_key(key)
        if issued is not None:
            return self._classify_issued(issued, now)
        scoped_key = f'{caller}|{key}'
        if home_target(scoped_key, self.targets) != self.target:
            return ProofResult(Proof.NOT_HOME, now)
        if now < self.earlier_keys_expire_at and not self.first_start_declared:
            return ProofResult(Proof.EARLIER_INCARNATION, self.earlier_keys_expire_at)
        return self._classify_moved(scoped_key, now)

    def can_hand_over(self, scoped_key: str, now: float) -> bool:
        """Tell whether an unseen key, whose home is elsewhere now, can never have run here nor will."""
        elsewhere = home_target(scoped_key, self.targets) != self.target
        return elsewhere and (self.first_start_declared or now >= self.earlier_keys_expire_at)

    def _classify_issued(self, issued: IssuedKey, now: float) -> ProofResult:
        if issued.target != self.target:
            return ProofResult(Proof.NOT_HOME)
        if issued.incarnation != self.incarnation:
            return ProofResult(Proof.EARLIER_INCARNATION)
        age = now - self.started_at - issued.uptime_ms / _MS_PER_SECOND
        if 0 <= age < self.horizon_seconds:
            return ProofResult(Proof.NEVER_RAN)
        return ProofResult(Proof.EXPIRED)

    def _classify_moved(self, scoped_key: str, now: float) -> ProofResult:
        former = [(home_target(scoped_key, past.targets), past.expires_at) for past in self.earlier_targets]
        counting = [(home, until) for home, until in former if home != self.target and until > now]
        if not counting:
            return ProofResult(Proof.NEVER_RAN)
        any_bundle_missed = any(home is None for home, _ in counting)
        homes = () if any_bundle_missed else tuple(sorted({home for home, _ in counting if home}))
        return ProofResult(Proof.EARLIER_HOME, max(until for _, until in counting), homes)
