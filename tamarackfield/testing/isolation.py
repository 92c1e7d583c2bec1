"""Fault proxies that can isolate one program of a test cluster from all sources of bundles."""

from tamarackfield.testing.cluster import Cluster, address


def isolate_from_bundles(cluster: Cluster, name: str) -> tuple[str, str]:
    """Route the bundle listener of a program and its path to the configuration service through fault proxies.

    Parameters
    ----------
    cluster : Cluster
        Cluster that is not started yet.
    name : str
        Name of the program.

    Returns
    -------
    tuple of str
        Names of the proxies before the bundle listener and before the service, for `Cluster.control`.
    """
    settings = cluster.processes[name].settings
    listener = address(cluster.ports[f'{name}-bundle'])
    settings['peer_advertise'] = cluster.add_proxy(f'{name}-bundle-proxy', listener)
    cluster.peers[cluster.peers.index(listener)] = settings['peer_advertise']
    service = cluster.add_proxy(f'{name}-service-proxy', address(cluster.ports['configuration']))
    settings['configuration_service'] = [service]
    return f'{name}-bundle-proxy', f'{name}-service-proxy'
