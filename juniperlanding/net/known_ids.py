"""The ids of accepted notifications, each with the digest of its content.  No I/O and no clock."""

BYTES_PER_ID = 512  # memory that a remembered id takes with its digest, its timer and its ledger entry
MEMORY_SHARE = 16  # ended notifications' ids may take 1/MEMORY_SHARE of the memory


class KnownIds:
    """Maps each id to the digest of its content (text), so that one that comes again is not run again.

    Pending ones are limited by what may be pending.  Ended ones are remembered until their TTL, which may be
    a day; `oldest_over_limit` names the one to forget first where they take too much memory.

    max_memory: bytes that the ids of ended notifications may take."""

    def __init__(self, max_memory):
        self.max_memory = max_memory
        self.digests = {}
        self.ended = {}  # id: memory in bytes that it takes; the one that ended first comes first
        self.ended_memory = 0

    def __len__(self):
        return len(self.digests)

    def __contains__(self, ntf_id):
        return ntf_id in self.digests

    def add(self, ntf_id, digest):
        """Remember the id of a pending notification."""
        self.digests[ntf_id] = digest

    def digest(self, ntf_id):
        """The digest of a known id; KeyError for another one."""
        return self.digests[ntf_id]

    def end(self, ntf_id):
        """The notification of a known id has ended; another id is passed over."""
        if ntf_id in self.digests:
            self.forget_end(ntf_id)
            self.ended[ntf_id] = BYTES_PER_ID + len(ntf_id)
            self.ended_memory += self.ended[ntf_id]

    def oldest_over_limit(self):
        """The id that ended first, if the ended ones take more memory than they may; else None."""
        return next(iter(self.ended)) if self.ended_memory > self.max_memory else None

    def forget(self, ntf_id):
        """Forget an id, known or not."""
        self.digests.pop(ntf_id, None)
        self.forget_end(ntf_id)

    def forget_end(self, ntf_id):
        """Take an id out of the ended ones, if it is one of them."""
        self.ended_memory -= self.ended.pop(ntf_id, 0)
