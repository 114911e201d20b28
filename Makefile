# build: what `run` and `sim` need; people: also the tables of `try`; dev: also the tools; run: one dispatcher.
PY = .venv/bin/python
FOR ?= 10s

.PHONY: build people dev test lint run try fresh soak
build:
	$(PY) -c 'import trio, h11, docopt, structlog, msgspec' 2>/dev/null || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

people: build
	$(PY) -c 'import rich' 2>/dev/null || .venv/bin/pip -q install -r requirements-people.txt

dev: people
	$(PY) -c 'import pytest, ruff, hypothesis, xdist, importlinter, numpy, tomlkit' 2>/dev/null || .venv/bin/pip -q install -r requirements-lab.txt -r requirements-dev.txt

test: dev
	$(PY) -m pytest -n 4

lint: dev
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/lint-imports --no-cache

# 300 emulated runs from a first seed that nobody has played: it follows from the commit's hash.
fresh: dev
	$(PY) -m juniperlanding emulate --swarm 300 --until 10s --seed $$(( 0x$$(git rev-parse --short=7 HEAD) ))

# Real processes under overlapping troubles, from a first seed that nobody has played.
soak: dev
	$(PY) -m juniperlanding soak --seeds 10 --seed $$(( 0x$$(git rev-parse --short=6 HEAD) ))

try: people
	$(PY) -m juniperlanding try --for $(FOR)

run: build
	exec $(PY) -m juniperlanding serve
