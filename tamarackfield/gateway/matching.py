"""Route lookup by host and path prefix, and weighted choice of a service."""

import random

from tamarackfield.gateway.model import Catalog, Route


class RouteTable:
    """Routes of one catalog by host, longest prefix first.

    Examples
    --------
    >>> from tamarackfield.gateway.tests.samples import make_catalog, make_route
    >>> table = RouteTable(make_catalog(make_route('/a/'), make_route('/a/b/')))
    >>> table.find_route('host.example', '/a/b/c').prefix
    '/a/b/'
    >>> table.find_route('host.example', '/other/') is None
    True
    """

    def __init__(self, catalog: Catalog) -> None:
        """Index the routes by host."""
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(catalog.routes, key=_longest_prefix_first):
            self.routes_by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        Parameters
        ----------
        host : str
            Host that the caller sent, with or without a port.
        path : str
            Path without the query.
        """
        for route in self.routes_by_host.get(strip_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def strip_port(host: str) -> str:
    """Return the host of a request without its port.

    Examples
    --------
    >>> strip_port('site.example:8080'), strip_port('[2001:db8::1]:8080'), strip_port('[2001:db8::1]')
    ('site.example', '[2001:db8::1]', '[2001:db8::1]')
    >>> strip_port('2001:db8::1')
    '2001:db8::1'
    """
    if host.startswith('['):
        return f'{host.partition("]")[0]}]'
    name, _, port = host.partition(':')
    # More than one colon without brackets is an IPv6 number, which states no port.
    return host if ':' in port else name


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a service of a route, drawn by the weights of its split."""
    names = [name for name, _ in route.splits]
    if len(names) == 1:
        return names[0]
    return rng.choices(names, [weight for _, weight in route.splits])[0]
