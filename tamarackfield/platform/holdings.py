"""What workers say that they hold, in their entries in the store and in their reports."""

from typing import Any

#: What decoding raises on bytes or fields that make no sense.
MALFORMED = (AttributeError, LookupError, TypeError, ValueError, RecursionError)


def read_holdings(models: list[dict[str, Any]]) -> list[str]:
    """Return what a worker holds: each model, and each adapter as ``model/adapter@version``.

    Examples
    --------
    >>> read_holdings([{'name': 'base', 'version': 1, 'adapters': ['a3@2']}])
    ['base', 'base/a3@2']
    """
    held = []
    for model in models:
        name = model['name']
        held.append(name)
        held.extend(f'{name}/{adapter}' for adapter in model.get('adapters', []))
    return held
