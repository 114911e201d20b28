"""Holds a process up once: `hold.py PID FILE SECONDS`; each line on standard input asks for one hold.

A line is the number of seconds for which to look.  As soon as FILE grows, the process is stopped for SECONDS
and continued.  The answer is one line: the seconds for which it was held, or 0 if FILE did not grow."""

import os
import signal
import sys
import time


def main():
    """Answer each line of standard input."""
    process, file, held_for = int(sys.argv[1]), sys.argv[2], float(sys.argv[3])
    for line in sys.stdin:
        size, until, held = os.stat(file).st_size, time.monotonic() + float(line), 0.0
        while time.monotonic() < until:
            if os.stat(file).st_size != size:
                os.kill(process, signal.SIGSTOP)
                began = time.monotonic()
                try:
                    time.sleep(held_for)
                finally:
                    os.kill(process, signal.SIGCONT)
                held = time.monotonic() - began
                break
        print(held, flush=True)


if __name__ == "__main__":
    main()
