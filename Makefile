VENV ?= .venv
PYTHON ?= python3
STAMP = $(VENV)/.installed

.PHONY: setup format lint test demo histories soak binary binary-test

EPISODES = 1
HISTORIES = 400
SECONDS = 20
SEED = 0

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/black --quiet .

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/flake8

test: lint
	$(VENV)/bin/python -m pytest

demo: $(STAMP)
	$(VENV)/bin/python -m bench.demo

soak: $(STAMP)
	$(VENV)/bin/python -m bench.soak --first $(SEED) --count $(EPISODES) --seconds $(SECONDS)

histories: $(STAMP)
	$(VENV)/bin/python -m bench.histories --first $(SEED) --count $(HISTORIES)

binary: $(STAMP)
	$(VENV)/bin/python -m tools.binary dist/dragonflyshelf

binary-test: $(STAMP)
	$(VENV)/bin/python -m pytest tests/tools
