"""Route lookup by the host that callers send."""

import pytest

from tamarackfield.gateway.matching import RouteTable
from tamarackfield.gateway.tests.samples import make_catalog, make_route


@pytest.mark.parametrize(
    ('route_host', 'host'),
    [
        ('site.example', 'Site.Example:8080'),
        ('2001:db8::1', '2001:db8::1'),
        ('[2001:db8::1]', '[2001:db8::1]'),
        ('[2001:db8::1]', '[2001:DB8::1]:8080'),
    ],
)
def test_host_matches_with_and_without_a_port(route_host, host):
    table = RouteTable(make_catalog(make_route('/a/', host=route_host)))
    assert table.find_route(host, '/a/x') is not None
