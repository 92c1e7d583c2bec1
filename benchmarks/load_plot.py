"""Draws the figures of several ``bin/bench --json`` runs of one deployment as a PNG.

Run with ``python -m benchmarks.load_plot OUTPUT.png RUN.json ...``.
"""

import json
import pathlib
from typing import Any

import click
import matplotlib as mpl
from matplotlib import pyplot

mpl.use('Agg')

#: Title and reader of each panel.
PANELS = (
    ('p99 load stall (s)', lambda side: side['load_stall_ms']['p99'] / 1000),
    ('total load stall (s)', lambda side: side['load_stall_total_seconds']),
    ('batch efficiency', lambda side: side['batch_efficiency']),
    ('p95 first token (s)', lambda side: side['first_token_ms']['p95'] / 1000),
    ('loads / clairvoyant loads', lambda side: side['loads_against_clairvoyant']),
)
_BAR_WIDTH = 0.4


@click.command()
@click.argument('output', type=click.Path(path_type=pathlib.Path))
@click.argument('runs', nargs=-1, required=True, type=click.Path(exists=True, path_type=pathlib.Path))
def main(output: pathlib.Path, runs: tuple[pathlib.Path, ...]) -> None:
    """Draw policy and baseline side by side, one pair of bars for each run."""
    figures = [json.loads(path.read_text()) for path in runs]
    figure, axes = pyplot.subplots(1, len(PANELS), figsize=(3 * len(PANELS), 3.5))
    for axis, (title, read) in zip(axes, PANELS, strict=True):
        _draw(axis, title, read, figures)
    axes[0].legend(fontsize='small')
    figure.suptitle(figures[0]['deployment'])
    figure.tight_layout()
    figure.savefig(output, dpi=80)


def _draw(axis: Any, title: str, read: Any, figures: list[dict[str, Any]]) -> None:
    places = range(len(figures))
    for offset, side in ((0, 'policy'), (_BAR_WIDTH, 'baseline')):
        heights = [read(run[side]) for run in figures]
        axis.bar([place + offset for place in places], heights, _BAR_WIDTH, label=figures[0][side]['name'])
    axis.set_title(title, fontsize='medium')
    axis.set_xticks([place + _BAR_WIDTH / 2 for place in places])
    axis.set_xticklabels([f'{run["load"]}\nseed {run["seed"]}' for run in figures], fontsize='small')


if __name__ == '__main__':
    main()
