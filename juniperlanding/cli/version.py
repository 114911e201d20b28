"""Print the version.

Usage:
  juniperlanding version
"""

from juniperlanding import VERSION


def run(args):
    print(VERSION)
