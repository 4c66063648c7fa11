# Everything a fresh machine with Python 3.11 needs: make demo, make test, make bench.
VENV ?= .venv
BIN = $(VENV)/bin
# Test workers: "auto" is one per core, at most MAX_WORKERS, since a test of a fleet starts up to 20
# processes; 0 runs all tests in one process.
WORKERS ?= auto
MAX_WORKERS ?= 4

.PHONY: demo test lint bench clean

$(BIN)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(BIN)/.installed
	$(BIN)/turmericlug-load demo

lint: $(BIN)/.installed
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check --quiet src tests

test: lint
	$(BIN)/python -m pytest -n $(WORKERS) --maxprocesses $(MAX_WORKERS) --dist loadgroup

bench: $(BIN)/.installed
	$(BIN)/turmericlug-load bench

clean:
	rm -rf $(VENV) .hypothesis reports
