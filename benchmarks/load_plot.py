"""Plots the results of several ``bin/bench --json`` runs of one deployment as a PNG image.

Run with ``python -m benchmarks.load_plot OUTPUT.png RUN.json ...``.
"""

import json
import pathlib
from typing import Any

import click
import matplotlib as mpl
from matplotlib import pyplot

mpl.use('Agg')

#: Title of each panel and function that reads its value from one side of a run.
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
    """Plot policy and baseline side by side, with one pair of bars for each run."""
    run_results = [json.loads(path.read_text()) for path in runs]
    figure, axes = pyplot.subplots(1, len(PANELS), figsize=(3 * len(PANELS), 4))
    for axis, (title, read_value) in zip(axes, PANELS, strict=True):
        _draw_panel(axis, title, read_value, run_results)
    axes[-1].legend(fontsize='small')
    figure.suptitle(run_results[0]['deployment'])
    figure.tight_layout()
    figure.savefig(output, dpi=80)


def _draw_panel(axis: Any, title: str, read_value: Any, run_results: list[dict[str, Any]]) -> None:
    positions = range(len(run_results))
    for offset, side in ((0, 'policy'), (_BAR_WIDTH, 'baseline')):
        heights = [read_value(run[side]) for run in run_results]
        axis.bar([position + offset for position in positions], heights, _BAR_WIDTH, label=side)
    axis.set_title(title, fontsize='medium')
    axis.set_xticks([position + _BAR_WIDTH / 2 for position in positions])
    axis.set_xticklabels([f'{run["load"]} {run["seed"]}' for run in run_results], fontsize='small', rotation=60)


if __name__ == '__main__':
    main()
