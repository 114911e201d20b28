"""An emulated disk: files that outlast a process, with faults at every call.

It has the methods of `ground.seams.FileSystem`.  `Disk` is what lasts; `Mount` is one process's view of it,
gone with it.
Every
call has a number; a `Plan` says what happens at which: nothing, an error, a short write, or the end of the
process before or after the call."""

import errno
import os
from dataclasses import dataclass, field

BLOCK = 512


class Killed(BaseException):
    """The process ends here, at once: whatever it does on its way out reaches nothing any more."""


@dataclass
class Plan:
    """Faults of one disk.  at: call number -> "kill", "kill_after", "short" or an errno; spare: bytes that
    may
    still be written (None: no bound); failing: an errno for every write and rename until it is None again."""

    at: dict = field(default_factory=dict)
    capacity: int | None = None
    failing: int | None = None


class Disk:
    def __init__(self, plan=None):
        self.files, self.plan, self.calls, self.log = {}, plan or Plan(), 0, []
        self.locked_by = {}

    def used(self):
        return sum(-(-len(content) // BLOCK) * BLOCK for content in self.files.values())


class Mount:
    """One process's files.  `die` is called when the plan ends the process; it raises `Killed` from then
    on."""

    def __init__(self, disk, die=lambda: None):
        self.disk, self.die, self.open_files, self.next, self.dead = disk, die, {}, 3, False

    async def run_in_thread(self, what, *fields):
        return what(*fields)

    def step(self, name, path=""):
        """Count a call and let its fault happen; returns "kill_after" or "short" for those of it that come
        later."""
        if self.dead:
            raise Killed
        disk = self.disk
        disk.calls += 1
        fault = disk.plan.at.pop(disk.calls, None)
        if fault == "kill":
            self.kill()
        if isinstance(fault, int):
            raise OSError(fault, os.strerror(fault), path)
        if name in ("write", "rename", "truncate", "open") and disk.plan.failing:
            raise OSError(disk.plan.failing, os.strerror(disk.plan.failing), path)
        return fault

    def kill(self):
        self.dead = True
        self.die()
        raise Killed

    def after(self, fault):
        if fault == "kill_after":
            self.kill()

    def open(self, path, fresh=False):
        fault = self.step("open", path)
        content = self.disk.files.setdefault(str(path), bytearray())
        if fresh:
            content = self.disk.files[str(path)] = bytearray()  # others' descriptors keep the old one
        self.next += 1
        self.open_files[self.next] = content
        self.after(fault)
        return self.next

    def write(self, file, data):
        fault, content = self.step("write"), self.open_files[file]
        data = bytes(data)
        if fault == "short" and len(data) > 1:
            data = data[: len(data) // 2]
        spare = len(data)
        if self.disk.plan.capacity is not None:
            grown = self.disk.used() - -(-len(content) // BLOCK) * BLOCK
            spare = self.disk.plan.capacity - grown - len(content)
            if spare <= 0 and data:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        content += data[:spare]
        self.after(fault)
        return min(len(data), spare)

    def truncate(self, file, size):
        fault = self.step("truncate")
        del self.open_files[file][size:]
        self.after(fault)

    def sync(self, file):
        self.after(self.step("sync"))

    def close(self, file):
        fault = self.step("close")
        self.open_files.pop(file, None)
        self.after(fault)

    def rename(self, source, target):
        fault = self.step("rename", source)
        self.disk.files[str(target)] = self.disk.files.pop(str(source))
        self.after(fault)

    def unlink(self, path):
        fault = self.step("unlink", path)
        if self.disk.files.pop(str(path), None) is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        self.after(fault)

    def size(self, path):
        """Changes nothing, so it is no step at which a fault could be told from one before or after it."""
        if self.dead:
            raise Killed
        if str(path) not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        return len(self.disk.files[str(path)])

    def list(self, folder):
        self.step("list", folder)
        start = f"{folder}/"
        return sorted(
            {path[len(start) :].partition("/")[0] for path in self.disk.files if path.startswith(start)}
        )

    def read(self, path, most=1 << 30):
        self.step("read", path)
        content = self.disk.files.get(str(path))
        if content is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        return bytes(content[:most])

    def lock(self, folder):
        self.step("lock", folder)
        holder = self.disk.locked_by.get(folder)
        if holder is not None and not holder.dead and holder is not self:
            raise OSError(errno.EBUSY, "in use", folder)
        self.disk.locked_by[folder] = self
        return Held(self.disk, folder, self)


@dataclass
class Held:
    disk: Disk
    folder: str
    mount: Mount

    def close(self):
        if self.disk.locked_by.get(self.folder) is self.mount:
            del self.disk.locked_by[self.folder]
