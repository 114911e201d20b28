"""Hand-over from one process to another on loopback, with each side ending or stalling at each step."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from functools import partial

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from juniperlanding import carry
from juniperlanding.choice import SEC, Dispatcher
from juniperlanding.ground.errors import DiskFailing
from juniperlanding.ground.seams import AddressTaken
from juniperlanding.handover import channel, frames, steps
from juniperlanding.net import succession
from juniperlanding.net.node import Node
from juniperlanding.net.owner import END_GRACE
from juniperlanding.processes.rig import free
from juniperlanding.standins.peers import http


async def start(site, made):
    """Run a node that has been built, as `Site.start` does; cancelling its `scope` ends it."""
    site.node, scope = made, trio.CancelScope()

    async def run(task_status):
        with scope:
            await made.run(task_status)

    site.address = await site.nursery.start(run)
    made.scope = scope
    await site.until(lambda: made.decision_loop.ready)
    return made


async def replace(site):
    """Start a second process, which takes over from the running one."""
    config = site.config()
    make = partial(node, site, config)
    return await start(site, await succession.start_node(make, config, site.system))


def node(site, config, offer=None):
    return Node(config, site.system, log=site.log, offer=offer)


async def first(site):
    return await start(site, node(site, site.config()))


async def hello(site, **more):
    """A channel on which a hand-over has been asked for; the test plays the new process."""
    end = channel.connect_handover(str(site.folder / "state"))
    await end.send(frames.HELLO, **({"listen": "127.0.0.1:0"} | more))
    return end


def kill_new_process(site):
    """Close every socket and the lock without finishing anything, as the death of the process would."""
    before = site.node.previous_process
    site.node.scope.cancel()
    if before:
        before.close()


# ---- what is handed over


def test_a_call_out_at_the_hand_over_is_answered_at_the_new_process_and_runs_once(site):
    async def scene(site):
        old = await first(site)
        waiting = [await site.client() for _ in range(3)]
        for number, topic, stream in zip("abc", ("order", "news", "pay"), waiting, strict=True):
            assert await site.submit(number, topic, stream=stream) == 202
        await site.until(lambda: len(site.far.got) == 3)
        new = await replace(site)
        await site.until(lambda: old.replaced)
        site.far.go.set()
        await site.until(lambda: not new.ledger.notifications)
        assert len(site.far.got) == 3 and site.far.connections == 3 and not site.platform.notices
        succeeded = [new.counters[f"svc.results.{topic}.succeeded"] for topic in ("order", "news", "pay")]
        assert succeeded == [1, 1, 1]

    site.run(scene, late)


def late(*message):
    return "late"


def test_clients_go_over_with_half_their_requests_and_are_not_closed(site):
    async def scene(site):
        await first(site)
        used, half_sent, unused = [await site.client() for _ in range(3)]
        assert await site.submit("a1", stream=used) == 202
        request = (
            b"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: a2\r\nX-Qos: news\r\n"
            b"X-Expires-In-Ms: 5000\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello"
        )
        await half_sent.send_all(request[:60])
        await trio.sleep(0.05)
        new = await replace(site)
        assert (await site.ask(request[60:], half_sent))[0] == 202
        assert [await site.submit("a3", stream=used), await site.submit("a4", stream=unused)] == [202, 202]
        await site.until(lambda: not new.ledger.notifications)
        assert {headers["x-trace-id"] for _, headers, _ in site.far.got} == {"a1", "a2", "a3", "a4"}

    site.run(scene)


def test_retry_after_waits_and_ejected_endpoints_are_kept(site):
    async def scene(site):
        old = await first(site)
        await site.submit("a1")
        await site.until(lambda: old.counters["pushes_throttled"])
        endpoint = old.decision_loop.dispatcher.state.endpoints["s-1"]
        endpoint.ejected, endpoint.failure_run = True, 5
        until = endpoint.route.wait_until
        new = await replace(site)
        other = new.decision_loop.dispatcher.state.endpoints["s-1"]
        assert (other.ejected, other.failure_run, other.route.wait_until) == (
            True,
            5,
            until,
        ) and other is not endpoint
        assert new.decision_loop.unfinished.keys() == {"a1"} and len(site.far.got) == 1

    site.run(scene, lambda *message: http(429, b"", "Retry-After: 3"))


def test_other_settings_keep_the_clients_and_begin_from_the_ledger(site):
    async def scene(site):
        await first(site)
        stream = await site.client()
        assert await site.submit("a1", "order", stream=stream) == 202
        await site.until(lambda: site.far.got)
        site.wire = site.wire | {"tick_ns": 6_000_000}
        new = await replace(site)
        await site.until(lambda: site.platform.notices)  # it may have run
        assert new.counters["svc.results.order.aborted"] == 1
        assert await site.submit("a2", stream=stream) == 202

    site.run(scene, lambda *message: None)


def test_three_replacements_in_a_row(site):
    async def scene(site):
        await first(site)
        stream = await site.client()
        for number in "abc":
            assert await site.submit(number, stream=stream) == 202
            await replace(site)
        await site.until(lambda: not site.node.ledger.notifications)
        assert len(site.far.got) == 3 and site.far.connections == 1

    site.run(scene)


def test_another_message_under_an_id_that_went_over_is_not_accepted(site):
    """Guards against a new process that knows the ids of the old one without their content."""

    async def scene(site):
        await first(site)
        assert await site.submit("a1", "order", dest=8) == 202
        assert await site.submit("a2", "order") == 202
        await site.until(lambda: len(site.node.ledger.notifications) == 1)
        await replace(site)
        for name, dest in (("a1", 8), ("a2", 7)):
            assert await site.submit(name, "order", dest=dest, body=b"another") == 409
            assert await site.submit(name, "order", dest=dest) == 202
        assert len(site.far.got) == 1

    site.run(scene)


# ---- what fails


@pytest.mark.parametrize("failure", ["dies", "noise", "stalls", "refuses the offer"])
def test_the_old_process_serves_on_when_nobody_takes_over(site, monkeypatch, failure):
    monkeypatch.setattr(steps, "LOAD_TIMEOUT", SEC // 5)

    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", "order", stream=stream) == 202
        await site.until(lambda: site.far.got)
        end = await hello(site)
        message, descriptors = await end.receive(allow_offer=True)
        assert message["say"] == frames.OFFER and len(descriptors) >= 3
        for descriptor in descriptors:
            os.close(descriptor)
        if failure == "noise":
            await end.sock.send(b"GET / HTTP/1.1\r\n\r\n")
        elif failure == "refuses the offer":
            await end.send(frames.REFUSED)
        if failure != "stalls":
            end.close()
        await site.until(lambda: any("serving on" in text for _, text in site.lines))
        await site.until(lambda: old.decision_loop.ready)
        site.far.go.set()
        assert await site.submit("a2", stream=stream) == 202
        await site.until(lambda: not old.ledger.notifications)
        assert [headers["x-trace-id"] for _, headers, _ in site.far.got] == ["a1", "a2"]
        await replace(site)  # the next attempt succeeds
        assert await site.submit("a3", stream=stream) == 202

    site.run(scene, late)


NOTICE_DUE = 0.35  # seconds after its TTL by which a notification without a delivery has its notice
CLIENT_PATIENCE = 0.4  # seconds that a client waits for its answer


def test_what_is_due_is_ended_and_clients_are_answered_while_a_new_process_stalls(site):
    """Guards against ending nothing and answering nobody until a stalled new process is given up."""

    async def scene(site):
        old = await first(site)
        ttl = 0.6
        handed_in = trio.current_time()
        assert await site.submit("a1", dest=8, ttl=int(ttl * 1000)) == 202
        await trio.sleep(ttl - 0.1)
        end = await hello(site)
        _, descriptors = await end.receive(allow_offer=True)  # the new process keeps them and stalls
        with trio.fail_after(CLIENT_PATIENCE):
            assert await site.submit("a2", dest=8) == 202
        with trio.fail_after(handed_in + ttl + NOTICE_DUE - trio.current_time()):
            await site.until(lambda: site.platform.notices)
        assert [notice["message"] for notice in site.platform.notices] == ["a1"] and not old.replaced
        channel.close_descriptors(descriptors)
        end.close()

    site.run(scene)


def test_what_is_due_while_calls_settle_for_a_hand_over_is_ended(site, monkeypatch):
    """Guards against a frozen decision loop that no longer ends what has run out of time."""

    async def scene(site):
        old = await first(site)
        monkeypatch.setattr(old.clients, "settled", lambda: False)
        handed_in = trio.current_time()
        assert await site.submit("a1", dest=8, ttl=300) == 202
        await trio.sleep(0.2)
        end = await hello(site)
        await site.until(lambda: site.platform.notices)
        assert old.decision_loop.frozen and trio.current_time() < handed_in + 0.3 + END_GRACE / SEC
        end.close()

    site.run(scene)


def test_a_new_process_that_was_suspended_asks_again_and_takes_over(site, monkeypatch):
    """Guards against a replacement that, once it has lost an offer, waits until it is ended."""
    monkeypatch.setattr(steps, "LOAD_TIMEOUT", 0)  # the first offer is lost

    async def scene(site):
        old = await first(site)

        async def restore_timeout():
            await site.until(lambda: any("serving on" in text for _, text in site.lines))
            monkeypatch.undo()

        site.nursery.start_soon(restore_timeout)
        new = await replace(site)
        assert old.replaced and await site.submit("a1") == 202
        assert new.decision_loop.counters["taken_on"] == 1
        assert sum("takes over" in text for _, text in site.lines) == 2

    site.run(scene)


@pytest.mark.parametrize("how", ["close", "abort"])
def test_a_connection_ends_though_a_process_that_did_not_take_over_holds_a_copy(site, how):
    """Guards against a call that is given up and sent again while the endpoint still works on the first."""

    async def scene(site):
        old = await first(site)
        assert await site.submit("a1") == 202
        await site.until(lambda: not old.ledger.notifications)
        end = await hello(site)
        _, copies = await end.receive(allow_offer=True)  # the new process keeps them and stalls
        await site.until(lambda: any("serving on" in text for _, text in site.lines))
        await site.until(lambda: old.decision_loop.ready)
        (connections,) = old.decision_loop.endpoints.idle.values()
        getattr(connections.pop(), how)()
        with trio.fail_after(0.5):
            await site.until(lambda: site.far.ended)
        channel.close_descriptors(copies)
        end.close()

    site.run(scene)


def test_a_process_that_hands_over_what_it_took_over_itself_ends_no_connection(site):
    """Guards against ending, with this process's copies, the connections of the process that took over."""

    async def scene(site):
        await first(site)
        stream = await site.client()
        for number in range(3):
            assert await site.submit(f"a{number}", stream=stream) == 202
            await site.until(lambda: not site.node.ledger.notifications)
            await replace(site)
        assert await site.submit("a3", stream=stream) == 202
        await site.until(lambda: not site.node.ledger.notifications)
        assert site.far.connections == 1 and not site.far.ended

    site.run(scene)


