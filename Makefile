PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= daugava
SECONDS ?= 60
SEEDS ?= 5
DAY ?= bench/days/outage-and-restarts.toml
# Modules that take minutes and run on four processors.
PARALLEL := tests/test_mutations.py tests/forwarding/test_mutations.py \
	tests/forwarding/test_brittle_deployments.py

.PHONY: install demo test bench fuzz faults soak day slopes policy clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: install
	$(BIN)/python -m bench.demo --example=$(EXAMPLE)

test: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/behave --format=progress
	$(BIN)/python -m pytest $(PARALLEL:%=--ignore=%)
	$(BIN)/python -m pytest -n 4 $(PARALLEL)
	@echo "Known to fail, and passed over:" && grep -v "^#" KNOWN-RED.txt || true

bench: install
	$(BIN)/python -m bench.overhead

fuzz: install
	FUZZ_SECONDS=$(SECONDS) $(BIN)/python -m tests.support.fuzz_long

faults: install
	$(BIN)/python -m bench.faults

soak: install
	$(BIN)/python -m bench.fleet_soak --seeds=$(SEEDS)

day: install
	$(BIN)/python -m bench.fleet_day $(DAY)

slopes: install
	$(BIN)/python -m bench.slopes

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis build *.egg-info
