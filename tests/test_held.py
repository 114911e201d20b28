"""A suspended process: what arrived meanwhile is read before expired timers are acted on."""

import time

import pytest
import trio
from test_restart import sent

from juniperlanding.choice import SEC
from juniperlanding.standins.audit import Record
from juniperlanding.standins.peers import http

TTL = 1.0  # seconds


def suspended_while_the_answer_comes(site, topic, until):
    """Returns the outcomes in the notices. A call is in flight, and its answer is written 0.1 s later; the
    process is suspended from before that until `until` seconds after the message came."""

    async def scene(site):
        node = await site.start()
        started = trio.current_time()
        assert await site.submit("a0", topic, ttl=int(TTL * 1000)) == 202
        await site.until(lambda: sent(site))
        site.far.go.set()  # the answer leaves as soon as this task waits
        await trio.lowlevel.checkpoint()
        time.sleep(max(0, until - (trio.current_time() - started)))
        await site.until(lambda: not node.ledger.notifications)
        await trio.sleep(0.5)

    site.run(scene, lambda *message: "late")
    return [notice["outcome"] for notice in site.platform.notices]


@pytest.mark.parametrize("topic", ["news", "order", "pay"])
def test_an_answer_that_came_while_it_stood_still_is_a_delivery(site, topic):
    assert suspended_while_the_answer_comes(site, topic, 0.7) == []
    assert sent(site) == ["a0"]


@pytest.mark.parametrize("topic", ["news", "order", "pay"])
def test_past_its_time_it_is_told_once_and_not_sent_again(site, topic):
    """When the answer came is no longer known: a superfluous notice does no harm, a lost outcome would."""
    assert suspended_while_the_answer_comes(site, topic, TTL + 0.4) == ["given_up"]
    assert sent(site) == ["a0"]


def test_a_notice_that_was_written_as_it_stood_still_is_posted_once_it_goes_on(site, monkeypatch):
    async def scene(site):
        node = await site.start()
        add = node.decision_loop.notices.add

        def suspend_and_add(*notice):
            time.sleep(0.4)
            add(*notice)

        monkeypatch.setattr(node.decision_loop.notices, "add", suspend_and_add)
        assert await site.submit("a0", dest=8, ttl=300) == 202
        await site.until(lambda: not node.ledger.notifications)
        assert [notice["message"] for notice in site.platform.notices] == ["a0"]

    site.run(scene, lambda *message: http(200))


# ---- the audit of the stand-ins: two outcomes for one message


def answered_twice(delivered_at, noticed_at, outcome="given_up", ttl=4 * SEC):
    """Whether it is a fault; times in seconds after the submission."""
    record = Record("a0", "news", 7, "repeatable", SEC, ttl, status=202)
    record.delivered_at = SEC + int(delivered_at * SEC)
    record.notices.append((outcome, SEC + int(noticed_at * SEC)))
    return "answered twice" in record.faults(SEC * 100)


def test_a_notice_beside_a_delivery_is_a_fault_unless_its_time_was_up_and_it_invites_no_second_run():
    assert answered_twice(1.0, 2.0) and answered_twice(2.0, 1.0)
    assert not answered_twice(1.0, 4.1) and not answered_twice(1.0, 5.0)
    assert answered_twice(1.0, 4.1, "handed_back")
    assert not answered_twice(3.9, 4.1)  # delivered as its TTL ended
    assert not answered_twice(1.0, 1.05)  # notice and delivery crossed
