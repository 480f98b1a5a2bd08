PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: test lint unit demo binary soak settings-page

test: lint unit

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) tools/requirements.py > $(VENV)/requirements.txt
	$(RUN) -m pip install --quiet --requirement $(VENV)/requirements.txt
	touch $(STAMP)

lint: $(STAMP)
	$(RUN) -m black --check --quiet citronpin tools
	$(RUN) -m isort --check-only --quiet citronpin tools
	$(RUN) -m flake8 citronpin tools

unit: $(STAMP)
	$(RUN) -m pytest
	@cat KNOWN-RED.txt

demo: $(STAMP)
	$(RUN) -m citronpin demo

binary: $(STAMP)
	mkdir -p dist
	$(RUN) -m shiv.cli --reproducible --console-script citronpin \
	    --python '/usr/bin/env python3' --output-file dist/citronpin .

soak: $(STAMP)
	CITRONPIN_SOAK_SEED=$(SEED) $(RUN) -m pytest -m soak

settings-page: $(STAMP)
	$(RUN) -m citronpin.basics.references > docs/SETTINGS.md
