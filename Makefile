PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test check fuzz soak bench-overhead bench-claims bench-routing bench-capacity bench-configuration bench-unknowns bench-memory clean

.venv/ready: requirements.lock requirements.in pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: .venv/ready
	$(BIN)/python -m sardinewharf.testbed.demo $(DEMO_FLAGS)

test: .venv/ready
	$(BIN)/python scripts/run_tests.py

check: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

fuzz: .venv/ready
	SARDINEWHARF_FUZZ=long $(BIN)/python -m pytest sardinewharf -k fuzz

soak: .venv/ready
	SARDINEWHARF_SOAK=long $(BIN)/python -m pytest sardinewharf/soak

bench-overhead bench-claims bench-routing bench-capacity bench-configuration bench-unknowns bench-memory: bench-%: .venv/ready
	$(BIN)/python -m sardinewharf.bench.$*

clean:
	rm -rf .venv build *.egg-info
