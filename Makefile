# Every target creates its prerequisites: `make test` works on a fresh machine.
VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := $(wildcard packages/*) platform emulator
TOOLS := pytest hypothesis ruff

.PHONY: install test lint format demo docs clean bench-path bench-idle bench-http \
	bench-ahead bench-burn bench-listening bench-floor bench-neighbours \
	bench-convergence bench-control-bytes bench-calls bench-start

install: $(VENV)/installed

$(VENV)/installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt flit_core $(TOOLS)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt \
		--no-build-isolation $(foreach package,$(PACKAGES),--editable $(package))
	touch $@

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: install
	$(VENV)/bin/ruff format --quiet .
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

test: lint
	$(PYTHON) -m pytest

demo: install
	$(PYTHON) -m benchmarks.demo

docs: install
	$(PYTHON) -m pepperstair_core.config.reference > docs/user-guide/settings.md

bench-path: install
	$(PYTHON) -m benchmarks.path

bench-ahead: install
	$(PYTHON) -m benchmarks.ahead

bench-idle: install
	$(PYTHON) -m benchmarks.idle

bench-start: install
	$(PYTHON) -m benchmarks.start

bench-listening: install
	$(PYTHON) -m benchmarks.listening

bench-http: install
	$(PYTHON) -m benchmarks.http_exchange

bench-floor: install
	$(PYTHON) -m benchmarks.call_floor

bench-neighbours: install
	$(PYTHON) -m benchmarks.neighbours

bench-burn: install
	$(PYTHON) -m benchmarks.burn

bench-convergence: SIZES ?= 5 10
bench-convergence: CHANGES ?= 30
bench-convergence: FAULTS ?= 5
bench-convergence: install
	$(PYTHON) -m benchmarks.convergence --sizes "$(SIZES)" \
		--changes $(CHANGES) --faults $(FAULTS)

bench-control-bytes: SIZES ?= 5 10
bench-control-bytes: CHANGES ?= 10
bench-control-bytes: PHASE_S ?= 10
bench-control-bytes: install
	$(PYTHON) -m benchmarks.control_bytes --sizes "$(SIZES)" \
		--changes $(CHANGES) --phase-s $(PHASE_S)

bench-calls: DEPLOYMENTS ?= lantern
bench-calls: LOADS ?= 0.9 2
bench-calls: SEGMENT_S ?= 6
bench-calls: WORK_MS ?= 400
bench-calls: install
	$(PYTHON) -m benchmarks.calls --deployments "$(DEPLOYMENTS)" --loads "$(LOADS)" \
		--segment-s $(SEGMENT_S) --work-ms $(WORK_MS)

clean:
	rm -rf $(VENV) build .pytest_cache .ruff_cache
