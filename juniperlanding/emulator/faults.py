"""Faults by name: each begins, lasts, and is mended; several may meet the same target at once.

A fault is a coroutine over (world, fault): it does its harm, waits, and undoes what can be undone.  Which
hosts a
target names is worked out when the fault begins, from a stream of chance that no other fault draws from."""

import errno
from math import log

import trio

from juniperlanding.emulator.clock import SEC, elapsed
from juniperlanding.emulator.disk import Disk
from juniperlanding.emulator.scenario import MS

BY_KIND = {}
MOST_REQUEST = 1000  # bytes of a request in these worlds, for what comes byte by byte
START_AGAIN = 0.6  # seconds from the end of a process until the next one begins


def fault(*kinds):
    def keep(function):
        for kind in kinds:
            BY_KIND[kind] = function
        return function

    return keep


def endpoints(world, target):
    """The endpoints that a target names."""
    what, _, which = target.partition(" ")
    if what == "destination":
        return [one for one in world.endpoints if str(one.destination) == which]
    if what == "endpoint":
        return [one for one in world.endpoints if one.name == f"e{which}"]
    if what == "zone":
        return [one for one in world.endpoints if one.zone == which]
    if what == "part":
        return part(world, world.endpoints, float(which))
    return list(world.endpoints) if what == "all" else []


def dispatchers(world, target):
    what, _, which = target.partition(" ")
    if what == "dispatcher":
        return [one for one in world.dispatchers if one.name == f"n{which}"]
    if what == "part":
        return part(world, world.dispatchers, float(which))
    return list(world.dispatchers) if what == "all" else []


def part(world, all_of_them, share):
    """A drawn share, one at least."""
    count = max(1, round(share * len(all_of_them)))
    drawn = world.fault_chance.permutation(len(all_of_them))[:count]
    return [all_of_them[at] for at in sorted(drawn.tolist())]


async def lasting(fault):
    await trio.sleep(fault.lasts / SEC)


# ---- endpoints


@fault("silence", "refusal", "slow", "spoilt", "errors", "resets")
async def character(world, fault):
    met = endpoints(world, fault.target)
    names = {
        "silence": ("silenced", True),
        "refusal": ("refusing", True),
        "slow": ("slower", 1 + fault.amount * 20),
        "spoilt": ("spoils", fault.amount),
    }
    if fault.kind in names:
        name, value = names[fault.kind]
        before = [(one.model, getattr(one.model, name)) for one in met]
        for one in met:
            setattr(one.model, name, value)
        await lasting(fault)
        for model, was in before:
            setattr(model, name, was)
        return
    name = fault.kind
    before = [(one.model, one.model.temper) for one in met]
    for one in met:
        one.model.temper = replaced(one.model.temper, **{name: min(1.0, fault.amount)})
    await lasting(fault)
    for model, was in before:
        model.temper = replaced(model.temper, **{name: getattr(was, name)})


@fault("throttle")
async def throttle(world, fault):
    met = endpoints(world, fault.target)
    before = [(one.model, one.model.temper.rate) for one in met]
    for one in met:
        one.model.temper = replaced(one.model.temper, rate=max(0.2, fault.amount))
    await lasting(fault)
    for model, rate in before:
        model.temper = replaced(model.temper, rate=rate)


@fault("connections")
async def connections(world, fault):
    """Endpoints take few connections, and reset what they have."""
    met = endpoints(world, fault.target)
    before = [(one, one.most_connections) for one in met]
    for one in met:
        one.most_connections = max(1, int(fault.amount))
        for sock in list(one.connections):
            sock.abort()
    await lasting(fault)
    for one, most in before:
        one.most_connections = most


def replaced(temper, **more):
    return type(temper)(**{name: getattr(temper, name) for name in temper.__slots__} | more)


# ---- paths


