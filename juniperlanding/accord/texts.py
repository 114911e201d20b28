"""Documents by their digest, and how they come here in pieces.  No I/O, clock or trio."""

from math import ceil

from juniperlanding.accord import words

MOST_TEXTS, AT_ONCE, MOST_WANTED, MOST_ASKED = 4, 16, 4, 100


class Wanted:
    def __init__(self, digest, now):
        self.digest, self.sources, self.of, self.pieces = digest, [], None, {}
        self.again_at, self.asked, self.asks = now, {}, 0


class Texts:
    def __init__(self, home, documents):
        self.home, self.held, self.wanted = home, {"": b""} | dict(documents), {}

    def get(self, digest):
        return self.held.get(digest)

    def some(self, *digests):
        return {digest: self.held[digest] for digest in digests if digest and digest in self.held}

    def put(self, digest, document):
        """At most `MOST_TEXTS` beside those that are in use."""
        self.held.pop(digest, None)
        self.held[digest] = document
        pinned = self.home.pinned()
        spare = [one for one in self.held if one not in pinned and one != digest]
        for one in spare[: max(0, len(spare) - MOST_TEXTS)]:
            del self.held[one]

    def want(self, digest, source, now):
        """Fetch it; from `source` first, which said that it has it."""
        if digest in self.held:
            return
        if digest not in self.wanted:
            if len(self.wanted) >= MOST_WANTED:
                pinned = self.home.pinned()
                spare = [one for one in self.wanted if one not in pinned]
                self.wanted.pop((spare or list(self.wanted))[0])
            self.wanted[digest] = Wanted(digest, now)
        wanted = self.wanted[digest]
        if source and source != self.home.name and source not in wanted.sources:
            wanted.sources = [source, *wanted.sources][: words.MOST_VOTERS]
        if now >= wanted.again_at:
            self.ask(wanted, now)

    def due(self):
        return min((wanted.again_at for wanted in self.wanted.values()), default=1 << 62)

    def tick(self, now):
        pinned = self.home.pinned()
        for wanted in list(self.wanted.values()):
            if now >= wanted.again_at:
                if wanted.asks >= MOST_ASKED and wanted.digest not in pinned:
                    del self.wanted[wanted.digest]
                else:
                    self.ask(wanted, now)

    def ask(self, wanted, now):
        """What is missing, some at once; from the next who may have it if the last gave nothing."""
        sources = wanted.sources + [
            name for name in self.home.voters if name not in wanted.sources and name != self.home.name
        ]
        if not sources:
            return
        wanted.again_at = now + (self.home.tuning.again << min(wanted.asks // 8, 4))
        wanted.asked = {}
        wanted.source = sources[wanted.asks % len(sources)]
        wanted.asks += 1
        self.more(wanted)

    def more(self, wanted):
        for piece in range(wanted.of or 1):
            if len(wanted.asked) >= AT_ONCE:
                return
            if piece not in wanted.pieces and piece not in wanted.asked:
                wanted.asked[piece] = True
                self.home.say(wanted.source, words.Fetch(wanted.digest, piece))

    def fetch(self, source, message):
        document = self.held.get(message.digest)
        if document:
            of = ceil(len(document) / words.PIECE)
            if message.piece < of:
                data = document[message.piece * words.PIECE :][: words.PIECE]
                self.home.say(source, words.Piece(message.digest, message.piece, of, data))

    def piece(self, source, message, now):
        """Threat: pieces of two different documents under one digest; the whole must have the digest."""
        wanted = self.wanted.get(message.digest)
        if not wanted or not message.piece < message.of <= ceil(words.MOST_DOCUMENT / words.PIECE):
            return
        if wanted.of not in (None, message.of):
            return
        wanted.of = message.of
        wanted.pieces[message.piece] = message.data
        wanted.asked.pop(message.piece, None)
        if len(wanted.pieces) < wanted.of:
            wanted.again_at = now + self.home.tuning.again
            return self.more(wanted)
        document = b"".join(wanted.pieces[at] for at in range(wanted.of))
        if words.digest_of(document) != message.digest:
            wanted.of, wanted.pieces = None, {}
            return
        del self.wanted[message.digest]
        self.put(message.digest, document)
        self.home.arrived(message.digest, now)
