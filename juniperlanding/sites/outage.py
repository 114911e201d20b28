"""Sites that are believed lost: what was foretold of each, what came, and what earlier projections missed.
No I/O, clock or trio.

`Outages.tick(members, projected, now)` moves states on; `said` gets what staff are to read."""

from dataclasses import dataclass, field
from math import hypot

from juniperlanding.choice import MIN_SAMPLES, SEC, TIMEOUT_ERROR_FACTOR, add_sample
from juniperlanding.series import Series
from juniperlanding.sites.figures import SPAN
from juniperlanding.sites.project import MILLI, Estimate, Projection, together

WHOLE, LOST = "whole", "lost"
SETTLES = (SPAN + 2) * SEC  # from the loss until told rates are of the outage alone
WINDOW = 4 * SEC  # between two comparisons of a projection with what came
MOST_SITES = 256
PPM = 1_000_000
MEASURES = ("refused", "late", "lost", "crossings")


@dataclass
class Outage:
    """One loss: since when, what had been foretold, what came; rest: (measure, topic) -> the forecaster's
    record of what is seen in it; missed: by how much, as shares of what was handed in."""

    since: int
    foretold: Projection
    next_at: int
    seen: dict = field(default_factory=dict)  # (measure, topic) -> (mean a second, looks)
    missed: dict = field(default_factory=dict)
    rest: dict = field(default_factory=dict)
    held: int = 0
    compared: int = 0


@dataclass
class Site:
    name: str
    state: str = WHOLE
    since: int = 0
    latest: Projection | None = None  # made while somebody there lived, from figures that were believed
    outage: Outage | None = None


