"""Decides whether an idempotency key without a ledger record may have been executed before.

The home target of a key is the target that owns it; only there may a call with the key run. The
ledger of a home target is kept in memory and is lost when its sidecar restarts. A home target may
execute a key without a record only if the key provably never ran: the key names the current
incarnation of the home target, or every earlier use of the key is older than the horizon (the
retention period of records), or an operator declared that nothing ran before this incarnation.
The home target of a caller-chosen key is selected by rendezvous hashing over the targets of the
service. After a change of these targets, the home targets under the earlier sets have to hand the
key over until the horizon has passed.
"""

import enum
from dataclasses import dataclass, field

from tamarackfield.ledger.issued_keys import IssuedKey, parse_issued_key
from tamarackfield.policy.placement import home_target

_MS_PER_SECOND = 1000


class Proof(enum.Enum):
    """Result of checking a key that has no ledger record."""

    #: The key never ran.
    NEVER_RAN = 'never_ran'
    #: The key may have run in an earlier incarnation of this home target.
    EARLIER_INCARNATION = 'earlier_incarnation'
    #: The key may have run at its home target under an earlier set of targets.
    EARLIER_HOME = 'earlier_home'
    #: The home target of the key is another target.
    NOT_HOME = 'not_home'
    #: The key was issued longer ago than the horizon.
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class ProofResult:
    """Result of checking one key, and when to retry.

    Parameters
    ----------
    proof : Proof
        Result of the check.
    retry_at : float
        Monotonic seconds from which the key may be retried; 0 if it never ran or a retry cannot succeed.
    earlier_homes : tuple of str
        Earlier home targets that have to hand the key over.
    """

    proof: Proof
    retry_at: float = 0.0
    earlier_homes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EarlierTargets:
    """Targets of the service before a change; keys may have run there until ``expires_at``, in monotonic seconds."""

    targets: frozenset[str]
    expires_at: float


@dataclass(slots=True)
class Coverage:
    """Coverage of a ledger: which keys one incarnation of a home target can prove unused.

    Parameters
    ----------
    target : str
        Name of the home target.
    incarnation : int
        Incarnation of the sidecar of the home target.
    started_at : float
        Monotonic seconds at which this incarnation applied its first bundle; it ran no key before.
    horizon_seconds : float
        Retention period of the record of a key after its first attempt; fixed for the incarnation.
    targets : frozenset of str
        All targets of the service, from the bundle.
    first_start_declared : bool
        Whether an operator declared that no key ran before this incarnation.
    earlier_targets : list of EarlierTargets
        Earlier sets of targets that have not expired; an empty set stands for unknown targets of
        bundles that this sidecar missed.
    bundle_number : int
        Number of the bundle in force.
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
        """Monotonic seconds at which every key of an earlier incarnation has passed the horizon."""
        return self.started_at + self.horizon_seconds

    def uptime_ms(self, now: float) -> int:
        """Return the age of this incarnation, in milliseconds."""
        return int((now - self.started_at) * _MS_PER_SECOND)

    def apply_targets(self, targets: frozenset[str], number: int, now: float) -> None:
        """Apply the targets of a bundle that came into force.

        Parameters
        ----------
        targets : frozenset of str
            All targets of the service in the bundle.
        number : int
            Number of the bundle.
        now : float
            Current monotonic seconds.
        """
        self.earlier_targets = [earlier for earlier in self.earlier_targets if earlier.expires_at > now]
        if self.targets and targets != self.targets:
            expires_at = now + self.horizon_seconds
            self.earlier_targets.append(EarlierTargets(self.targets, expires_at))
            if number > self.bundle_number + 1:
                self.earlier_targets.append(EarlierTargets(frozenset(), expires_at))
        self.targets = targets
        self.bundle_number = number

    def classify_key(self, caller: str, key: str, now: float) -> ProofResult:
        """Return whether a key without a ledger record may have run.

        Parameters
        ----------
        caller : str
            Name of the caller that uses the key.
        key : str
            Idempotency key.
        now : float
            Current monotonic seconds.

        Raises
        ------
        IssuedKeyError
            If the key has the prefix of issued keys and is malformed.
        """
        issued = parse_issued_key(key)
        if issued is not None:
            return self._classify_issued_key(issued, now)
        scoped_key = f'{caller}|{key}'
        if home_target(scoped_key, self.targets) != self.target:
            return ProofResult(Proof.NOT_HOME, now)
        if now < self.earlier_keys_expire_at and not self.first_start_declared:
            return ProofResult(Proof.EARLIER_INCARNATION, self.earlier_keys_expire_at)
        return self._classify_moved_key(scoped_key, now)

    def can_hand_over(self, scoped_key: str, now: float) -> bool:
        """Return whether a key without a record may be handed over to another target.

        Another target must own it now, and it provably never ran at this one.
        """
        owned_elsewhere = home_target(scoped_key, self.targets) != self.target
        return owned_elsewhere and (self.first_start_declared or now >= self.earlier_keys_expire_at)

    def _classify_issued_key(self, issued: IssuedKey, now: float) -> ProofResult:
        if issued.target != self.target:
            return ProofResult(Proof.NOT_HOME)
        if issued.incarnation != self.incarnation:
            return ProofResult(Proof.EARLIER_INCARNATION)
        age = now - self.started_at - issued.uptime_ms / _MS_PER_SECOND
        if 0 <= age < self.horizon_seconds:
            return ProofResult(Proof.NEVER_RAN)
        return ProofResult(Proof.EXPIRED)

    def _classify_moved_key(self, scoped_key: str, now: float) -> ProofResult:
        earlier = [(home_target(scoped_key, past.targets), past.expires_at) for past in self.earlier_targets]
        unexpired = [(home, expires_at) for home, expires_at in earlier if home != self.target and expires_at > now]
        if not unexpired:
            return ProofResult(Proof.NEVER_RAN)
        any_bundle_missed = any(home is None for home, _ in unexpired)
        homes = () if any_bundle_missed else tuple(sorted({home for home, _ in unexpired if home}))
        return ProofResult(Proof.EARLIER_HOME, max(expires_at for _, expires_at in unexpired), homes)
