"""Regression runs: scores sites with the users' bench, one after the other, beside the figures kept in a page.

The page is a Markdown table with one row for each site and kind of score. Its rows name the sites that are played by
default. The bench and the site files are not part of this repository.
"""

import pathlib
import re
import subprocess
import sys
from dataclasses import dataclass, field

import click

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'design' / 'regression.md'
#: Directory of the site files, and the bench in it, relative to this repository.
SYSTEM_DIRECTORY = pathlib.Path('..', 'given', 'kit', 'more', 'system')
BENCH = SYSTEM_DIRECTORY / 'more' / 'bench-d17393' / 'bin' / 'fleetbench'
FULL, QUICK = 'full', 'quick'
#: Line for the journal of the bench.
JOURNAL_LINE = 'Regression run'
#: Difference of two scores or worths below which the bench calls it noise.
NOISE = 0.03
_SCORE_LINE = re.compile(r'^score on .* of (?P<site>\S+) \(.*\): (?P<score>-?[\d.]+)', re.MULTILINE)
_DAY_LINE = re.compile(r'^(?P<day>\S+)\s+\d+/\d+\s+-?[\d.]+\s+(?P<worth>-?[\d.]+)\s', re.MULTILINE)
_GATE_LINE = re.compile('^GATE (?P<gate>passed|failed)', re.MULTILINE)


class OutputError(Exception):
    """The output of the bench has no score, or the page has a malformed row."""


@dataclass(slots=True)
class SiteScore:
    """Score of one site.

    Parameters
    ----------
    site : str
        Path of the site file below the directory of the site files, without its suffix.
    kind : str
        ``full`` or ``quick``.
    gate : str
        ``passed`` or ``failed``.
    score : float
        Score on the standard days.
    worths : dict
        Worth of each standard day, by its name.
    """

    site: str
    kind: str
    gate: str
    score: float
    worths: dict[str, float] = field(default_factory=dict)

    def format_row(self) -> str:
        """Return the row of the page."""
        worths = ', '.join(f'{day} {worth:.3f}' for day, worth in self.worths.items())
        return f'| {self.site} | {self.kind} | {self.gate} | {self.score:.3f} | {worths} |'


def parse_output(output: str, site: str, kind: str) -> SiteScore:
    """Parse the output of one score; days drawn for this run alone are left out.

    Raises
    ------
    OutputError
        If there is no score or no gate, as when the build fails or days were given up.
    """
    score, gate = _SCORE_LINE.search(output), _GATE_LINE.search(output)
    if score is None or gate is None:
        raise OutputError(f'{site}: the bench printed no score:\n{output}')
    worths = {match['day']: float(match['worth']) for match in _DAY_LINE.finditer(output)}
    standard = {day: worth for day, worth in worths.items() if not day.startswith('fresh')}
    return SiteScore(site, kind, gate['gate'], float(score['score']), standard)


def parse_page(text: str) -> dict[tuple[str, str], SiteScore]:
    """Return the scores in a page, by site and kind.

    Raises
    ------
    OutputError
        If a row has a malformed figure.
    """
    scores = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip('| ').split('|')]
        if len(cells) != 5 or cells[1] not in {FULL, QUICK}:
            continue
        try:
            scores[cells[0], cells[1]] = _parse_row(cells)
        except ValueError as exc:
            raise OutputError(f'row of the page is malformed: {line}: {exc}') from exc
    return scores


def _parse_row(cells: list[str]) -> SiteScore:
    pairs = [item.split() for item in cells[4].split(', ')]
    worths = {day: float(worth) for day, worth in pairs}
    return SiteScore(cells[0], cells[1], cells[2], float(cells[3]), worths)


def update_page(text: str, measured: SiteScore) -> str:
    """Return the page with the row of a score replaced, or added after the last row of its table."""
    lines = text.splitlines()
    start = f'| {measured.site} | {measured.kind} |'
    rows = [number for number, line in enumerate(lines) if line.startswith('| ')]
    replaced = [number for number in rows if lines[number].startswith(start)]
    if replaced:
        lines[replaced[0]] = measured.format_row()
    else:
        lines.insert(max(rows, default=len(lines) - 1) + 1, measured.format_row())
    return '\n'.join((*lines, ''))


def compare(kept: SiteScore | None, measured: SiteScore) -> str:
    """Return one line on a site: its gate, score and worths, each beside the kept figure."""
    parts = [f'score {_beside(measured.score, kept and kept.score)}']
    for day, worth in measured.worths.items():
        parts.append(f'{day} {_beside(worth, kept and kept.worths.get(day))}')
    return f'{measured.site} ({measured.kind}): gate {measured.gate}; {"; ".join(parts)}'


def _beside(figure: float, kept: float | None) -> str:
    if kept is None:
        return f'{figure:.3f}'
    mark = ' LOWER' if figure <= kept - NOISE else ''
    return f'{figure:.3f} ({kept:.3f}){mark}'


def _play(site: str, kind: str, jobs: int) -> str:
    command = [str(BENCH), 'score', str(SYSTEM_DIRECTORY / f'{site}.toml'), '--jobs', str(jobs), '--why', JOURNAL_LINE]
    if kind == QUICK:
        command.append('--quick')
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return completed.stdout + completed.stderr


@click.command()
@click.argument('sites', nargs=-1)
@click.option('--quick', is_flag=True, help='Play only the light days of each site.')
@click.option('--jobs', default=3, show_default=True, help='Days that the bench plays at once.')
@click.option('--record', is_flag=True, help='Write the figures to the page.')
def main(sites: tuple[str, ...], quick: bool, jobs: int, record: bool) -> None:
    """Score SITES, or those of the page, and print one line for each beside the kept figures.

    A site is the path of its file below the directory of the site files, without ``.toml``. The exit code is 1 if a
    gate failed or a site could not be played.
    """
    kind = QUICK if quick else FULL
    kept = parse_page(PAGE.read_text())
    chosen = sites or tuple(site for site, row_kind in kept if row_kind == kind)
    failed = False
    for site in chosen:
        try:
            measured = parse_output(_play(site, kind, jobs), site, kind)
        except OutputError as exc:
            click.echo(str(exc), err=True)
            failed = True
            continue
        click.echo(compare(kept.get((site, kind)), measured))
        failed = failed or measured.gate != 'passed'
        if record:
            PAGE.write_text(update_page(PAGE.read_text(), measured))
    sys.exit(int(failed))


if __name__ == '__main__':
    main()
