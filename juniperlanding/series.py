"""A series for the forecaster, for parts that forecast something else than a destination's latencies.

It has the fields that `choice.add_sample` and `choice.forecast` read and write.  No I/O, clock or trio."""

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Series:
    """Fields as in `state.Destination`; last_at: when the last sample came, for users that need it."""

    samples: int = 0
    recent: list = field(default_factory=list)
    mean: float = 0.0
    ewma: float = 0.0
    errors: list = field(default_factory=list)
    forecast: int = 0
    rmse: int = 0
    last_at: int = 0
