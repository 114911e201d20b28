"""The loss of a whole site on real processes: what the others foretold of it against what came.

Clients stand beside each site and reach it through a front; a site that is lost, dispatchers by SIGKILL
and endpoints too, has its clients turned to the neighbours in the shares that a neighbour foretold.  The rate
is a drawn part of what the neighbours carry, which follows from slots and the endpoints' times alone."""

import json
import math
import re
from dataclasses import dataclass, field
from functools import partial
from random import Random
from zlib import crc32

import msgspec
import trio

from juniperlanding.choice import MS, SEC, benefit
from juniperlanding.processes.rig import SITES, Process, Rig
from juniperlanding.sites import figures as told
from juniperlanding.sites.project import Member, project
from juniperlanding.standins.audit import Audit
from juniperlanding.standins.clients import Clients, Topic
from juniperlanding.standins.endpoints import Endpoint
from juniperlanding.standins.temper import Character, Temper
from juniperlanding.state import Notification

LEVELS = (0.5, 0.8, 1.1)  # of what the neighbours of a lost site carry
SLOTS, PRICE = 6, 0.05  # calls out at once at each process; of a crossing
STEADY = Temper("steady", median=250 * MS, spread=0.3)
TOPICS = (
    Topic("news", "repeatable", 600 * MS, 4 * SEC, 0.5),
    Topic("status", "collapsible", 500 * MS, 3 * SEC, 0.2, 1500 * MS),
    Topic("order", "once-only", SEC, 4 * SEC, 0.3),
)
WORTH = {"news": 1.0, "status": 2.0, "order": 3.0}
LATE_SHARE = 0.1
NOTICES = 1.0  # seconds until the front turns a lost site's clients away
CALM, FROM, UNTIL, LASTS = 10.0, 5.0, 17.0, 20.0  # seconds before a loss; of it that are compared; of it
ENDPOINTS = {1: 3, 2: 3, 3: 2, 4: 1}  # destination -> sites that have an endpoint of it
FRESH = 8.0  # seconds since a projection was made, for it to be compared
MEASURES = ("refused", "lost", "crossings")


@dataclass
class Loss:
    """cells: (measure, topic) -> foretold, least, most, seen, by an even split, as now; a second."""

    site: str
    level: float
    tested: int
    known: str
    cells: dict = field(default_factory=dict)
    offered: dict = field(default_factory=dict)
    load: tuple = ()  # foretold, seen, of the whole fleet
    equal: bool = True  # whether two neighbours' doors foretold the same shares
    rested_on: str = ""  # the door's FIGURES just before


class Stood(Process):
    """A dispatcher of a site, which the platform's file tells where it stands and what a crossing costs."""

    def write(self, seeds):
        super().write(seeds)
        rig, file = self.rig, self.folder / "serve.toml"
        text = file.read_text()
        head, _, _ = text.partition("[[topic]]")
        topics = "".join(
            f'[[topic]]\nname = "{t.name}"\nkind = "{t.kind}"\nobjective = "{t.objective // MS}ms"\n'
            f'ttl = "{t.ttl // MS}ms"\nbenefit = {WORTH[t.name]}\nlate_share = {LATE_SHARE}\n'
            + (f'window = "{t.window // MS}ms"\n' if t.window else "")
            for t in TOPICS
        )
        head = head.replace('zones = ["a"]', f"zones = {json.dumps(rig.sites)}")
        head = head.replace("slots = 64", f"slots = {SLOTS}").replace(
            "[[kind]]", "[sites]\nenabled = true\n[[kind]]"
        )
        head = re.sub(r'site = "\w*"', f'site = "{self.site}"', head)
        file.write_text(head + topics)
        platform = self.folder / "platform.json"
        platform.write_text(
            json.dumps({"settings": {"az": rig.sites.index(self.site), "costs": {"cross_zone": PRICE}}})
        )
        self.told = {"EDGE_CONFIG": str(platform)}

    @property
    def site(self):
        return self.rig.sites[self.number % len(self.rig.sites)]


class Placed(Endpoint):
    """An endpoint of a site, which notes whose deliveries cross."""

    def __init__(self, site, rig, *fields):
        super().__init__(*fields)
        self.site, self.rig = site, rig

    def listed(self, kind="shop", zone="a", scale=100.0):
        return super().listed(kind, self.site, scale)


class Crossing(Audit):
    """The audit, and where each notification was delivered."""

    def __init__(self, rig):
        super().__init__(rig.now)
        self.rig, self.at = rig, {}

    def seen_at(self, site, ntf_id):
        self.delivered(ntf_id)
        self.at.setdefault(ntf_id, site)


class Through:
    """What one endpoint tells the audit."""

    def __init__(self, audit, site):
        self.pushed, self.delivered = audit.pushed, partial(audit.seen_at, site)


