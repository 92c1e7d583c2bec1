"""The platform's names stay in its folder, and nothing but its own programs needs the folder."""

import ast
import pathlib
import re

PACKAGE = pathlib.Path(__file__).parents[2]
#: Names on the platform's wire, in its settings and in its store.
WORDS = re.compile(
    r'(?i:tamarackfield-(request|deadline|expect|server|model|token|prompt|not|instance|weight|hold|pin|kv|length))'
    r'|fencing_token|kv-(watch|range|key)|op/config|traffic_split|max_attempts|path_prefix|serializable|tombstone'
    r'|heartbeat_ms|target_latency|gap_target|adapter_slots|weights_mb|cold_ms|port_range|budget_extra|grace_s\b',
)


def product_sources():
    """Yield the modules of the product that are neither tests, nor stand-ins, nor of the platform's folder."""
    for path in sorted(PACKAGE.rglob('*.py')):
        parts = path.relative_to(PACKAGE).parts
        if parts[0] not in {'platform', 'testing'} and 'tests' not in parts:
            yield path


def test_words_of_the_platform_stand_in_its_folder_only():
    found = [
        f'{path.relative_to(PACKAGE)}: {match.group()}'
        for path in product_sources()
        for match in WORDS.finditer(path.read_text())
    ]
    assert found == []


def test_nothing_else_imports_the_platform():
    importers = [
        path
        for path in sorted(PACKAGE.rglob('*.py'))
        if 'tamarackfield.platform' in imported_modules(path) and 'platform' not in path.relative_to(PACKAGE).parts
    ]
    assert importers == []


def imported_modules(path):
    """Return the packages that a module imports, each cut to two names."""
    tree = ast.parse(path.read_text())
    names = [node.module or '' for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
    names += [alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names]
    return {'.'.join(name.split('.')[:2]) for name in names}


def test_folder_holds_no_state_machine_and_stays_small():
    sources = [path.read_text() for path in (PACKAGE / 'platform').glob('*.py')]
    assert sum(len(source.splitlines()) for source in sources) < 1200
    assert not any(word in source for source in sources for word in ('asyncio.sleep', 'random', 'retry_after='))
