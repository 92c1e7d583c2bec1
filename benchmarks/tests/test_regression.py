"""Regression runs: reading of the bench's output and of the page, and their comparison."""

import pytest

from benchmarks.regression import FULL, OutputError, SiteScore, compare, parse_output, parse_page, update_page

OUTPUT = """built in 7.0 s; 22521 lines in 224 files
trouble-1 is played, after 54 s
score on the standard days of meadow (set 7408dd0d): 0.919
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                17/16   0.79  0.849  0.993   0.000  0.009  worst class 0.92; prices 0.127
trouble-1              17/16   0.99 -0.029  0.906   0.003  0.052  worst windows 0.40; prices 0.139
fresh-9125             17/16   0.88  0.555  0.860   0.007  0.061  worst windows 0.31; prices 0.156
GATE passed
"""
PAGE = """# Figures

| site | kind | gate | score | worth of the days |
|---|---|---|---|---|
| a/meadow | full | passed | 0.900 | quiet-1 0.850, trouble-1 0.100 |

Text below.
"""


def test_score_gate_and_worths_are_read_without_the_fresh_day():
    score = parse_output(OUTPUT, 'a/meadow', FULL)
    assert score == SiteScore('a/meadow', FULL, 'passed', 0.919, {'quiet-1': 0.849, 'trouble-1': -0.029})


@pytest.mark.parametrize('missing', ['score on', 'GATE'])
def test_output_without_a_score_or_a_gate_is_an_error(missing):
    output = '\n'.join(line for line in OUTPUT.splitlines() if not line.startswith(missing))
    with pytest.raises(OutputError):
        parse_output(output, 'a/meadow', FULL)


def test_row_of_a_site_is_replaced_and_a_new_one_added_to_the_table():
    measured = parse_output(OUTPUT, 'a/meadow', FULL)
    page = update_page(update_page(PAGE, measured), SiteScore('b/dale', FULL, 'failed', 0.5, {'quiet-1': 0.6}))
    scores = parse_page(page)
    assert list(scores) == [('a/meadow', FULL), ('b/dale', FULL)]
    assert scores['a/meadow', FULL] == measured
    assert page.endswith('\n\nText below.\n')


def test_figure_that_is_lower_by_more_than_noise_is_marked():
    measured = parse_output(OUTPUT, 'a/meadow', FULL)
    line = compare(parse_page(PAGE)['a/meadow', FULL], measured)
    assert line == (
        'a/meadow (full): gate passed; score 0.919 (0.900); quiet-1 0.849 (0.850); trouble-1 -0.029 (0.100) LOWER'
    )
    assert compare(None, measured) == 'a/meadow (full): gate passed; score 0.919; quiet-1 0.849; trouble-1 -0.029'


def test_malformed_row_is_an_error():
    with pytest.raises(OutputError):
        parse_page(PAGE.replace('0.850', 'high'))