def test_while_the_disk_fails_a_process_that_is_to_be_replaced_serves_on(site):
    """Guards against freezing for a hand-over for as long as a disk fails: clients were not even accepted."""

    async def scene(site):
        old = await first(site)
        assert await site.submit("a1", dest=8, ttl=500) == 202
        working_flush = old.ledger.flush

        def fail():
            raise OSError(28, "no space left on device")

        old.ledger.flush = fail
        assert await site.submit("a2", dest=8) == 503
        end = await hello(site)
        await trio.sleep(0.1)
        with trio.fail_after(CLIENT_PATIENCE):
            assert await site.submit("a3", dest=8) == 503
        with trio.fail_after(0.5 + NOTICE_DUE):
            await site.until(lambda: site.platform.notices)
        old.ledger.flush = working_flush
        message, descriptors = await end.receive(allow_offer=True)
        assert message["say"] == frames.OFFER
        channel.close_descriptors(descriptors)
        end.close()

    site.run(scene)


def test_the_old_process_serves_again_when_the_new_one_is_gone(site):
    async def scene(site):
        old = await first(site)
        await replace(site)
        assert await site.submit("a1", dest=8) == 202
        kill_new_process(site)
        await site.until(
            lambda: not old.replaced and old.decision_loop.ready and "a1" in old.decision_loop.unfinished
        )
        site.address = old.listener.address
        assert await site.submit("a2") == 202

    site.run(scene)