def paths(world, fault):
    """(from, to) of every path that the target names: endpoints' both ways, or a dispatcher's to all
    endpoints."""
    struck = [one.name for one in endpoints(world, fault.target)]
    others = [one.name for one in world.dispatchers]
    if fault.target.startswith("dispatcher"):
        struck, others = (
            [one.name for one in dispatchers(world, fault.target)],
            [e.name for e in world.endpoints],
        )
    inward = [world.fabric.path(a, b) for a in others for b in struck]
    outward = [world.fabric.path(b, a) for a in others for b in struck]
    return {"cut_in": inward, "cut_out": outward}.get(fault.kind, inward + outward)


@fault("cut", "cut_in", "cut_out")
async def cut(world, fault):
    """A partition: what is sent is held until it heals, and nothing is said."""
    met = paths(world, fault)
    for path in met:
        path.cut += 1
    await lasting(fault)
    for path in met:
        path.cut -= 1
    world.fabric.heal()
    await released(met, int(fault.lasts))


async def released(paths, lag):
    """What a cut held is late by as much when it arrives."""
    for path in paths:
        path.lag += lag
    await trio.sleep(max(2, lag / SEC))
    for path in paths:
        path.lag -= lag


@fault("slow_connect")
async def slow_connect(world, fault):
    """Connections take up to a second to come up; once they are, all is as usual."""
    met = paths(world, fault)
    for path in met:
        path.handshake += int(min(fault.amount, 1.0) * 900 * MS)
    await lasting(fault)
    for path in met:
        path.handshake -= int(min(fault.amount, 1.0) * 900 * MS)


