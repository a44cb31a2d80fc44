# Each target does all its set-up on a fresh machine and then its work.
PYTHON = .venv/bin/python

.PHONY: test hunt demo
.venv/ready: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/ready

test: .venv/ready
	$(PYTHON) -m ruff format --check petrellane benchmarks tests
	$(PYTHON) -m ruff check petrellane benchmarks tests
	.venv/bin/lint-imports
	$(PYTHON) -m pytest -q tests/compatibility
	$(PYTHON) -m tests.runner

hunt: .venv/ready
	$(PYTHON) -m petrellane hunt

demo: .venv/ready
	$(PYTHON) -m petrellane lab demo