def test_a_stranger_and_noise_harm_nobody(site):
    async def scene(site):
        old = await first(site)
        path = str(site.folder / "state" / channel.FILE)
        assert os.stat(path).st_mode & 0o777 == 0o600
        for noise in (
            b"",
            b"\x00" * 10,
            b"JLH1\xff\xff\xff\xff\xff\xff",
            frames.pack("hello")[:-3],
            frames.HEADER.pack(frames.MARK, 2, 0) + b"[]",
        ):
            with socket.socket(socket.AF_UNIX) as stranger:
                stranger.connect(path)
                stranger.sendall(noise)
                stranger.shutdown(socket.SHUT_WR)
                await trio.to_thread.run_sync(stranger.recv, 1)
        assert not old.decision_loop.frozen and await site.submit("a1") == 202

    site.run(scene)


def test_a_second_successor_and_one_that_listens_elsewhere_are_refused(site):
    async def scene(site):
        await first(site)
        elsewhere = await hello(site, listen="127.0.0.1:9")
        assert (await elsewhere.receive())[0] == {"say": "refused", "why": "it listens at 127.0.0.1:0"}
        one = await hello(site)
        await one.receive(allow_offer=True)
        other = await hello(site)
        assert (await other.receive())[0]["why"] == "another replacement is under way"
        one.close()

    site.run(scene)


