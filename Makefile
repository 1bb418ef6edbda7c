VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := mulberryswitch standins soak benchmarks examples tools

.PHONY: help env test lint format demo bench faults slopes soak docs clean

help: ## list the commands that a contributor runs daily
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

$(VENV)/.ready: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $@

env: $(VENV)/.ready ## create the environment

test: env ## run all tests
	$(PY) tools/run_tests.py

lint: env ## check format and style
	$(VENV)/bin/black --check --quiet $(PACKAGES) || $(VENV)/bin/black --check $(PACKAGES)
	$(VENV)/bin/ruff check $(PACKAGES)

format: env ## format the code
	$(VENV)/bin/black --quiet $(PACKAGES)
	$(VENV)/bin/ruff check --fix $(PACKAGES)

demo: env ## run the whole path in separate processes for a few seconds
	$(PY) -m standins.demo

bench: env ## run the benchmarks beside their baselines
	$(PY) -m benchmarks

faults: env ## kill, pause and cut the demo's processes and print the counts
	$(PY) -m standins.faults

slopes: env ## print the measured slopes behind docs/CAPACITY.md
	$(PY) -m benchmarks.slopes

soak: env ## run the seeds that once failed and three fresh ones against real processes
	$(PY) -m soak --fresh 3 --keep soak-logs

clean: ## remove the environment and caches
	rm -rf $(VENV) .hypothesis .ruff_cache build *.egg-info
