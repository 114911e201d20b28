"""Digest of a message's content: tells a repeated request from another message under its id.  No I/O."""

from base64 import urlsafe_b64encode
from hashlib import blake2b

DIGEST_SIZE = 12  # bytes; 16 characters as text
LENGTH_SIZE = 8  # bytes of the length in front of each field, so that no two lists of fields look alike
UNKNOWN_DIGEST = ""  # of a message that an earlier version recorded without one


def content_digest(topic, destination, key, ordering_key, body):
    """The digest, as text, of what a client hands in under an id: all that is sent on or decides how.

    topic, key and ordering_key are text, destination is a number, body is bytes.  The TTL is left out, since
    a client that sends a request again counts it anew."""
    digest = blake2b(digest_size=DIGEST_SIZE)
    for field in (topic.encode(), str(destination).encode(), key.encode(), ordering_key.encode(), body):
        digest.update(len(field).to_bytes(LENGTH_SIZE))
        digest.update(field)
    return urlsafe_b64encode(digest.digest()).decode()


def is_same_content(known, digest):
    """Whether a request with this digest may be the one with the known digest, sent again."""
    return known in (UNKNOWN_DIGEST, digest)
