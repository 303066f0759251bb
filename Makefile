# Targets for development. Each sets up the virtual environment it needs.

PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
DEPLOYMENT ?= ljusgemenskapen
SIZES ?= 10,30,60
SEEDS ?= 1-50
JOBS ?= 2
TRACE ?= examples/traces/ljusgemenskapen.jsonl
STAMP = $(VENV)/.installed
PROJECTS = $(wildcard packages/*/pyproject.toml platform/pyproject.toml)

.PHONY: help setup demo test lint format scenarios soak replay bench bench-control bench-parts clean

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*## /\t/'

setup: $(STAMP)  ## Create the virtual environment and install the packages.

$(STAMP): $(PROJECTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade setuptools
	$(BIN)/pip install --quiet -e packages/godwitrack -e packages/godwitrack_node \
		-e packages/godwitrack_ctl -e packages/godwitrack_lab -e platform
	touch $(STAMP)

demo: setup  ## Run one deployment end to end (DEPLOYMENT=ljusgemenskapen or hinokuni).
	$(BIN)/python -m godwitrack_lab.demo --deployment=$(DEPLOYMENT)

test: lint  ## Run the formatter check, the linter and every test.
	$(BIN)/python -m pytest

lint: setup  ## Check formatting and lint.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup  ## Format the code and apply the linter's fixes.
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

scenarios: setup  ## Run the scripted scenarios and print their figures.
	$(BIN)/python -m pytest scenarios -rP

soak: setup  ## Run the fault soak (SEEDS=1-50, JOBS=2).
	PYTHONPATH=tests:soak $(BIN)/python soak/soakrun.py --seeds=$(SEEDS) --jobs=$(JOBS)

replay: setup  ## Replay a trace with the policy and with its baselines (TRACE=...).
	$(BIN)/python -m godwitrack_lab.replay --trace=$(TRACE)

bench: setup  ## Measure the latency added to a request.
	$(BIN)/python -m godwitrack_lab.bench

bench-control: setup  ## Measure control traffic of real nodes (SIZES=10,30,60).
	$(BIN)/python -m godwitrack_lab.benchcontrol --sizes=$(SIZES)

bench-parts: setup  ## Measure single components with up to 9,500 servers.
	$(BIN)/python -m godwitrack_lab.benchparts

clean:  ## Remove the files that other targets create.
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
