VENV ?= .venv
PYTHON ?= python3
STAMP = $(VENV)/.installed

.PHONY: setup format lint test demo bench bench-full soak binary binary-test

SECONDS = 60
SEED = 1

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

bench: $(STAMP)
	$(VENV)/bin/python -m bench.run --length SHORT --seed $(SEED)

bench-full: $(STAMP)
	$(VENV)/bin/python -m bench.run --length FULL --seed $(SEED)

soak: $(STAMP)
	$(VENV)/bin/python -m bench.soak --seconds $(SECONDS) --seed $(SEED)

binary: $(STAMP)
	$(VENV)/bin/python -m tools.binary dist/dragonflyshelf

binary-test: $(STAMP)
	$(VENV)/bin/python -m pytest tests/tools
