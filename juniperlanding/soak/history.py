"""What happened in a soak, as all parties saw it; one clock for all.  No I/O.

Times are nanoseconds of the machine's steady clock."""

from dataclasses import dataclass, field

from juniperlanding.standins.audit import Audit


@dataclass
class Life:
    """One process of an instance, from its start to its end."""

    started_at: int
    ready_at: int = 0
    told_to_end_at: int = 0  # SIGTERM
    ended_at: int = 0
    was_killed: bool = False
    exit_code: int | None = None


@dataclass(frozen=True)
class CallSeen:
    """A whole call as an endpoint saw it."""

    at: int
    endpoint: str
    instance: str
    ids: tuple


@dataclass(frozen=True)
class WaitTold:
    """An endpoint told an instance to wait; the answer was written at `at`."""

    at: int
    until: int
    endpoint: str
    instance: str


@dataclass(frozen=True)
class Span:
    """Something that was so for a while; `what` names it."""

    begin: int
    end: int
    what: str = ""

    def meets(self, begin, end):
        """Whether it overlaps another span of time."""
        return self.begin <= end and begin <= self.end


class SoakAudit(Audit):
    """Also keeps when each message ran, or may have."""

    def __init__(self, now):
        super().__init__(now)
        self.ran_at = {}

    def pushed(self, ntf_id, ran):
        """As in `Audit`; when it ran is kept, too."""
        super().pushed(ntf_id, ran)
        if ran:
            self.ran_at.setdefault(ntf_id, []).append(self.now())


@dataclass
class History:
    """All of a run.

    links: by endpoint, when its link misbehaved; drains: by endpoint, (revision, span); told: by instance,
    (at, revision) of each list; outages: by endpoint; unanswered: (instance, begin, end) of requests on new
    connections that ended with no answer; unheard: as those, of such that got none in the client's patience;
    kept_waiting: of half requests that were neither answered nor closed."""

    audit: SoakAudit
    lives: dict = field(default_factory=dict)
    calls: list = field(default_factory=list)
    waits: list = field(default_factory=list)
    links: dict = field(default_factory=dict)
    drains: dict = field(default_factory=dict)
    told: dict = field(default_factory=dict)
    outages: dict = field(default_factory=dict)
    unanswered: list = field(default_factory=list)
    kept_waiting: list = field(default_factory=list)
    unheard: list = field(default_factory=list)
    disks: dict = field(default_factory=dict)  # by instance, when its disk failed
    doubtful: set = field(default_factory=set)  # messages whose delivery may have crossed its call's end
    violations: dict = field(default_factory=dict)
    peaks: dict = field(default_factory=dict)  # by instance: (descriptors, bytes of memory)
    most_lag: int = 0  # how late the rig itself ran at worst


def instance_of(ntf_id):
    """The instance that a message was handed to, by its id."""
    return ntf_id.partition("-")[0]
