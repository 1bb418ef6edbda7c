VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := mulberryswitch standins soak benchmarks examples tools

.PHONY: help env test lint format demo bench faults slopes soak docs clean

help: ## list the commands for contributors
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

$(VENV)/.ready: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $@

env: $(VENV)/.ready ## create the virtual environment

test: env ## run all tests
	$(PY) tools/run_tests.py

lint: env ## check format and style
	$(VENV)/bin/black --check --quiet $(PACKAGES) || $(VENV)/bin/black --check $(PACKAGES)
	$(VENV)/bin/ruff check $(PACKAGES)

format: env ## format the code
	$(VENV)/bin/black --quiet $(PACKAGES)
	$(VENV)/bin/ruff check --fix $(PACKAGES)

demo: env ## run both paths end to end in separate processes for a few seconds
	$(PY) -m soak.demo
	$(PY) -m standins.demo

bench: env ## run the benchmarks and their baselines
	$(PY) -m benchmarks

faults: env ## inject faults into end-to-end runs and print the counts
	$(PY) -m standins.faults

slopes: env ## print the linear fits for docs/CAPACITY.md
	$(PY) -m benchmarks.slopes

soak: env ## run the seeds of past failures and three new ones against VM processes
	$(PY) -m soak --fresh 3 --keep soak-logs

clean: ## remove the environment and caches
	rm -rf $(VENV) .hypothesis .ruff_cache build *.egg-info
