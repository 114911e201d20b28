"""Hosts many dispatchers in one process and turns decoded events into calls; they share no state.

`Drill` has one method for each event of the wire, called by the event's name."""

import json
import sys

from juniperlanding.choice import Dispatcher
from juniperlanding.drill import codec
from juniperlanding.settings import report_names, translate_settings


class DrillHost:
    """The host of one dispatcher: appends what it asks for to a list of encoded actions, in that order."""

    def __init__(self, number, actions):
        self.number, self.actions = number, actions

    def act(self, name, *fields, text=None):
        self.actions.append(codec.action(name, self.number, *fields, text=text))

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        self.act("try", ntf_id, endpoint_id, timeout)

    def cancel(self, ntf_id, number):
        self.act("abort_attempt", ntf_id, number)

    def throttled(self, ntf_id, again_in):
        self.act("not_now", ntf_id, again_in)

    def expired(self, ntf_id):
        self.act("end_failed", ntf_id)

    def timer(self, delay, tok):
        self.act("after", delay, tok)

    def probe(self, endpoint_id):
        self.act("inspect", endpoint_id)

    def close_idle(self, endpoint_id):
        self.act("disconnect", endpoint_id)

    def subscribe(self, on):
        self.act("track", int(on))

    def fetch_list(self):
        self.act("snapshot")

    def note(self, rank, body):
        self.act("say", codec.EVERYONE if rank is None else rank, text=body)

    def log(self, text):
        self.act("trace", text=text.encode())


class Drill:
    """All dispatchers of the process, by number, and the endpoint lists that events refer to."""

    def __init__(self):
        self.dispatchers = {}
        self.lists = {}
        self.actions = []

    def batch(self, now, count, body):
        """Hand in all events of a batch, then run one iteration of each dispatcher that had one."""
        self.actions.clear()  # all hosts append to this one list
        touched = {}
        for name, fields in codec.records(count, body):
            if name == "directory":
                self.lists[fields[0]] = fields[1]
                continue
            number = fields[0]
            try:
                if name == "enlist":
                    settings = translate_settings(json.loads(fields[2]))
                    host = DrillHost(number, self.actions)
                    self.dispatchers[number] = Dispatcher(host, settings, seed=fields[1], now=now)
                elif name == "stop":
                    self.dispatchers.pop(number, None)
                    touched.pop(number, None)
                    continue
                if number in self.dispatchers:
                    touched[number] = self.dispatchers[number]
                    touched[number].now = now
                    getattr(self, name)(touched[number], *fields[1:])
            except codec.Malformed:
                raise
            except Exception as error:  # the wire's one way to report that the decision code failed
                self.report_failure(number, error)
        for number, dispatcher in touched.items():
            try:
                dispatcher.decide()
            except Exception as error:
                self.report_failure(number, error)
        return self.actions

    def report_failure(self, number, error):
        text = f"{type(error).__name__}: {error}"
        self.actions.append(codec.action("give_in", number, text=text.encode()))

    # ---- events, by name

    def enlist(self, dispatcher, seed, settings):
        dispatcher.start()

    def established(self, dispatcher, ntf, hop, endpoint, spent):
        pass  # no deployment has streams, so nothing depends on the start of an answer

    def pong(self, dispatcher, endpoint, code, spent, report):
        pass  # the module asks for no checks

    def wake(self, dispatcher, tok):
        dispatcher.wake(tok)

    def datagram(self, dispatcher, sender, body):
        dispatcher.note(sender, body)

    def topology(self, dispatcher, kind, stamp, number):
        if kind not in codec.NEWS:
            raise codec.Malformed(f"unknown kind of list news {kind}")
        news = codec.NEWS[kind]
        if news != "failed" and number not in self.lists:
            raise codec.Malformed(f"no list {number}")
        entries = [] if news == "failed" else self.lists[number]
        dispatcher.update_endpoints(
            news,
            [
                (endpoint, destination, kind, scale, zone, codec.STATES.get(state, "gone"))
                for kind, endpoint, scale, zone, since, state, destination in entries
            ],
        )

    def finished(self, dispatcher, ntf, endpoint, hop, detail, spent, complete, code, report):
        dispatcher.outcome(
            ntf,
            hop,
            self.outcome(code),
            latency=spent,
            wait=detail * 1_000_000,
            over=bool(complete),
            report=dict(zip(report_names(dispatcher.state.settings), report, strict=False)),
        )

    def vanished(self, dispatcher, ntf):
        dispatcher.withdraw(ntf)

    def incoming(self, dispatcher, ntf, grade, tenant, key, ttl_at, work, destination, bits):
        names = [*dispatcher.state.settings.get("tenants", {})]
        dispatcher.notification(
            ntf,
            grade,
            int(destination),
            ttl_at=ttl_at,
            key=key,
            tenant=names[tenant] if tenant < len(names) else "",
        )

    @staticmethod
    def outcome(code):
        if code not in codec.OUTCOMES:
            raise codec.Malformed(f"unknown outcome {code}")
        return codec.OUTCOMES[code]


def main(source=None, sink=None):
    """Answer batches from standard input until it ends.  The exit code is 2 after a malformed frame."""
    source, sink = source or sys.stdin.buffer, sink or sys.stdout.buffer
    drill = Drill()
    try:
        while batch := codec.read_batch(source):
            number, now, count, body = batch
            sink.write(codec.reply(number, drill.batch(now, count, body)))
            sink.flush()
    except codec.Malformed as fault:
        print(f"juniperlanding.drill: {fault}", file=sys.stderr)
        return 2
    return 0
