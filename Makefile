VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python

.PHONY: setup check unit test demo fleet format

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	touch $@

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 amaranthring tests tools

unit: setup
	$(RUN) tools/verdict.py

test: check unit

demo: setup
	$(RUN) -m amaranthring.testing.demo

fleet: setup
	$(RUN) -m amaranthring.testing.demo --serve
