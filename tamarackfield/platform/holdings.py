"""Models and adapters that workers list as resident, in their entries in the store and in their reports."""

from typing import Any

from tamarackfield.core.fields import require_list, require_text
from tamarackfield.platform.headers import parse_number


def require_adapter(field: Any) -> str:
    """Return the name of an adapter, whose version, if it names one, is a number.

    Raises
    ------
    TypeError, ValueError
        If it is not.

    Examples
    --------
    >>> require_adapter('a3@2')
    'a3@2'
    """
    name = require_text(field)
    _, separator, version = name.partition('@')
    if separator and parse_number(version) is None:
        raise ValueError('adapter has no numeric version')
    return name


def read_holdings(models: Any) -> list[str]:
    """Return the names of the resident models, and of the resident adapters as ``model/adapter@version``.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the list is malformed.

    Examples
    --------
    >>> read_holdings([{'name': 'base', 'version': 1, 'adapters': ['a3@2']}])
    ['base', 'base/a3@2']
    """
    holdings = []
    for model in require_list(models):
        name = require_text(model['name'])
        holdings.append(name)
        adapters = require_list(model.get('adapters', []))
        holdings.extend(f'{name}/{require_adapter(adapter)}' for adapter in adapters)
    return holdings
