PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := packages/cuminbend packages/cuminbendd packages/cuminbendctl platform
STAMP := $(VENV)/installed
SOURCES := packages platform fakes benchmarks examples conftest.py

.PHONY: install test check demo bench format lint types imports proto

install: $(STAMP)

$(STAMP): requirements-dev.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt $(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

test: install
	$(BIN)/python -m pytest

format: install
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: install
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: install
	$(BIN)/mypy packages/cuminbend/src packages/cuminbendd/src packages/cuminbendctl/src
	$(BIN)/mypy -p cuminbend_platform

imports: install
	$(BIN)/lint-imports

check: lint types imports test demo

demo: install
	PYTHONPATH=fakes $(BIN)/python examples/demo.py

bench: install
	PYTHONPATH=fakes:. $(BIN)/python -m benchmarks $(NAMES)

proto: install
	$(BIN)/python -m grpc_tools.protoc -I packages/cuminbendd/src \
	  --python_out=packages/cuminbendd/src --pyi_out=packages/cuminbendd/src \
	  --grpc_python_out=packages/cuminbendd/src \
	  packages/cuminbendd/src/cuminbendd/proto/cuminbend_v1.proto