def test_a_word_brings_no_descriptors_and_no_bulk(site):
    async def scene(site):
        old = await first(site)
        for text, descriptors in ((b" " * 5000, 0), (b"", 3)):
            end = channel.connect_handover(str(site.folder / "state"))
            message = frames.pack(frames.HELLO, descriptors, listen="127.0.0.1:0", more=text.decode())
            await end.sock.send(message)
            with pytest.raises(OSError):  # the old process closes the channel without accepting them
                for _ in range(50):
                    await trio.sleep(0.01)
                    await end.sock.send(b"f")
            end.close()
        await site.until(lambda: not old.process_handover.callers)
        assert not old.decision_loop.frozen and await site.submit("a1") == 202

    site.run(scene)


def test_callers_at_the_channel_are_few(site):
    async def scene(site):
        old = await first(site)
        path = str(site.folder / "state")
        silent = [channel.connect_handover(path) for _ in range(steps.MAX_CALLERS)]
        await site.until(lambda: old.process_handover.callers == steps.MAX_CALLERS)
        with trio.fail_after(0.5):
            assert await channel.connect_handover(path).sock.recv(1) == b""
        with trio.fail_after(2 * succession.HELLO_TIMEOUT):
            assert [await end.sock.recv(1) for end in silent] == [b""] * steps.MAX_CALLERS
        await replace(site)

    site.run(scene)


def test_what_a_new_process_lacks_is_found_out_before_the_old_one_stops_for_it(site):
    async def scene(site):
        old = await first(site)
        with socket.create_server(("127.0.0.1", 0)) as taken:
            site.told["management"] = f"127.0.0.1:{taken.getsockname()[1]}"
            with pytest.raises(AddressTaken, match="in use"):
                await replace(site)
        assert not any("takes over" in text for _, text in site.lines) and not old.decision_loop.frozen

    site.run(scene)


