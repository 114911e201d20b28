"""How one shard's live bytes will grow, by the program's own forecaster.

Each second a `Growth` is told what was written, what ended and what is live, in bytes.  Three records are
forecast with `choice.add_sample`, fields as the forecaster's of a destination: what comes in a second, by
how much live grows in it, and how long a byte stays (live over what ended, in ns).  A record's error is that
of one second; over several seconds errors add as the roots of their squares do."""

from juniperlanding.choice import MIN_SAMPLES, SEC, add_sample
from juniperlanding.series import Series

BAND = 2  # roots of the MSE from the forecast to the earlier edge
FAR = 24 * 3600  # seconds; later than this is never


class Record(Series):
    """A series with the band over it."""

    def edge(self, seconds=1):
        """The upper edge of the sum over so many seconds, or None while there are too few samples."""
        if self.samples < MIN_SAMPLES:
            return None
        return self.forecast * seconds + BAND * self.rmse * seconds**0.5


class Growth:
    """`come`, `grown`: bytes a second; `stay`: ns; `live`: bytes."""

    def __init__(self):
        self.come, self.grown, self.stay = Record(), Record(), Record()
        self.live, self.sampled = 0, 0

    def sample(self, written, ended, live):
        """What was written and ended in the last second, and what is live now, in bytes."""
        if self.sampled:
            add_sample(self.come, written)
            add_sample(self.grown, live - self.live)
            if ended > 0:
                add_sample(self.stay, (live + self.live) // 2 * SEC // ended)
        self.live, self.sampled = live, self.sampled + 1

    def settles(self):
        """The upper edge of the live bytes at which it comes to rest if what comes and stays goes on as
        forecast; None while that cannot be told."""
        if min(self.come.samples, self.stay.samples) < MIN_SAMPLES:
            return None
        seconds = max(1.0, (self.stay.forecast + BAND * self.stay.rmse) / SEC)
        return self.come.edge(seconds)

    def at(self, seconds):
        """The upper edge of the live bytes in so many seconds; what is live now while nothing is known.

        Threat: a short peak; what is owed ends, so growth goes no further than to where it comes to rest,
        and beyond that only as far as it varies while a byte stays."""
        if self.grown.samples < MIN_SAMPLES:
            return self.live
        reached, rest = self.live + max(0.0, self.grown.edge(seconds)), self.settles()
        if rest is None:
            return reached
        varies = BAND * self.grown.rmse * min(seconds, max(1.0, self.stay.forecast / SEC)) ** 0.5
        return min(reached, max(self.live + varies, rest))

    def left(self, bound):
        """Seconds until the upper edge meets a bound: 0 when it is met, None for not within a day."""
        if self.live >= bound:
            return 0.0
        if self.at(FAR) < bound:
            return None
        low, high = 0.0, float(FAR)
        while high - low > 0.05 + low / 100:
            middle = (low + high) / 2
            low, high = (low, middle) if self.at(middle) >= bound else (middle, high)
        return high

    def share(self, part):
        """The growth of a shard that holds such a share of this one's bytes from now on."""
        found = Growth()
        found.live, found.sampled = int(self.live * part), self.sampled
        for name, by in (("come", part), ("grown", part), ("stay", 1)):
            one = getattr(self, name)
            setattr(
                found,
                name,
                Record(
                    one.samples,
                    [value * by for value in one.recent],
                    one.mean * by,
                    one.ewma * by,
                    [error * by * by for error in one.errors],
                    int(one.forecast * by),
                    int(one.rmse * by),
                ),
            )
        return found
