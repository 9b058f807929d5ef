PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format settings-reference demo fleet slopes faults bench soak worth model

setup: $(VENV)/.installed

# Reinstalls when a pinned version or the project file changes.
$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m chivesaddle.core.settings_reference --check docs/settings.md

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

settings-reference: setup
	$(BIN)/python -m chivesaddle.core.settings_reference docs/settings.md

demo: setup
	$(BIN)/python -m chivesaddle.tools.demo

fleet: setup
	$(BIN)/python -m chivesaddle.tools.fleet

slopes: setup
	$(BIN)/python -m chivesaddle.tools.slopes

faults: setup
	$(BIN)/python -m chivesaddle.tools.faults

bench: setup
	$(BIN)/python -m chivesaddle.tools.bench

soak: setup
	$(BIN)/python -m chivesaddle.tools.soak --count 50

# Usage: make worth LOG=day.log [REPORT=day.json] [PLOT=day.png]
worth: setup
	$(BIN)/python -m chivesaddle.tools.worth $(LOG) \
		$(if $(REPORT),--report $(REPORT)) $(if $(PLOT),--plot $(PLOT))

model: setup
	$(BIN)/python -m chivesaddle.tools.platform_model
