"""Names of the platform occur only in its folder, and no other folder of the product imports it."""

import ast
import pathlib
import re

PACKAGE = pathlib.Path(__file__).parents[2]
#: Names in the platform's messages, settings and store.
PLATFORM_NAMES = re.compile(
    r'(?i:tamarackfield-(request|deadline|expect|server|model|token|prompt|not|instance|weight|hold|pin|kv|length))'
    r'|fencing_token|kv-(watch|range|key)|op/config|traffic_split|max_attempts|path_prefix|serializable|tombstone'
    r'|heartbeat_ms|target_latency|gap_target|adapter_slots|weights_mb|cold_ms|port_range|budget_extra|grace_s\b',
)


def product_sources():
    """Yield the source files of the product without tests, stand-ins and the platform's folder."""
    for path in sorted(PACKAGE.rglob('*.py')):
        parts = path.relative_to(PACKAGE).parts
        if parts[0] not in {'platform', 'testing'} and 'tests' not in parts:
            yield path


def test_platform_names_occur_only_in_the_platform_folder():
    occurrences = [
        f'{path.relative_to(PACKAGE)}: {match.group()}'
        for path in product_sources()
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert occurrences == []


def test_no_other_folder_imports_the_platform_folder():
    importers = [
        path
        for path in sorted(PACKAGE.rglob('*.py'))
        if 'tamarackfield.platform' in imported_modules(path) and 'platform' not in path.relative_to(PACKAGE).parts
    ]
    assert importers == []


def imported_modules(path):
    """Return the modules that a source file imports, each shortened to its first two parts."""
    tree = ast.parse(path.read_text())
    names = [node.module or '' for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
    names += [alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names]
    return {'.'.join(name.split('.')[:2]) for name in names}


def test_platform_folder_has_no_state_machine_and_stays_small():
    sources = [path.read_text() for path in (PACKAGE / 'platform').glob('*.py')]
    assert sum(len(source.splitlines()) for source in sources) < 1200
    assert not any(word in source for source in sources for word in ('asyncio.sleep', 'random', 'retry_after='))
