"""Effects on clients when system calls fail with the errors that Linux documents."""

import errno
import os
from dataclasses import replace
from random import Random

import pytest
import trio
from test_net import owed
from test_restart import opened, sent, taken_and_killed

from juniperlanding.ground import seams
from juniperlanding.net.system_errors import (
    FIRST_PAUSE,
    MAX_CONNECTION_ERRORS,
    MAX_PAUSE,
    UNKNOWN_ERROR_PAUSE,
    AcceptErrors,
)
from juniperlanding.standins.peers import read_message

FAILURES = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPROTO]
SHARE_FAILING = 0.3
ANSWER_WITHIN = 1.0  # seconds


class FailingListener:
    """A listener of which a random share (seeded) of the accepts fails, with each error in turn.

    As in Linux, the connection stays in the backlog if the process lacks the resources for it, and is gone
    if the error was that connection's."""

    def __init__(self, listener, errors=FAILURES, share=SHARE_FAILING):
        self.listener, self.errors, self.share = listener, list(errors), share
        self.chance, self.failed = Random("accept"), 0

    def __getattr__(self, name):
        return getattr(self.listener, name)

    async def accept(self):
        await trio.lowlevel.wait_readable(self.listener.raw)
        if self.chance.random() < self.share:
            number = self.errors[self.failed % len(self.errors)]
            self.failed += 1
            await trio.lowlevel.checkpoint()
            raise OSError(number, os.strerror(number))
        return await self.listener.accept()


class FailingNetwork(seams.Network):
    """Wraps the listener that is bound."""

    def __init__(self, wrap):
        self.wrap, self.listener = wrap, None

    def bind(self, address):
        self.listener = self.wrap(super().bind(address))
        return self.listener


async def check_health(site, answers):
    """Sends a request on a new connection, and collects the first line of an answer that comes in time."""
    with trio.move_on_after(ANSWER_WITHIN):
        stream = await site.client()
        await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: api\r\n\r\n")
        answer = await read_message(stream, bytearray())
        answers.append(answer and answer[0])


def test_failing_accepts_keep_no_client_from_its_answer(site):
    """With 100 new connections a second and 30% of accepts failing, each is answered within a second."""
    network = FailingNetwork(FailingListener)
    site.system = replace(site.system, network=network)

    async def scene(site):
        await site.start()
        answers = []
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(check_health, site, answers)
                await trio.sleep(0.01)
        assert network.listener.failed >= 50
        assert len(answers) == 200, f"{200 - len(answers)} of 200 got no answer in time"

    site.run(scene)


class FailingConnects(seams.Network):
    """The first connects to one address fail with a local error."""

    def __init__(self, number, times):
        self.number, self.left, self.to = number, times, None

    async def connect(self, address):
        if address == self.to and self.left:
            self.left -= 1
            await trio.lowlevel.checkpoint()
            raise OSError(self.number, os.strerror(self.number))
        return await super().connect(address)


LOCAL_ERRORS = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
]


def test_connects_that_fail_locally_do_not_count_against_the_endpoint(site):
    """Six in a row of each error: the call is made in the end; the errors count neither against its
    endpoint nor as pushes."""
    network = FailingConnects(0, 0)
    site.system = replace(site.system, network=network)

    async def scene(site):
        node = await site.start()
        network.to = site.far.address
        for number in LOCAL_ERRORS:
            name = errno.errorcode[number]
            network.number, network.left = number, 6
            node.decision_loop.endpoints.close_idle("s-1")
            assert await site.submit(name) == 202
            await site.until(lambda: not node.ledger.notifications)
            endpoint = node.decision_loop.dispatcher.state.endpoints["s-1"]
            assert not endpoint.failure_run and not endpoint.trouble and not network.left, name
        assert len(site.far.got) == len(LOCAL_ERRORS) and not site.platform.notices

    site.run(scene)


class FailingDisk(seams.FileSystem):
    """Writes fail while `failing` is set: all of them, or a random share (seeded)."""

    def __init__(self, share=1.0, number=errno.EIO):
        self.failing, self.share, self.number = False, share, number
        self.chance, self.failed = Random("disk"), 0

    def write(self, file, data):
        if self.failing and self.chance.random() < self.share:
            self.failed += 1
            raise OSError(self.number, os.strerror(self.number))
        return super().write(file, data)


def test_a_start_while_the_disk_fails_serves_what_is_owed_once_it_writes_again(site):
    files = FailingDisk()

    async def scene(site):
        await taken_and_killed(site, ["a0", "a1"])
        site.system = replace(site.system, files=files)
        files.failing = True
        node = await site.start()
        await opened(site, node)
        await trio.sleep(0.2)
        assert (
            not sent(site) and len(node.ledger.notifications) == 2
        )  # nothing is sent that is not in the ledger
        files.failing = False
        await site.until(lambda: not node.ledger.notifications)
        assert sorted(sent(site)) == ["a0", "a1"] and not site.platform.notices
        site.kill()
        assert not owed(site)

    site.run(scene)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.ENFILE])
