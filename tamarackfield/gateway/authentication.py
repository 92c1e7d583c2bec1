"""Authentication of callers by the API keys in the configuration in force, as far as that is proven to be current.

Keys are compared by their SHA-256 digests, so that no log line holds a key, and the time of a
look-up says nothing of the keys that exist.
"""

import hashlib
from http import HTTPStatus
import random

from loguru import logger

from tamarackfield.core import RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.freshness import FreshnessTracker
from tamarackfield.gateway.model import Call, Catalog, Customer, Route
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.policy.freshness import KeyVerdict

#: Bounds of Retry-After, in seconds, of a refusal because this entry cannot prove that its configuration is current.
#: Other entries behind the load balancer can serve the caller at once; the spread keeps callers from coming in step.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.4
#: Why a request with a key may not run, by the verdict on the key.
REASONS = {
    KeyVerdict.ACCEPTED: '',
    KeyVerdict.UNKNOWN: 'API key is unknown',
    KeyVerdict.UNPROVEN: 'configuration is not proven to be current',
    KeyVerdict.DOUBTFUL: 'API key is not in a configuration that may be old',
}
#: Why a request does not run whose key was given to another customer while it waited.
KEY_MOVED = 'API key was given to another customer before the call was sent'


def digest_key(key: bytes) -> bytes:
    """Return the digest by which an API key is looked up."""
    return hashlib.sha256(key).digest()


class Authenticator:
    """Customers of the configuration in force, by the digests of their keys."""

    def __init__(self) -> None:
        """Know no customer."""
        self.catalog: Catalog | None = None
        self.by_digest: dict[bytes, Customer] = {}

    def find_customer(self, catalog: Catalog, key_digest: bytes) -> Customer | None:
        """Return the customer that holds a key, None if no customer does.

        Examples
        --------
        >>> from tamarackfield.gateway.tests.samples import make_catalog, make_customer
        >>> catalog = make_catalog(customers=[make_customer('acme', 'secret')])
        >>> Authenticator().find_customer(catalog, digest_key(b'secret')).name
        'acme'
        >>> Authenticator().find_customer(catalog, digest_key(b'other')) is None
        True
        """
        if catalog is not self.catalog:
            self._index(catalog)
        return self.by_digest.get(key_digest)

    def _index(self, catalog: Catalog) -> None:
        """Index the keys of a configuration; a key that two customers have belongs to the first."""
        self.catalog = catalog
        self.by_digest = {}
        for customer in (catalog.customers or {}).values():
            for digest in customer.key_digests:
                holder = self.by_digest.setdefault(digest, customer)
                if holder is not customer:
                    bound = logger.bind(version=catalog.version, customer=customer.name, holder=holder.name)
                    bound.warning('api_key_is_duplicate')


class KeyGuard:
    """Decides which requests may run, by their keys and by the proof that the configuration is current.

    Parameters
    ----------
    freshness : FreshnessTracker
        Proof that the configuration in force is current.
    metrics : MetricRegistry
        Metrics.
    authenticator : Authenticator
        Finds the customer of an API key.
    rng : random.Random
        Random source for the spread of retries.
    """

    def __init__(
        self, freshness: FreshnessTracker, metrics: MetricRegistry, authenticator: Authenticator, rng: random.Random
    ) -> None:
        """Store the collaborators."""
        self.freshness = freshness
        self.configuration = freshness.configuration
        self.metrics = metrics
        self.authenticator = authenticator
        self.rng = rng

    async def settle_doubt(self, call: Call, route: Route) -> None:
        """Check the store if a key is unknown and that may be because the configuration is old."""
        if not route.public and self._judge(call)[1] is KeyVerdict.DOUBTFUL:
            await self.freshness.settle_doubt()

    def authenticate(self, call: Call, route: Route) -> Customer | None:
        """Return the customer of a call and record its name in the call; None if there is none.

        Raises
        ------
        RequestError
            If the route needs an API key and the one that the caller sent may not run the request now.
        """
        catalog = self.configuration.catalog
        if catalog is None or catalog.customers is None:
            return None
        customer, verdict = self._judge(call)
        if verdict is not KeyVerdict.ACCEPTED:
            if not route.public:
                raise self._refuse(call, route, verdict, REASONS[verdict])
            # A public request runs without a customer, as its key may have been removed.
            customer = None
        call.customer = '' if customer is None else customer.name
        return customer

    def explain_refusal(self, call_state: CallState) -> str:
        """Return why a call that waited may not be sent any more because of its key, empty if it may."""
        verdict, reason = self._judge_again(call_state)
        return reason and f'{verdict.value} key: {reason}'

    def require_key(self, call_state: CallState) -> None:
        """Refuse a call that has not run if it may not be sent any more because of its key.

        Raises
        ------
        RequestError
            If it may not.
        """
        verdict, reason = self._judge_again(call_state)
        if reason:
            raise self._refuse(call_state.call, call_state.route, verdict, reason)

    def _judge(self, call: Call) -> tuple[Customer | None, KeyVerdict]:
        """Return the customer of a key as of now and what is known of the key."""
        catalog = self.configuration.catalog
        if catalog is None or catalog.customers is None:
            return None, KeyVerdict.ACCEPTED
        customer = self.authenticator.find_customer(catalog, call.key_digest)
        return customer, self.freshness.judge(customer is not None, call.received_at)

    def _judge_again(self, call_state: CallState) -> tuple[KeyVerdict, str]:
        """Return what is known now of the key of an admitted call, and why it may not be sent, empty if it may.

        A call that may have run was sent by its caller while the proof held, so it may go on without a further one.
        """
        call = call_state.call
        if call_state.route.public or call.customer is None:
            return KeyVerdict.ACCEPTED, ''
        customer, verdict = self._judge(call)
        if customer is not None and customer.name != call.customer:
            return KeyVerdict.DOUBTFUL, KEY_MOVED
        if verdict is KeyVerdict.UNPROVEN and call_state.outcome() is not Outcome.NOT_RUN:
            return KeyVerdict.ACCEPTED, ''
        return verdict, REASONS[verdict]

    def _refuse(self, call: Call, route: Route, verdict: KeyVerdict, reason: str) -> RequestError:
        """Log and count a refusal; return its error."""
        catalog = self.configuration.catalog
        self.metrics.count('key_refusals', cause=verdict.value)
        logger.bind(
            request_id=call.request_id,
            route=route.name,
            version=catalog.version if catalog else 0,
            cause=verdict.value,
            reason=reason,
            proof_age_seconds=round(self.freshness.age_seconds(), 3),
            store_age_seconds=round(self.configuration.store_age_seconds(), 3),
        ).info('api_key_refused')
        if verdict is KeyVerdict.UNKNOWN:
            return RequestError(reason, step='authenticate', code='unknown_api_key', status=HTTPStatus.UNAUTHORIZED)
        return RequestError(
            reason,
            step='authenticate',
            code='configuration_not_proven',
            retry_after=self.rng.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS),
        )
