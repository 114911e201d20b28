"""Decides whether a response can be that of the call just made, by how soon it came.  No I/O, clock or trio.

HTTP/1.1 pairs requests and responses on a connection by their order alone.  A response that an endpoint sends
once more, right after the next request, looks like the response to that request."""

from collections import deque

RECENT_RESPONSES = 16  # response times that are remembered
FAST_OUTLIERS = 1  # of these, how many may be fast ones that do not count
EARLY_DIVISOR = 4  # early: sooner than this part of the fastest response that counts
LATE_FACTOR = 2  # a response is no longer expected after this multiple of the slowest one


class ResponseTimes:
    """Recent response times of one endpoint: nanoseconds from a request's last byte to the response."""

    def __init__(self):
        self.recent = deque(maxlen=RECENT_RESPONSES)

    def add(self, response_time):
        """Remembers the response time of a call that was delivered."""
        self.recent.append(response_time)

    def is_early(self, response_time):
        """Whether a response comes so soon that it may belong to an earlier request; not with no samples."""
        if not self.recent:
            return False
        by_time = sorted(self.recent)
        fastest = by_time[min(FAST_OUTLIERS, len(by_time) - 1)]
        return response_time < fastest // EARLY_DIVISOR

    def latest(self):
        """The response time after which no response of its own is expected; 0 with no samples."""
        return LATE_FACTOR * max(self.recent, default=0)
