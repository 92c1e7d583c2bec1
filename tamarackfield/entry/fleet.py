"""The targets of the bundle in force and this entry's links to them."""

import asyncio
import random
from collections.abc import Callable, Iterable

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import Application, RequestError
from tamarackfield.entry.links import Link
from tamarackfield.policy import ROUTERS, Router, RoutingRequest
from tamarackfield.policy.routing import DEFAULT_ROUTER

MakeLink = Callable[[TargetEntry], Link]


class Fleet:
    """Keeps a link to each target and chooses among them.

    Parameters
    ----------
    application : Application
        Owner of the link tasks.
    make_link : callable
        Builds a link to a target.
    """

    def __init__(self, application: Application, make_link: MakeLink) -> None:
        """Start without targets."""
        self.application = application
        self.make_link = make_link
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.router: Router = ROUTERS[DEFAULT_ROUTER]()
        self.router_name = DEFAULT_ROUTER
        self.rng = random.Random()

    def apply(self, bundle: Bundle) -> None:
        """Follow the targets and the policy of a bundle."""
        stale = [name for name, link in self.links.items() if bundle.targets.get(name) != link.target]
        for name in stale:
            self.links.pop(name)
            self.tasks.pop(name).cancel()
        for name, target in bundle.targets.items():
            if name not in self.links:
                self.links[name] = self.make_link(target)
                self.tasks[name] = self.application.spawn(self.links[name].run(), f'link-{name}')
        router_name = bundle.policy.get('routing', DEFAULT_ROUTER)
        if router_name != self.router_name:
            self.router = ROUTERS[router_name]()
            self.router_name = router_name

    def choose(self, request: RoutingRequest, targets: Iterable[TargetEntry], tried: set[str]) -> Link:
        """Choose the link over which a request goes.

        Parameters
        ----------
        request : RoutingRequest
            What is to be placed.
        targets : iterable of TargetEntry
            Those allowed.
        tried : set of str
            Targets that already failed this request.

        Returns
        -------
        Link
            Usable at this moment.

        Raises
        ------
        RequestError
            With outcome ``not_run`` if there is none.
        """
        links = [self.links[target.name] for target in targets if target.name in self.links]
        usable = [link for link in links if link.usable and link.target.name not in tried]
        if not usable:
            raise RequestError(
                'no target that may serve this request is reachable',
                step='route',
                code='no_target',
                retry_after=1,
            )
        chosen = self.router(request, [link.view() for link in usable], self.rng)
        return self.links[chosen.name]