@pytest.mark.parametrize("fails", ["to load", "at another form"])
def test_a_new_process_that_cannot_load_asks_once_and_keeps_nothing(site, monkeypatch, fails):
    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", stream=stream) == 202
        await site.until(lambda: not old.ledger.notifications)
        if fails == "to load":

            def make(offer):
                if offer:
                    raise OSError(5, "input/output error", "ledger")
                return node(site, site.config())
        else:
            make = partial(node, site, site.config())
            monkeypatch.setattr(succession, "FORM", 2)
            collect = succession.Offer.collect.__func__
            monkeypatch.setattr(
                succession.Offer, "collect", classmethod(lambda *args: in_form_1(collect(*args)))
            )
        before = len(os.listdir("/proc/self/fd"))
        with pytest.raises(DiskFailing if fails == "to load" else succession.OtherForm):
            await succession.start_node(make, site.config(), site.system)
        await site.until(
            lambda: any("serving on" in text for _, text in site.lines) and old.decision_loop.ready
        )
        assert await site.submit("a2", stream=stream) == 202
        await site.until(lambda: not old.ledger.notifications)
        assert sum("takes over" in text for _, text in site.lines) == 1
        assert sum("code=hand-over-failed" in text for _, text in site.lines) == 1
        assert len(os.listdir("/proc/self/fd")) <= before + 1  # discovery may have opened a connection anew

    site.run(scene)


def in_form_1(offer):
    offer.state["form"] = 1
    return offer


def test_a_record_that_cannot_be_written_down_costs_the_module_and_not_the_process(site, monkeypatch):
    def fail(me):
        raise TypeError("odd")

    monkeypatch.setattr(carry, "export_state", fail)

    async def scene(site):
        await first(site)
        stream = await site.client()
        assert await site.submit("a1", "order", dest=8, stream=stream) == 202
        new = await replace(site)
        assert await site.submit("a2", stream=stream) == 202
        assert "a1" in new.decision_loop.unfinished and any(
            "begins from the ledger" in text for _, text in site.lines
        )

    site.run(scene)


def test_while_the_disk_fails_nothing_goes_over_and_then_all_does(site):
    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", dest=8, stream=stream) == 202
        working_flush = old.ledger.flush

        def fail():
            raise OSError(28, "no space left on device")

        old.ledger.flush = fail
        assert await site.submit("a2", dest=8) == 503
        new = []

        async def take_over():
            new.append(await replace(site))

        site.nursery.start_soon(take_over)
        await trio.sleep(0.3)
        assert not new and not old.replaced
        old.ledger.flush = working_flush
        await site.until(lambda: new)
        assert (
            list(new[0].decision_loop.unfinished) == ["a1"]
            and await site.submit("a3", dest=8, stream=stream) == 202
        )

    site.run(scene)


