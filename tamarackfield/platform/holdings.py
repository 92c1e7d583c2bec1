"""Models and adapters that workers list as resident, in their entries in the store and in their reports."""

from typing import Any

#: Exceptions raised when malformed bytes or fields are decoded.
MALFORMED = (AttributeError, LookupError, TypeError, ValueError, RecursionError)


def read_holdings(models: list[dict[str, Any]]) -> list[str]:
    """Return the names of the resident models, and of the resident adapters as ``model/adapter@version``.

    Examples
    --------
    >>> read_holdings([{'name': 'base', 'version': 1, 'adapters': ['a3@2']}])
    ['base', 'base/a3@2']
    """
    holdings = []
    for model in models:
        name = model['name']
        holdings.append(name)
        holdings.extend(f'{name}/{adapter}' for adapter in model.get('adapters', []))
    return holdings
