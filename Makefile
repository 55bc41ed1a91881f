PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
export PYTHONPATH := $(CURDIR)

.PHONY: setup demo cluster test features lint format bench soak explore

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || \
	    python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
	    -r requirements-dev.txt -c constraints.txt
	$(BIN)/python -m pip install -q --disable-pip-version-check \
	    --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m tools.demo

cluster: setup
	$(BIN)/python -m tools.cluster

test: setup
	$(BIN)/python -m tools.run_tests

features: setup
	$(BIN)/python -m tools.run_tests --features-only

lint: setup
	$(BIN)/python -m tools.run_tests --lint-only

format: setup
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m benchmarks

soak: setup
	$(BIN)/python -m tools.soak --seed $(or $(SEED),random) \
	    --minutes $(or $(MINUTES),5)

explore: setup
	$(BIN)/python -m tools.explore --depth $(or $(DEPTH),2) \
	    --random $(or $(ORDERS),200) --seed $(or $(SEED),1)