class Region(Rig):
    def __init__(self, count, folder, seed="1", rate=0.0, sites=3):
        super().__init__(count, folder, seed, rate)
        self.sites = [*SITES, "south", "centre"][:sites]
        self.members = [Stood(self, number) for number in range(count)]
        self.audit, self.losses, self.lost = Crossing(self), [], set()
        self.level = LEVELS[crc32(f"{seed}/level".encode()) % len(LEVELS)]
        self.plan, self.noticed, self.counter = {}, set(), 0
        each = STEADY.median * math.exp(STEADY.spread**2 / 2) / SEC
        neighbours = min(sum(m.site != site for m in self.members) for site in self.sites)
        self.rate = self.level * neighbours * SLOTS / each
        draw = Random(f"{seed}/shares")
        self.weights = {m.name: draw.uniform(0.6, 1.4) for m in self.members}
        self.stranding = draw.random() < 1 / 3
        self.places = {1: 1.0, 2: draw.uniform(0.5, 1), 3: draw.uniform(0.3, 0.8)}
        self.places |= {4: 0.1} if self.stranding else {}

    async def prepare(self, nursery):
        from juniperlanding.standins.peers import Platform

        self.platform = await Platform().open(nursery)
        self.platform.answer = self.reply
        number = 0
        for destination in self.places:
            for at in range(min(ENDPOINTS[destination], len(self.sites))):
                site, number = self.sites[(destination + at) % len(self.sites)], number + 1
                made = Placed(
                    site,
                    self,
                    number,
                    destination,
                    Character(STEADY, Random(f"{self.seed}/endpoint {number}")),
                    Through(self.audit, site),
                    self.now,
                )
                self.endpoints.append(await nursery.start(made.run))
        self.write_links()

    # ---- the front

    async def load(self):
        """One even stream, so that chance in what is offered hides nothing; each goes to a site by drawn
        shares, and there to a dispatcher."""
        chance = Random(f"{self.seed}/load")
        clients = {
            m.name: Clients(("127.0.0.1", m.listen), self.audit, self.now, m.name) for m in self.members
        }
        turn = dict.fromkeys(self.weights, 0.0)
        begun, gap = self.now(), SEC / self.rate
        async with trio.open_nursery() as nursery:
            while True:
                self.counter += 1
                at = begun + int((self.counter + chance.uniform(-0.5, 0.5)) * gap)
                await trio.sleep(max(0, at - self.now()) / SEC)
                name = self.dealt(turn)
                topic = chance.choices(TOPICS, [t.share for t in TOPICS])[0]
                place = chance.choices([*self.places], [*self.places.values()])[0]
                nursery.start_soon(
                    clients[name].submit,
                    f"{name}-{self.seed}-{self.counter}",
                    topic,
                    place,
                    chance.randrange(40, 600),
                )

    def dealt(self, turn):
        """Who is next: each in proportion to what it is to have, a lost site's part by the plan."""
        whole = sum(self.weights.values())
        wanted = {name: weight / whole for name, weight in self.weights.items()}
        gone = {m.name for m in self.members if m.site in self.noticed}
        moved = sum(wanted.pop(name) for name in gone)
        for name, share in self.plan.items() if gone else ():
            wanted[name] = wanted.get(name, 0.0) + moved * share
        for name, share in wanted.items():
            turn[name] += share
        best = max(wanted, key=turn.__getitem__)
        turn[best] -= sum(wanted.values())
        return best

    # ---- a loss

    async def lose(self, site):
        """Ask neighbours what they foretell, lose it, wait, bring it back; a `Loss` is noted."""
        near = [m for m in self.members if m.site != site]
        asked, other = self.chance.sample(near, 2)
        foretold, second = await self.foretold(asked, site), await self.foretold(other, site)
        rested_on = await asked.ask("FIGURES") or ""
        even = self.even(rested_on, site, near)
        shares = foretold["shares"]
        self.plan = {name: share / sum(shares.values()) for name, share in shares.items()}
        at = self.now()
        for endpoint in self.endpoints:
            endpoint.character.refusing = endpoint.character.refusing or endpoint.site == site
        for member in self.members:
            if member.site == site:
                await member.kill()
        await trio.sleep(NOTICES)
        self.noticed.add(site)
        yield "lost", [{m.name for m in near}]
        await trio.sleep(max(0.0, LASTS - (self.now() - at) / SEC))
        self.noticed.discard(site)
        for endpoint in self.endpoints:
            endpoint.character.refusing = endpoint.character.refusing and endpoint.site != site
        for member in self.members:
            if member.site == site:
                await member.start()
        yield "back", [self.everybody]
        self.losses.append((site, foretold, second, even, rested_on, at))

    async def foretold(self, member, site):
        """What a door's `SITES` says of one site, as it stands in calm: from all members, and made lately."""
        for _ in range(60):
            part = re.split(r"^(?=\S)", await member.ask("SITES") or "", flags=re.M)
            for block in part:
                if block.startswith(f"{site} ") and "load=" in block:
                    found = read(block)
                    if found["known"] == f"{self.count}/{self.count}" and found["made"] < FRESH:
                        return found
            await trio.sleep(0.5)
        raise RuntimeError(f"{member.name} foretells nothing of {site}: {part}")

    def even(self, rested_on, site, near):
        """The same projection with equal shares, from the same figures."""
        topics = [
            {
                "name": t.name,
                "kind": t.kind,
                "objective": t.objective,
                "ttl": t.ttl,
                "fades": "line",
                "benefit": WORTH[t.name],
                "late_share": LATE_SHARE,
            }
            for t in TOPICS
        ]
        made = project(
            members(rested_on), site, topics, lambda a, b: PRICE, {m.name: 1 / len(near) for m in near}
        )
        return {
            (measure, name): getattr(line, measure).value
            for name, line in made.topics.items()
            for measure in MEASURES
        }

    def judged(self):
        """A `Loss` for each, once every notification has its end."""
        return [self.compared(*loss) for loss in self.losses]

    def compared(self, site, foretold, second, even, rested_on, at):
        begun, ended = at + int(FROM * SEC), at + int(UNTIL * SEC)
        made = Loss(
            site,
            self.level,
            foretold["tested"],
            foretold["known"],
            rested_on=rested_on,
            load=(round(foretold["load"], 2),),
            equal=all(
                abs(share - second["shares"].get(name, 0)) < 0.02
                for name, share in foretold["shares"].items()
            ),
        )
        for topic in TOPICS:
            mine = [
                r
                for r in self.audit.records.values()
                if r.topic == topic.name and begun <= r.handed_at < ended
            ]
            came = self.came(topic, mine, (ended - begun) / SEC)
            line = foretold["topics"][topic.name]
            made.offered[topic.name] = line["offered"], len(mine) * SEC / (ended - begun)
            for measure in MEASURES:
                made.cells[f"{measure} {topic.name}"] = (
                    *line[measure],
                    round(came[measure], 3),
                    round(even[measure, topic.name], 3),
                    line["now"][MEASURES.index(measure)],
                )
        return made

    def came(self, topic, records, seconds):
        """What the window's notifications cost, as clients, endpoints and platform saw it."""
        refused = lost = crossings = 0.0
        named = {
            "benefit": WORTH[topic.name],
            "objective": topic.objective,
            "ttl": topic.ttl,
            "late_share": LATE_SHARE,
        }
        for record in records:
            age = record.delivered_at - record.handed_at
            if not record.delivered_at or age >= topic.ttl:
                refused, lost = refused + 1, lost + WORTH[topic.name]
                continue
            lost += WORTH[topic.name] - benefit(Notification(0, named, None, topic.ttl), age)
            crossings += self.audit.at[record.id] != self.site_of(record.id)
        return {"refused": refused / seconds, "lost": lost / seconds, "crossings": crossings / seconds}

    def site_of(self, ntf_id):
        name = ntf_id.partition("-")[0]
        return next(m.site for m in self.members if m.name == name)


