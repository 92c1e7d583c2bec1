"""The documentation pages agree with the code."""

import ast
import pathlib

from tamarackfield.cli.pages import PAGES
from tamarackfield.observe.metrics import METRICS

ROOT = pathlib.Path(__file__).parents[3]
DOCS = ROOT / 'docs'
#: Position of the error code in calls that pass it as a positional argument.
CODE_POSITIONS = {'Fail': 3, 'Refuse': 1, 'refuse_waiting': 0, '_refusal_error': 1}


def read_sources():
    """Yield the syntax tree of each module that can answer callers."""
    for path in sorted((ROOT / 'tamarackfield').rglob('*.py')):
        if 'tests' not in path.parts and 'testing' not in path.parts:
            yield ast.parse(path.read_text())


def find_codes(tree):
    """Yield the error codes that a module uses."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            codes = [keyword.value for keyword in node.keywords if keyword.arg == 'code']
            position = CODE_POSITIONS.get(getattr(node.func, 'id', getattr(node.func, 'attr', '')))
            if position is not None:
                codes.extend(node.args[position : position + 1])
            yield from (code.value for code in codes if isinstance(code, ast.Constant))


def test_generated_pages_are_up_to_date():
    outdated_pages = [name for name, render_page in PAGES.items() if (DOCS / name).read_text() != render_page()]
    assert outdated_pages == [], 'run bin/generate-docs'


def test_every_error_code_is_on_the_callers_page():
    page = (DOCS / 'callers.md').read_text()
    codes = {code for tree in read_sources() for code in find_codes(tree)}
    assert len(codes) > 20
    assert {code for code in codes if f'| `{code}` |' not in page} == set()
    errors = page.partition('| code | status |')[2]
    listed = {line.split('`')[1] for line in errors.splitlines() if line.startswith('| `')}
    assert listed - codes == set()


def test_alarm_pages_name_metrics_that_exist():
    pages = list((DOCS / 'operators' / 'alarms').glob('*.md'))
    metrics_in_pages = {
        metric for page in pages for metric in page.read_text().split('`')[1::2] if metric.startswith('metric:')
    }
    assert pages
    assert {metric.removeprefix('metric:') for metric in metrics_in_pages} <= set(METRICS)


def test_every_relative_link_resolves():
    broken = []
    for page in DOCS.rglob('*.md'):
        for link in page.read_text().split('](')[1:]:
            target = link.partition(')')[0].partition('#')[0]
            if target and '://' not in target and not (page.parent / target).exists():
                broken.append(f'{page.name}: {target}')
    assert broken == []


def test_every_disabled_rule_has_its_reason_on_the_style_page():
    settings = (ROOT / '.flake8').read_text()
    ignored = next(line for line in settings.splitlines() if line.startswith('ignore = '))
    page = (DOCS / 'style.md').read_text()
    assert [rule for rule in ignored.removeprefix('ignore = ').split(', ') if f'`{rule}`' not in page] == []
