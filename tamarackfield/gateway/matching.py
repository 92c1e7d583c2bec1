"""Which route a request takes, and which service of a split."""

import random

from tamarackfield.gateway.model import Catalog, Route


class RouteTable:
    """Routes of one catalog by host, longest prefix first.

    Examples
    --------
    >>> from tamarackfield.gateway.tests.samples import make_catalog, make_route
    >>> table = RouteTable(make_catalog(make_route('/a/'), make_route('/a/b/')))
    >>> table.find('host.example', '/a/b/c').prefix
    '/a/b/'
    >>> table.find('host.example', '/other/') is None
    True
    """

    def __init__(self, catalog: Catalog) -> None:
        """Sort the routes."""
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(catalog.routes, key=_longest_first):
            self.by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        Parameters
        ----------
        host : str
            As the caller sent it, with or without a port.
        path : str
            Path without its query.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        for route in self.by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.prefix)


def choose_service(route: Route, rng: random.Random) -> str:
    """Draw a service of a route by the weights of its split."""
    names = [name for name, _ in route.splits]
    if len(names) == 1:
        return names[0]
    return rng.choices(names, [weight for _, weight in route.splits])[0]
