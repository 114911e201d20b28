"""Conformance tables: sentences of the design pages and the rows that play them (docs/conformance.md)."""

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
    """Its rows of one kind as parameters of a test, named as docs/conformance.md names them."""
    return [pytest.param(row, id=row["name"]) for said in sentences(subject) for row in said.get(kind, [])]


def smoothed(series):
    """An exponential mean in closed form: a fifth of each, fading by a fifth with each later one."""
    last = len(series) - 1
    return 0.8**last * series[0] + sum(0.2 * 0.8 ** (last - at) * series[at] for at in range(1, last + 1))


PREDICTORS = {
    "last": lambda s: s[-1],
    "mean": fmean,
    "smooth": smoothed,
    "ten": lambda s: fmean(s[-10:]),
    "median": lambda s: median(s[-10:]),
}


def nws(name, *series):
    """What one predictor forecasts after a series, and the root of its mean squared error so far."""
    missed = [(PREDICTORS[name](series[:at]) - series[at]) ** 2 for at in range(1, len(series))]
    return PREDICTORS[name](series), math.sqrt(fmean(missed))


def figure(wanted):
    """A figure of a row, which may be a plain computation of its own."""
    computed = isinstance(wanted, str) and wanted.startswith("=")
    return eval(wanted[1:], {**vars(math), "nws": nws}) if computed else wanted


def meets(wanted, seen):
    """Whether what was seen is what the row wants: a figure, a list, or within {from, to}."""
    if isinstance(wanted, dict):
        return figure(wanted["from"]) - 1e-9 <= seen <= figure(wanted["to"]) + 1e-9
    wanted = figure(wanted)
    if isinstance(wanted, float | int) and isinstance(seen, float | int):
        return math.isclose(wanted, seen, rel_tol=1e-6, abs_tol=1e-8)
    return wanted == seen


def fills(wanted, seen):
    """Whether values that are left to chance reach both ends of {from, to}."""
    least, most = figure(wanted["from"]), figure(wanted["to"])
    part = (most - least) / 5
    return min(seen) <= least + part and max(seen) >= most - part
