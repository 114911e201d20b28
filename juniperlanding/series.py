"""A series of its own with the forecaster's fields: what `choice.learn` and `choice.forecast` read and
write, for parts that forecast something else than a destination's latencies.  No I/O, clock or trio."""

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Series:
    """Fields as `state.Destination` has them; last_at: when the last sample came, for who needs it."""

    samples: int = 0
    series: list = field(default_factory=list)
    mean: float = 0.0
    smooth: float = 0.0
    errors: list = field(default_factory=list)
    forecast: int = 0
    miss: int = 0
    last_at: int = 0