@fault("dribble", "loss", "latency")
async def poor(world, fault):
    met = paths(world, fault)
    name, amount = {
        "dribble": ("dribble", MS),
        "loss": ("loss", min(0.9, max(0.01, fault.amount))),
        "latency": ("latency", int(fault.amount * 200 * MS)),
    }[fault.kind]
    # One segment in ten thousand is lost more often than this in a row.
    lost = int(log(1e-4) / log(amount)) * 200 * MS if fault.kind == "loss" else 0
    lag = {"dribble": MOST_REQUEST * MS, "loss": lost, "latency": amount + amount // 2}[fault.kind]
    before = [(path, getattr(path, name)) for path in met]
    for path in met:
        setattr(path, name, amount)
        path.lag += lag
    await lasting(fault)
    for path, was in before:
        setattr(path, name, was)
    await trio.sleep(max(2, lag / SEC))  # what left under the fault is still on its way
    for path in met:
        path.lag -= lag


# ---- processes and machines


@fault("kill")
async def kill(world, fault):
    """SIGKILL; the supervisor starts it again."""
    for one in dispatchers(world, fault.target):
        one.kill()


@fault("term")
async def term(world, fault):
    for one in dispatchers(world, fault.target):
        one.term()


@fault("vanish")
async def vanish(world, fault):
    """The machine says nothing for a time; its process goes on and knows of nothing."""
    met = dispatchers(world, fault.target) or endpoints(world, fault.target)
    for one in met:
        world.fabric.vanish(one.name)
    world.excuse(met, fault.lasts)
    await lasting(fault)
    for one in met:
        world.fabric.vanished.discard(one.name)
    names = {one.name for one in met}
    paths = [path for ends, path in world.fabric.paths.items() if names & set(ends)]
    world.fabric.heal()
    await released(paths, int(fault.lasts))


@fault("lose")
async def lose(world, fault):
    """The machine is lost with its folder; another takes its name and address."""
    for one in dispatchers(world, fault.target):
        world.watch.machine_lost(one)
        fresh = Disk()
        fresh.files = {path: content for path, content in one.disk.files.items() if path.startswith("/etc")}
        one.kill()
        one.disk = fresh


@fault("hup")
async def hup(world, fault):
    """The platform moves: the file is replaced, SIGHUP sent, the old address closes."""
    world.platform.moved()
    for one in world.dispatchers:
        one.replace(discovery="{}:{}".format(*world.platform.address))
    await trio.sleep(0.05)
    for one in world.dispatchers:
        one.hup()


@fault("kill_at_disk")
async def kill_at_disk(world, fault):
    """The process ends at one of its next disk calls, before or after it by the call's number."""
    for one in dispatchers(world, fault.target):
        number = one.disk.calls + 1 + int(fault.amount)
        one.disk.plan.at[number] = "kill_after" if number % 2 else "kill"


@fault("crowd")
async def crowd(world, fault):
    """So many strangers a second at each dispatcher met, who send half a request and stay."""
    await strangers(world, fault, lambda one: one.address, b"POST /api HTTP/1.1\r\nHost: api\r\nX-Tr")


@fault("callers")
async def callers(world, fault):
    """So many callers a second at each door, who never finish their line."""
    await strangers(world, fault, lambda one: one.door, b"STA")


async def strangers(world, fault, where, text):
    host, until = world.fabric.host("strangers"), elapsed() + int(fault.lasts)

    async def stay(address):
        try:
            sock = await host.connect(address)
            await sock.sendmsg([text])
            while await sock.recv(1 << 12):
                pass
            sock.close()
        except (OSError, trio.ClosedResourceError):
            pass

    async with trio.open_nursery() as staying:
        while elapsed() < until:
            for one in dispatchers(world, fault.target):
                if one.alive:
                    staying.start_soon(stay, where(one))
            await trio.sleep(1 / max(fault.amount, 0.1))
        staying.cancel_scope.cancel()


# ---- disks and clocks


@fault("disk_full", "disk_error")
async def disk(world, fault):
    met = dispatchers(world, fault.target)
    for one in met:
        if fault.kind == "disk_full":
            one.disk.plan.capacity = one.disk.used()
        else:
            one.disk.plan.failing = errno.EIO
    world.excuse(met, fault.lasts)
    await lasting(fault)
    for one in met:
        one.disk.plan.capacity = one.disk.plan.failing = None


@fault("disk_short", "rename_error")
async def disk_once(world, fault):
    """Some of the next disk calls go half way, or fail once."""
    for one in dispatchers(world, fault.target):
        for ahead in range(1, 1 + max(1, int(fault.amount))):
            one.disk.plan.at[one.disk.calls + 3 * ahead] = (
                "short" if fault.kind == "disk_short" else errno.EIO
            )


@fault("clock_step")
async def clock_step(world, fault):
    """The system's clock is set by some seconds, on by an even number and back by an odd one; the next
    start of a process there meets it."""
    for one in dispatchers(world, fault.target):
        step = int(fault.amount) * SEC * (-1 if int(fault.amount) % 2 else 1)
        one.clock.skew += step


# ---- the list


@fault("discovery_silent", "discovery_empty", "discovery_late")
async def discovery(world, fault):
    platform = world.platform
    name, value = {
        "discovery_silent": ("silent", True),
        "discovery_empty": ("empty", True),
        "discovery_late": ("late", 3 * SEC),
    }[fault.kind]
    setattr(platform, name, value)
    if name == "silent":
        world.watch.platform_silent_until = max(world.watch.platform_silent_until, 1 << 61)
    if name == "late":
        world.watch.list_late = value
    if name == "empty":
        platform.revision += 1
        platform.news.set()
        platform.news = trio.Event()
    await lasting(fault)
    setattr(platform, name, type(value)(0))
    if name == "late":
        world.watch.list_late = 0
    if name == "silent":
        world.watch.platform_silent_until = world.watch.now() + 6 * SEC
    if name == "empty":
        for endpoint in world.endpoints:
            platform.endpoint(endpoint)


@fault("drain")
async def drain(world, fault):
    """Endpoints are to finish what they have; later they are back."""
    met = endpoints(world, fault.target)
    for one in met:
        one.phase = "terminating"
        world.platform.endpoint(one)
    if not (world.platform.silent or world.platform.late):
        world.told_drained(met)
    await lasting(fault)
    for one in met:
        one.phase = "in_service"
        world.undrained(one)
        world.platform.endpoint(one)


@fault("replace")
async def replace(world, fault):
    """Endpoints go for good, and new ones under new names come in their place."""
    for one in endpoints(world, fault.target):
        one.phase = "terminated"
        world.platform.endpoint(one)
        await world.again(one)


@fault("join")
async def join(world, fault):
    """Another dispatcher joins."""
    await world.join()
