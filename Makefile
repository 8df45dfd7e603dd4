# Development commands. `make demo` and `make check` do all set-up themselves.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
LIBS := core policy clients process daemon gateway operator standins measure
SYSTEM := libs/daemon/tests/system
EDITABLE := $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform

.PHONY: demo check format lint types test measure clean

$(VENV)/installed: constraints.txt $(foreach lib,$(LIBS),libs/$(lib)/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r constraints.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(EDITABLE)
	touch $@

demo: $(VENV)/installed
	$(BIN)/python tools/demo.py

check: format lint types test

format: $(VENV)/installed
	$(BIN)/ruff format --check libs platform tests tools

lint: $(VENV)/installed
	$(BIN)/ruff check libs platform tests tools

types: $(VENV)/installed
	$(BIN)/mypy libs/*/src platform

# The systems of different files share nothing. Three at a time keep below 40 processes.
test: $(VENV)/installed
	$(BIN)/python -m pytest --ignore=$(SYSTEM)
	ls $(SYSTEM)/test_*.py | xargs -P 3 -n 1 $(BIN)/python -m pytest

measure: $(VENV)/installed
	$(BIN)/skylarkmoor-measure

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
