"""The soak's schedule and oracle; that it finds defects is shown by `soak --defect` (docs/soak.md)."""

import pytest

from juniperlanding.cli import main
from juniperlanding.soak import defects, schedule, verdict
from juniperlanding.soak.history import CallSeen, History, Life, SoakAudit, Span, WaitTold
from juniperlanding.soak.rig import Rig
from juniperlanding.soak.schedule import Kind
from juniperlanding.standins.audit import MS, SEC

NOW = 100 * SEC
ID, INSTANCE, ENDPOINT = "d00-1", "d00", "e-1"


class Told:
    """A history of one instance, one endpoint and one message, changed in one place by each test."""

    def __init__(self, topic="news", kind="repeatable", status=202):
        self.at = 10 * SEC
        self.history = History(SoakAudit(lambda: self.at))
        self.life = Life(SEC, ready_at=2 * SEC)
        self.history.lives[INSTANCE] = [self.life]
        self.history.audit.handed_in(ID, topic, 1, kind, 4 * SEC)
        self.history.audit.answered(ID, status)

    def call(self, after, ran=True):
        self.at = 10 * SEC + int(after * SEC)
        self.history.calls.append(CallSeen(self.at, ENDPOINT, INSTANCE, (ID,)))
        self.history.audit.pushed(ID, ran)

    def delivered(self, after):
        self.at = 10 * SEC + int(after * SEC)
        self.history.audit.delivered(ID)

    def notice(self, after, outcome="given_up"):
        self.at = 10 * SEC + int(after * SEC)
        self.history.audit.notice(ID, outcome)

    def rules(self):
        return [finding.rule for finding in verdict.judged(self.history, NOW)]


@pytest.fixture
def told():
    return Told()


def test_a_schedule_follows_from_its_seed_and_its_troubles_overlap():
    first, again = (schedule.drawn(7, 10, 6, 60) for _ in range(2))
    assert first == again != schedule.drawn(8, 10, 6, 60)
    for trouble in first.troubles:
        others = [other for other in first.troubles if other is not trouble]
        assert any(
            other.at < trouble.at + trouble.seconds and trouble.at < other.at + other.seconds
            for other in others
        )
        assert schedule.WARM_UP <= trouble.at and trouble.at + trouble.seconds <= 60 - schedule.COOL_DOWN + 1
    assert first.without(first.troubles[:2]).troubles == first.troubles[2:]


def test_each_kind_of_trouble_can_be_played():
    assert all(hasattr(Rig, "on_" + kind.replace("-", "_")) for kind in Kind)
    drawn = {trouble.kind for seed in range(40) for trouble in schedule.drawn(seed, 10, 6, 60).troubles}
    assert drawn == set(Kind)


def test_what_is_delivered_in_time_breaks_nothing(told):
    told.call(0.1)
    told.delivered(0.2)
    assert told.rules() == []


def test_no_end_or_a_late_one_is_a_finding_but_for_a_restart(told):
    assert told.rules() == ["lost"]
    told.notice(5.0)
    assert told.rules() == ["lost"]
    told.life.ended_at, told.life.was_killed, told.life.exit_code = 13 * SEC, True, -9
    told.history.lives[INSTANCE].append(Life(14 * SEC, ready_at=14 * SEC))
    assert told.rules() == []


def test_ends_that_tell_two_stories_are_findings(told):
    told.call(0.1)
    told.delivered(0.2)
    told.notice(1.0)
    assert told.rules() == ["answered twice"]
    told.notice(1.1, "handed_back")
    assert told.rules().count("answered twice") > 1
    refused = Told(status=503)
    refused.call(0.1)
    assert refused.rules() == ["answered twice"]


def test_a_notice_as_its_time_is_up_after_a_delivery_does_no_harm(told):
    told.call(0.1)
    told.delivered(0.2)
    told.notice(4.0)
    assert told.rules() == []


def test_what_is_sent_on_after_its_notice_or_given_up_untried_is_a_finding(told):
    told.notice(1.0)
    assert told.rules() == ["given up untried"]
    told.call(1.5)
    assert told.rules() == ["sent on after its end"]


def test_second_runs_are_findings():
    once = Told("order", "once-only")
    once.call(0.1)
    once.call(0.5, ran=False)  # turned away: it never ran
    once.delivered(0.6)
    assert once.rules() == []
    once.call(0.7)
    assert once.rules() == ["ran twice"]
    window = Told("status", "collapsible")
    window.call(0.1)
    window.call(1.9)
    window.delivered(2.0)
    assert window.rules() == ["past its window"]
    window.history.links[ENDPOINT] = [Span(9 * SEC, 20 * SEC)]  # bytes were held up on their way
    assert window.rules() == []


def test_calls_within_a_told_wait_or_a_drain_are_findings(told):
    told.call(1.0)
    told.delivered(1.1)
    told.history.waits.append(WaitTold(10 * SEC, 12 * SEC, ENDPOINT, INSTANCE))
    assert told.rules() == ["wait"]
    told.history.waits.clear()
    told.history.drains[ENDPOINT] = [(3, Span(10 * SEC, 15 * SEC))]
    told.history.told[INSTANCE] = [(10 * SEC, 2)]
    assert told.rules() == []
    told.history.told[INSTANCE].append((10 * SEC, 3))
    assert told.rules() == ["drain"]


def test_a_cold_endpoint_that_all_return_to_at_once_is_a_finding(told):
    told.call(0.1)
    told.delivered(0.2)
    told.history.outages[ENDPOINT] = [Span(20 * SEC, 25 * SEC)]
    calls = [CallSeen(25 * SEC + n * 20 * MS, ENDPOINT, "d01", ("d01-1",)) for n in range(60)]
    told.history.calls += calls[:20]
    assert told.rules() == []
    told.history.calls += calls[20:]
    assert told.rules() == ["slow start"]


def test_what_clients_and_supervisors_see_are_findings(told):
    told.call(0.1)
    told.delivered(0.2)
    told.history.unanswered.append((INSTANCE, 20 * SEC, 21 * SEC))
    told.history.kept_waiting.append((INSTANCE, 20 * SEC, 24 * SEC))
    told.history.unheard += [(INSTANCE, 20 * SEC, 21 * SEC)] * 3
    told.history.peaks[INSTANCE] = (300, 1 << 20)
    told.history.violations[INSTANCE] = ["violation send"]
    assert sorted(told.rules()) == ["bounds", "counted by itself", "half a request", "unanswered", "unheard"]


def test_crashes_slow_starts_and_slow_ends_are_findings(told):
    told.call(0.1)
    told.delivered(0.2)
    told.life.ended_at, told.life.exit_code = 30 * SEC, 1
    assert told.rules() == ["crash"]
    told.life.told_to_end_at = 20 * SEC
    assert told.rules() == ["end"]
    told.life.told_to_end_at = 26 * SEC
    assert told.rules() == []
    told.history.lives[INSTANCE].append(Life(31 * SEC, ready_at=65 * SEC))
    assert told.rules() == ["ready"]


def test_defects_are_listed_and_unknown_ones_refused(capsys):
    assert main(["soak", "--defect", "list"]) == 0
    assert len(capsys.readouterr().out.splitlines()) == len(defects.DEFECTS) >= 10
    assert main(["soak", "--defect", "none such"]) == 2
    assert main(["soak", "--processes", "0"]) == 2
