# Each target does all its set-up on a fresh machine and then its work.
PYTHON = .venv/bin/python

.PHONY: test lint format hunt demo
.venv/ready: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/ready

lint: .venv/ready
	$(PYTHON) -m ruff format --check petrellane benchmarks tests
	$(PYTHON) -m ruff check petrellane benchmarks tests
	$(PYTHON) -m mypy
	.venv/bin/lint-imports

format: .venv/ready
	$(PYTHON) -m ruff format petrellane benchmarks tests
	$(PYTHON) -m ruff check --select I --fix petrellane benchmarks tests

test: lint
	$(PYTHON) -m pytest -n 4

hunt: .venv/ready
	$(PYTHON) -m petrellane property-search

demo: .venv/ready
	$(PYTHON) -m petrellane testbed demo
