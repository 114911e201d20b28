"""Chance from one seed: a stream for each concern, so that a change in one leaves the others' draws alone."""

import zlib

import numpy as np


def stream(seed, *concern):
    """A numpy Generator for (seed, concern); the same for ever for equal arguments."""
    name = "/".join(map(str, concern)).encode()
    return np.random.Generator(
        np.random.PCG64(np.random.SeedSequence([int(seed), zlib.crc32(name), len(name)]))
    )
