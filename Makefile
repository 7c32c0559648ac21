VENV ?= .venv
PYTHON = $(VENV)/bin/python
WORKERS ?= 4
SEED ?= 1
COUNT ?= 1
export PYTHONPATH := src

.PHONY: env test lint demo fleet bench fuzz soak

env: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.lock
	touch $@

lint: env
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

test: env
	$(PYTHON) -m pytest -n $(WORKERS) --dist loadfile -m "not hostile"
	$(PYTHON) -m pytest -m hostile

demo: env
	$(PYTHON) -m foxtailbank_bench.demo

fleet: env
	$(PYTHON) -m foxtailbank_bench.fleet

bench: env
	$(PYTHON) -m foxtailbank_bench.experiment

fuzz: env
	FUZZ_LONG=1 $(PYTHON) -m pytest tests/test_ledger_fuzz.py tests/test_catalogue_fuzz.py \
		tests/test_platform_ledger_replicas.py tests/test_positions_between_vms.py

soak: env
	PYTHONPATH=src:platform $(PYTHON) -m foxtailbank_soak --seed $(SEED) --count $(COUNT) \
		$(SOAK)
