# build, test, lint, run and sim; every target uses the environment in $(VENV).
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

# Where the operators' kit lies; the site variants want its files beside them (they are not committed).
KIT ?= ../given/kit
SITE_FILES := real.json wire.json unlock.txt

.PHONY: build dev lab test lint run sim sites clean

build:
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements.txt

dev: build
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-dev.txt

lab: build
	$(BIN)/pip -q install --disable-pip-version-check -r requirements-lab.txt
	$(BIN)/python -m shaletiller.lab --help

test: dev lint
	$(BIN)/python -m pytest -q

lint: dev
	$(BIN)/ruff format --check --quiet shaletiller tests
	$(BIN)/ruff check shaletiller tests
	$(BIN)/mypy

run: build
	exec $(BIN)/python -m shaletiller

sim: build
	exec $(BIN)/python -m shaletiller.adapter

sites:
	cp $(addprefix $(KIT)/sites/,$(SITE_FILES)) deploy/sites/
	chmod u+w $(addprefix deploy/sites/,$(SITE_FILES))

clean:
	rm -rf .venv .venv-ci .mypy_cache .ruff_cache .pytest_cache .hypothesis
