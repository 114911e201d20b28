"""Conformance tables: sentences of the design pages and the rows that check them (docs/conformance.md)."""

import math
import tomllib
from pathlib import Path
from statistics import fmean, median

import pytest

HERE = Path(__file__).parent


def sentences(subject):
    """Each sentence of a table, {says, from, row: [...]} or {says, from, not_played: why}."""
    return tomllib.loads((HERE / f"{subject}.toml").read_text())["sentence"]


def rows(subject, kind="row"):
    """The rows of one kind in a table as parameters of a test, named as docs/conformance.md names them."""
    return [
        pytest.param(row, id=row["name"]) for sentence in sentences(subject) for row in sentence.get(kind, [])
    ]


def exponential_mean(series):
    """An exponentially weighted mean in closed form, with a weight of 0.2 for the newest."""
    last = len(series) - 1
    return 0.8**last * series[0] + sum(0.2 * 0.8 ** (last - i) * series[i] for i in range(1, last + 1))


PREDICTORS = {
    "last": lambda s: s[-1],
    "mean": fmean,
    "smooth": exponential_mean,
    "ten": lambda s: fmean(s[-10:]),
    "median": lambda s: median(s[-10:]),
}


def nws(name, *series):
    """What one predictor forecasts after a series, and its root mean square error so far."""
    squared_errors = [(PREDICTORS[name](series[:i]) - series[i]) ** 2 for i in range(1, len(series))]
    return PREDICTORS[name](series), math.sqrt(fmean(squared_errors))


def figure(wanted):
    """A figure of a row; a text that begins with "=" is computed."""
    is_computed = isinstance(wanted, str) and wanted.startswith("=")
    return eval(wanted[1:], {**vars(math), "nws": nws}) if is_computed else wanted


def meets(wanted, seen):
    """Whether what was seen is what the row wants: a figure, a list, or a value within {from, to}."""
    if isinstance(wanted, dict):
        return figure(wanted["from"]) - 1e-9 <= seen <= figure(wanted["to"]) + 1e-9
    wanted = figure(wanted)
    if isinstance(wanted, float | int) and isinstance(seen, float | int):
        return math.isclose(wanted, seen, rel_tol=1e-6, abs_tol=1e-8)
    return wanted == seen


def fills(wanted, seen):
    """Whether values that depend on the seed come within a fifth of both ends of {from, to}."""
    least, most = figure(wanted["from"]), figure(wanted["to"])
    margin = (most - least) / 5
    return min(seen) <= least + margin and max(seen) >= most - margin
