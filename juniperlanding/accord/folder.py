"""What the accord keeps on disk, each file whole: a mark, a digest and MessagePack.  It is written beside the
old one and put in its place in one step."""

from hashlib import blake2b

import msgspec

from juniperlanding.accord.words import Kept

KEPT, TERMS = "accord", "policies"  # a voter's record; the documents that something owed was taken on under
MARK, DIGEST, MOST_FILE = b"jl-accord-1\n", 16, 1 << 22
FORMS = {KEPT: msgspec.msgpack.Decoder(Kept), TERMS: msgspec.msgpack.Decoder(dict[int, bytes])}


class Folder:
    def __init__(self, files, folder, log):
        self.files, self.folder, self.log = files, folder, log

    def read(self, name, empty):
        """What `write` wrote, `empty` if nothing or something else is there; OSError if it cannot be told.

        Threats: a torn, foreign or empty file; it counts as none, and others are asked anyway."""
        path = f"{self.folder}/{name}"
        try:
            data = self.files.read(path, MOST_FILE)
        except FileNotFoundError:
            return empty
        digest, body = data[len(MARK) :][:DIGEST], data[len(MARK) + DIGEST :]
        try:
            if not data.startswith(MARK) or digest != blake2b(body, digest_size=DIGEST).digest():
                raise ValueError("torn or foreign")
            return FORMS[name].decode(body)
        except (ValueError, RecursionError) as error:  # msgspec's errors are ValueErrors
            self.log("policy", "what was written down counts as nothing", file=path, why=str(error))
            return empty

    def write(self, name, what):
        """Returns once it is on disk, whatever the process meets; OSError, and the old one stands.

        Threat: the machine loses power just after the promise was told; so the file is synced before that."""
        path, body = f"{self.folder}/{name}", msgspec.msgpack.encode(what)
        data = memoryview(MARK + blake2b(body, digest_size=DIGEST).digest() + body)
        file = self.files.open(path + ".new", fresh=True)
        try:
            while data:
                data = data[self.files.write(file, data) :]
            self.files.sync(file)
        finally:
            self.files.close(file)
        self.files.rename(path + ".new", path)
