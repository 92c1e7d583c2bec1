"""Cuts single programs of a test cluster off from bundles."""

from tamarackfield.testing.cluster import Cluster, address


def isolate(cluster: Cluster, name: str) -> tuple[str, str]:
    """Put fault proxies before a program's bundle listener and between it and the service.

    Parameters
    ----------
    cluster : Cluster
        Not started yet.
    name : str
        The program.

    Returns
    -------
    tuple of str
        Names of the two proxies, for `Cluster.control`.
    """
    settings = cluster.processes[name].settings
    listener = address(cluster.ports[f'{name}-bundle'])
    settings['peer_advertise'] = cluster.add_proxy(f'{name}-bundle-proxy', listener)
    cluster.peers[cluster.peers.index(listener)] = settings['peer_advertise']
    service = cluster.add_proxy(f'{name}-service-proxy', address(cluster.ports['configuration']))
    settings['configuration_service'] = [service]
    return f'{name}-bundle-proxy', f'{name}-service-proxy'