async def region(rig):
    """Each site lost once, in a drawn order, and back."""
    for site in rig.chance.sample(rig.sites, len(rig.sites)):
        await trio.sleep(CALM)
        async for step, groups in rig.lose(site):
            yield f"{site} {step}", groups


NUMBER = r"(-?[\d.]+)"
BAND = rf"{NUMBER}\[{NUMBER},{NUMBER}\]"


def read(block):
    """One site's lines of the door as plain figures."""
    found = {
        "shares": {},
        "topics": {},
        "load": float(re.search(rf"load={NUMBER}/s", block)[1]),
        "known": re.search(r"rests_on=(\S+)", block)[1],
        "tested": 0,
        "made": float(re.search(rf"made={NUMBER}s", block)[1]),
    }
    line = next(line for line in block.splitlines() if "load=" in line)
    found["shares"] = {
        name: float(share) / 100 for name, share in re.findall(rf"(\S+)={NUMBER}%", line) if name != "over"
    }
    for line in block.splitlines():
        if " offered=" in line and "seen" not in line.split():
            row = {
                "offered": float(re.search(rf"offered={NUMBER}", line)[1]),
                "now": [float(figure) for figure in re.search(r"now=(\S+)", line)[1].split(",")],
            }
            for measure in MEASURES:
                row[measure] = tuple(map(float, re.search(rf"{measure}={BAND}", line).groups()))
            found["topics"][line.split()[0]] = row
            found["tested"] = int(re.search(r"tested=(\d+)", line)[1])
    return found


def members(said):
    """The door's `FIGURES` as the projection takes them."""
    found = []
    for line in said.splitlines()[1:-1]:
        name, site, state, age, data = line.split()
        figures = told.decoded(bytes.fromhex(data)) if data != "-" else None
        found.append(Member(name, "" if site == "-" else site, state == "lives", figures, int(age)))
    return found


def plain(losses):
    """For `--json`."""
    return msgspec.to_builtins(losses)