class Outages:
    def __init__(self):
        # What was missed, as shares of what was handed in: once an outage, and once in each window of one.
        self.sites, self.errors, self.windows, self.said = {}, {}, {}, []

    def tick(self, members, projected, now):
        """members: `project.Member` of all; projected: site -> Projection of its loss."""
        for name in sorted({m.site for m in members if m.site} | self.sites.keys()):
            if name not in self.sites and len(self.sites) >= MOST_SITES:
                continue  # threat: names of sites without end; the first ones stay
            site = self.sites.setdefault(name, Site(name, since=now))
            there = [m for m in members if m.site == name]
            lives = any(m.lives for m in there)
            if there and not lives and site.state == WHOLE:
                self.is_lost(site, projected.get(name), now)
            elif lives and site.state == LOST:
                self.is_back(site, now)
            elif site.state == LOST:
                self.look(site, members, now)
            if lives and (made := projected.get(name)):
                if all(m.lives for m in there) or site.latest is None:
                    site.latest = made
            if not there and site.state == WHOLE:
                del self.sites[name]

    def is_lost(self, site, projected, now):
        """Threat: some of it were seen dead before others; what was projected while all lived counts."""
        foretold = site.latest or projected or Projection(site.name, nothing="nothing was known")
        site.state, site.since = LOST, now
        site.outage = Outage(now, foretold, now + SETTLES)
        self.said.append(("believed lost", {"site": site.name, **summary(foretold)}))

    def is_back(self, site, now):
        out, site.state, site.since, site.outage = site.outage, WHOLE, now, None
        for key, (mean, _) in out.missed.items():
            add_sample(self.errors.setdefault(key, Series()), int(mean * PPM))
        figures = {"site": site.name, "after_s": f"{(now - out.since) / SEC:.1f}"} | summary(out.foretold)
        if out.seen:
            for measure in ("refused", "lost", "crossings"):
                came = sum(mean for (kind, _), (mean, _) in out.seen.items() if kind == measure)
                figures[f"seen_{measure}"] = f"{came:.2f}"
            figures["held"] = f"{out.held}/{out.compared}"
        else:
            figures["seen"] = "too short to tell"
        self.said.append(("is back", figures))

    def look(self, site, members, now):
        """Once in a window: what came against what was foretold; the error feeds the next projection."""
        out = site.outage
        if now < out.next_at or out.foretold.nothing:
            return
        out.next_at = now + WINDOW
        if sum(other.state == LOST for other in self.sites.values()) > 1:
            return  # threat: what two losses cost is held against the projection of one
        came = seen(members)
        for name, line in out.foretold.topics.items():
            if name in came:
                came[name]["lost"] = came[name]["late"] + came[name]["refused"] * line.whole
        for name, line in out.foretold.topics.items():
            if name not in came:
                continue
            for measure in MEASURES:
                worth = line.whole if measure in ("late", "lost") else 1.0
                value, offered = came[name][measure], line.offered * worth
                mean, looks = out.seen.get((measure, name), (0.0, 0))
                out.seen[measure, name] = (mean + (value - mean) / (looks + 1), looks + 1)
                add_sample(out.rest.setdefault((measure, name), Series()), int(value * PPM))
                estimate = getattr(line, measure)
                out.held, out.compared = out.held + estimate.holds(value), out.compared + 1
                if offered:
                    # Against the model alone: a mended projection that holds would unlearn what mended it.
                    missed = (value - estimate.model) / offered
                    mean, looks = out.missed.get((measure, name), (0.0, 0))
                    out.missed[measure, name] = mean + (missed - mean) / (looks + 1), looks + 1
                    add_sample(self.windows.setdefault((measure, name), Series()), int(missed * PPM))

    def error(self, measure, name):
        """(bias, root of the MSE, how many) of earlier projections, as shares; None while there are too
        few.

        Threat: windows of one outage miss alike, and a projection mended by them misses the next one the
        other way; so they make the band alone, and only whole outages mend."""
        series, windows = self.errors.get((measure, name)), self.windows.get((measure, name))
        if series and series.samples >= MIN_SAMPLES:
            return series.forecast / PPM, series.rmse / PPM, series.samples
        if windows and windows.samples >= MIN_SAMPLES:
            return 0.0, hypot(windows.forecast, windows.rmse) / PPM, windows.samples
        return None

    def rest(self, site):
        """(measure, topic) -> Estimate of each second that the outage goes on, from what is seen in it."""
        out = self.sites[site].outage if site in self.sites else None
        return {
            key: Estimate(
                s.forecast / PPM,
                max(0.0, (s.forecast - TIMEOUT_ERROR_FACTOR * s.rmse) / PPM),
                (s.forecast + TIMEOUT_ERROR_FACTOR * s.rmse) / PPM,
                s.samples,
            )
            for key, s in (out.rest.items() if out else ())
            if s.samples >= MIN_SAMPLES
        }


def seen(members):
    """What the living say of themselves, by topic type, a second."""
    came = {}
    for member in members:
        for kind in member.figures.kinds if member.lives and member.figures else ():
            into = came.setdefault(kind.name, dict.fromkeys((*MEASURES, "taken"), 0.0))
            for measure, amount in (
                ("refused", kind.refused),
                ("late", kind.late),
                ("taken", kind.taken),
                ("crossings", kind.crossed),
            ):
                into[measure] += amount / MILLI
    return came


def summary(made):
    """A projection in the figures of one log line."""
    if made.nothing:
        return {"foretold": "unknown", "why": made.nothing}
    lines = made.topics.values()
    figures = {"load": f"{made.load:.1f}", "over": f"{made.over:.2f}"}
    for measure in ("refused", "lost", "crossings"):
        figures[measure] = shown(together([getattr(line, measure) for line in lines]))
    figures |= {"price": shown(made.price) if made.price else "unknown"}
    figures |= {"stranded": made.stranded} if made.stranded else {}
    figures |= {"unknown": made.unknown} if made.unknown else {}
    return figures | {"rests_on": made.rests_on, "oldest_s": f"{made.oldest / SEC:.1f}"}


def shown(estimate):
    return f"{estimate.value:.2f}[{estimate.least:.2f},{estimate.most:.2f}]"