def test_who_stands_in_the_backlog_at_the_end_is_answered_though_an_accept_fails(site, number):
    """An error of one connection must not end the last accepts, or closing the listener would reset all the
    connections behind it."""

    class Once(FailingListener):
        def waiting(self):
            if not self.failed:
                self.failed = 1
                raise OSError(number, os.strerror(number))
            return self.listener.waiting()

    network = FailingNetwork(lambda listener: Once(listener, share=0.0))
    site.system = replace(site.system, network=network)

    async def scene(site):
        node = await site.start()
        node.clients.accepting.cancel()
        await node.clients.accept_stopped.wait()
        streams = [await site.client() for _ in range(3)]
        for stream in streams:
            await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: api\r\n\r\n")
        await node.clients.close(node.listener)
        for stream in streams:
            assert (await read_message(stream, bytearray()))[0].startswith("HTTP/1.1 200")

    site.run(scene)


def test_errors_of_accept_are_told_apart():
    errors = AcceptErrors()
    assert errors.pause(OSError(errno.ECONNABORTED, "")) == 0
    assert errors.pause(OSError(errno.EPERM, "")) == 0
    pauses = [errors.pause(OSError(errno.EMFILE, "")) for _ in range(12)]
    assert pauses[0] == FIRST_PAUSE and pauses[1] == 2 * FIRST_PAUSE and pauses[-1] == MAX_PAUSE
    errors.succeeded()
    assert errors.pause(OSError(errno.ENFILE, "")) == FIRST_PAUSE
    assert errors.pause(OSError(errno.EBADF, "")) == UNKNOWN_ERROR_PAUSE
    connection_pauses = [errors.pause(OSError(errno.EPROTO, "")) for _ in range(MAX_CONNECTION_ERRORS + 1)]
    assert connection_pauses[0] == 0 and connection_pauses[-1] == UNKNOWN_ERROR_PAUSE


def test_each_kind_of_failed_accept_is_logged_once_a_minute_and_counted_each_time(site):
    network = FailingNetwork(lambda listener: FailingListener(listener, [errno.EMFILE], 0.5))
    site.system = replace(site.system, network=network)

    async def scene(site):
        node = await site.start()
        for _ in range(20):
            await check_health(site, [])
        assert node.counters["accept_errors_EMFILE"] == network.listener.failed > 3
        assert len([1 for event, _ in site.lines if event == "accept"]) == 1

    site.run(scene)


def test_a_route_that_stays_missing_counts_against_the_endpoint(site):
    """It is waited for only for a moment, since there may be a route to another endpoint."""
    network = FailingConnects(errno.ENETUNREACH, 1 << 30)
    site.system = replace(site.system, network=network)

    async def scene(site):
        node = await site.start()
        network.to = site.far.address
        assert await site.submit("a0") == 202
        await site.until(lambda: node.decision_loop.dispatcher.state.endpoints["s-1"].failure_run)
        network.left = 0
        await site.until(lambda: not node.ledger.notifications)
        assert len(site.far.got) == 1

    site.run(scene)


def test_a_disk_that_fails_in_three_of_ten_writes_turns_few_away(site):
    files = FailingDisk(share=0.3)
    site.system = replace(site.system, files=files)

    async def scene(site):
        node = await site.start()
        files.failing = True
        answers = []

        async def submit(number):
            answers.append(await site.submit(f"a{number}"))

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(submit, number)
                await trio.sleep(0.01)
        files.failing = False
        await site.until(lambda: not node.ledger.notifications)
        assert files.failed > 30 and len(answers) == 200
        assert answers.count(202) >= 180, f"{answers.count(503)} of 200 were rejected"

    site.run(scene)


@pytest.mark.parametrize("ttl", [900, 1100])  # ms: the end before and after a reading of the clock is due
def test_an_end_that_changed_while_the_disk_failed_is_told_alike_by_the_next_process(site, ttl):
    """Handed back while nothing can be written, given up as its time is up, killed within the next write: the
    file must not tell the first end."""

    class KilledInWrite(FailingDisk):
        """The write that would succeed again is cut off within the record behind the first end."""

        def write(self, file, data):
            if self.failing or not self.failed:
                return super().write(file, data)
            # A reading of the clock stands in front where one is due, so the first end is looked for.
            end = bytes(data).index(b'["o",')
            os.write(file, bytes(data)[: bytes(data).index(b"\n", end) + 9])
            raise OSError(errno.EIO, "killed here")

        def truncate(self, file, size):
            raise OSError(errno.EIO, "killed before")

    files = KilledInWrite()

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0", dest=8, ttl=ttl) == 202
        site.system = replace(site.system, files=files)
        node.ledger.files = files
        files.failing = True
        await node.decision_loop.enqueue(
            node.decision_loop.dispatcher.abandon, node.decision_loop.dispatcher.state.notifications["a0"]
        )
        await site.until(lambda: site.platform.notices)  # its time is up
        assert [notice["outcome"] for notice in site.platform.notices] == ["given_up"]
        files.failing = False
        await site.until(
            lambda: b'"o"' in (site.folder / "state" / "ledger").read_bytes()
            or not node.decision_loop.ledger_failing
        )
        site.kill()
        site.system = replace(site.system, files=seams.FileSystem())
        node = await site.start()
        await site.until(lambda: not node.ledger.notifications)
        assert {notice["outcome"] for notice in site.platform.notices} == {"given_up"}

    site.run(scene)
