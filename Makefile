# Every target sets up .venv first.
PYTHON ?= python3
STAMP := .venv/.ready
PACKAGES := packages/state packages/coordination packages/protocol \
	packages/transport packages/runtime packages/daemon packages/cli packages/gateway platform
PY := .venv/bin/python

.PHONY: setup test demo platform-demo replay guarantees slopes soak plots format

setup: $(STAMP)

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	.venv/bin/pip install --quiet --disable-pip-version-check --no-build-isolation \
		--no-deps $(foreach p,$(PACKAGES),-e ./$(p))
	touch $(STAMP)

test: setup
	$(PY) -m tests

format: setup
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

demo: setup
	$(PY) -m standins.demo

platform-demo: setup
	$(PY) -m standins.platform_demo

replay: setup
	$(PY) -m standins.replay

guarantees: setup
	$(PY) -m tests.guarantees

slopes: setup
	$(PY) -m standins.slopes

soak: setup
	$(PY) -m tests.soak --seeds 3

plots: setup
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-plots.txt
	$(PY) -m standins.plots