def test_sigterm_while_a_hand_over_comes_to_nothing_still_stops_and_sighup_is_heard(site, monkeypatch):
    monkeypatch.setattr(steps, "LOAD_TIMEOUT", SEC // 5)

    async def scene(site):
        old = await first(site)
        end = await hello(site)
        _, descriptors = await end.receive(allow_offer=True)
        site.nursery.start_soon(old.drain)
        await site.until(lambda: old.stops_at)
        channel.close_descriptors(descriptors)
        end.close()
        await site.until(lambda: any("serving on" in text for _, text in site.lines))
        await site.until(lambda: old.decision_loop.ready and old.decision_loop.dispatcher.state.stops_at)
        assert old.decision_loop.dispatcher.state.stops_at == old.stops_at
        new = await replace(site)
        old.reload(site.reread)  # while it stands by
        new.reload(site.reread)
        assert await site.submit("a1") == 202

    site.run(scene)


def test_a_ledger_that_cannot_be_read_as_the_old_one_is_owner_again_is_tried_again(site):
    async def scene(site):
        old = await first(site)
        await replace(site)
        build, tries = old.build, []

        def fail_twice(offer):
            tries.append(offer)
            if len(tries) < 3:
                raise OSError(5, "input/output error")
            build(offer)

        old.build = fail_twice
        kill_new_process(site)
        await site.until(lambda: len(tries) == 3 and not old.replaced and old.decision_loop.ready)
        site.address = old.listener.address
        assert await site.submit("a1") == 202

    site.run(scene)


def test_no_place_for_the_channel_is_one_line_and_serving_goes_on(site):
    async def scene(site):
        (site.folder / "state").mkdir()
        (site.folder / "state" / channel.FILE).mkdir()
        await first(site)
        assert await site.submit("a1") == 202
        assert sum("nobody can take over here" in text for _, text in site.lines) == 1

    site.run(scene)


def test_a_long_path_to_the_folder_does(site, tmp_path):
    site.folder = tmp_path / ("x" * 120)
    site.folder.mkdir()

    async def scene(site):
        old = await first(site)
        await replace(site)
        await site.until(lambda: old.replaced)

    site.run(scene)


# ---- ownership, whichever process or message is lost


class OwnershipMachine(RuleBasedStateMachine):
    """Both state machines and a channel that may close at any moment; either process may die."""

    def __init__(self):
        super().__init__()
        self.now, self.sender, self.receiver, self.messages, self.open = 0, steps.Sender(), None, [], False
        self.sender_lives = True
        self.free = False

    @precondition(
        lambda self: not self.open
        and self.sender_lives
        and (self.receiver is None or self.receiver.state == steps.ASKING)
    )
    @rule()
    def ask(self):
        self.receiver = self.receiver or steps.Receiver(self.now)
        if self.sender.hello(self.now):
            self.open, self.messages = True, ["offer"] if self.sender.frozen(self.now) else []

    @precondition(lambda self: self.open)
    @rule()
    def hears(self):
        if "offer" in self.messages:
            self.messages.remove("offer")
            if self.receiver.offered() and self.receiver.loaded():
                self.messages.append("ready")
        elif "ready" in self.messages:
            self.messages.remove("ready")
            if self.sender.ready():
                self.messages.append("yours")
        elif "yours" in self.messages:
            self.messages.remove("yours")
            self.receiver.yours()

    @precondition(lambda self: self.open)
    @rule(send_fails=st.booleans())
    def channel_ends(self, send_fails):
        """The sender gives up, which it may do only while it owns the folder."""
        if self.sender.owns:
            self.open, self.messages = False, []
            self.sender.lost()
            self.receiver.lost(self.now)
        elif send_fails and "yours" in self.messages:
            self.open, self.messages = False, []
            self.sender.yours_not_sent()
            self.receiver.lost(self.now)

    @precondition(lambda self: self.receiver is not None)
    @rule()
    def new_process_dies(self):
        self.receiver, self.messages = None, []
        if self.open:
            self.open = False
            if self.sender_lives:
                self.sender.lost()

    @precondition(lambda self: self.sender_lives and self.open)
    @rule()
    def current_process_dies(self):
        was_sent = "yours" in self.messages  # a message sent before the process died is still read
        self.sender_lives, self.open, self.messages = False, False, []
        if was_sent:
            self.receiver.yours()
        self.receiver.lost(self.now)

    @precondition(lambda self: not self.open and self.receiver is not None)
    @rule()
    def new_process_looks_again(self):
        self.receiver.lost(self.now)

    @rule(seconds=st.integers(0, 3))
    def time(self, seconds):
        self.now += seconds * SEC

    @invariant()
    def never_two(self):
        assert not (self.sender_lives and self.sender.owns and self.receiver and self.receiver.owns)

    @invariant()
    def never_none_while_nobody_speaks(self):
        if self.sender_lives and not self.open:
            assert self.sender.owns or self.receiver and self.receiver.owns


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(max_examples=200, stateful_step_count=30, derandomize=True, deadline=None)


def test_what_comes_out_of_turn_changes_nothing():
    sender, receiver = steps.Sender(), steps.Receiver(0)
    assert sender.ready() == sender.frozen(0) == receiver.yours() == receiver.loaded() == []
    assert sender.owns and not receiver.owns
    loading = steps.Receiver(0)
    assert loading.offered() and loading.lost(1) == [steps.RELEASE, steps.WAIT] and not loading.offered()
    assert loading.lost(steps.JOIN_TIMEOUT) == [steps.END]
    assert receiver.lost(steps.JOIN_TIMEOUT - 1) == [steps.ASK] and receiver.lost(steps.JOIN_TIMEOUT) == [
        steps.END
    ]


# ---- the records of the decision module


def test_the_module_goes_on_as_if_nothing_had_been(bed):
    """After the hand-over the same events make the decision module ask for the same as without one."""
    bed.deliver(5)
    in_flight, throttled = bed.take(2), bed.take(1)
    bed.turn()
    bed.end(throttled, "throttled", wait=3 * SEC)
    bed.take(0)
    bed.turn(0.01)
    exported = json.loads(json.dumps(carry.export_state(bed.dispatcher.state)))
    other = Dispatcher(type(bed.host)(), bed.dispatcher.state.settings, seed=7, now=bed.dispatcher.now)
    carry.import_state(other.state, exported)
    asked = len(bed.host.asked)
    for at in (bed.dispatcher, other):
        at.outcome(in_flight, 0, "delivered", latency=SEC // 9, over=True)
        for _ in range(100):
            at.now += SEC // 5
            at.wake(at.now)
            at.decide()
    assert bed.host.asked[asked:] == other.host.asked and other.host.all("push")


@pytest.mark.parametrize(
    "exported",
    [
        {},
        {"records": [[99]], "instance": []},
        {"records": [], "instance": [1]},
        {"records": [[0, 1, 2, 3]], "instance": []},
        {"records": 5, "instance": 5},
    ],
)
def test_records_that_cannot_be_read_leave_the_module_as_it_was(bed, exported):
    before = bed.dispatcher.state.endpoints
    with pytest.raises(carry.UnreadableState):
        carry.import_state(bed.dispatcher.state, exported)
    assert bed.dispatcher.state.endpoints is before


# ---- real processes


def test_a_process_is_replaced_under_load_and_sigterm_ends_the_old_one(tmp_path):
    (tmp_path / "state").mkdir()
    port = free(socket.SOCK_STREAM)
    (tmp_path / "a.toml").write_text(
        f'[instance]\nlisten = "127.0.0.1:{port}"\ndiscovery = "127.0.0.1:1"\nstate = "state"\n'
        '[[kind]]\nname = "shop"\n'
        '[[topic]]\nname = "news"\nkind = "repeatable"\nobjective = "2s"\nttl = "20s"\n'
        '[[endpoint]]\nid = "e-1"\naddress = "127.0.0.1:1"\ndestination = 7\nkind = "shop"\n'
    )
    request = (
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {}\r\nX-Qos: news\r\nX-Expires-In-Ms: 9000\r\n"
        "X-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n"
    )

    def run():
        return subprocess.Popen(
            [sys.executable, "-m", "juniperlanding", "serve", str(tmp_path / "a.toml")],
            text=True,
            stderr=subprocess.PIPE,
        )

    def wait_for_line(process, text):
        while text not in (line := process.stderr.readline()):
            assert line, "ended early"

    processes = [run()]
    try:
        wait_for_line(processes[0], " start ")
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.settimeout(5)
            for number in range(3):
                client.sendall(request.format(f"a{number}").encode())
                assert client.recv(4096).startswith(b"HTTP/1.1 202")
                processes.append(run())
                wait_for_line(processes[-1], " start ")
                wait_for_line(processes[-2], "replaced by=")
                processes[-2].send_signal(signal.SIGTERM)
                began = time.monotonic()
                assert processes[-2].wait(5) == 0 and time.monotonic() - began < 1
            client.sendall(request.format("a3").encode())
            assert client.recv(4096).startswith(b"HTTP/1.1 202")
    finally:
        for process in processes:
            process.kill()
            process.wait()
            process.stderr.close()


def test_a_hung_old_process_that_is_killed_leaves_the_folder_to_the_one_that_waits(tmp_path):
    (tmp_path / "state").mkdir()
    (tmp_path / "a.toml").write_text(
        '[instance]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:1"\nstate = "state"\n'
    )
    command = [sys.executable, "-m", "juniperlanding", "serve", str(tmp_path / "a.toml")]
    old = subprocess.Popen(command, text=True, stderr=subprocess.PIPE)
    new = None
    try:
        assert " start " in old.stderr.readline()
        old.send_signal(signal.SIGSTOP)
        new = subprocess.Popen(command, text=True, stderr=subprocess.PIPE)
        time.sleep(1)
        assert new.poll() is None
        old.kill()
        assert " start " in new.stderr.readline()
    finally:
        for process in (old, new):
            if process:
                process.kill()
                process.wait()
                process.stderr.close()
