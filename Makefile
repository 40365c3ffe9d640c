VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := src:.

.PHONY: all setup demo test lint format bench soak clean

all: test

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m chervilmill.standins.demo

test: $(STAMP)
	$(PY) -m pytest -n 8

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet src tests bench soak deploy
	$(VENV)/bin/ruff check src tests bench soak deploy
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/black --quiet src tests bench soak deploy
	$(VENV)/bin/ruff check --fix src tests bench soak deploy

bench: $(STAMP)
	$(PY) -m bench

soak: $(STAMP)
	$(PY) -m soak --seed $${SEED:-1} --seeds $${SEEDS:-5}

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
