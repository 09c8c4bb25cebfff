# Index of commands. `make help` lists them.
# On a fresh machine `make demo` and `make test` each install, build and run everything.

BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?=
RUNS ?=

export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros,include_file_mtime,include_file_ctime

.PHONY: help setup build demo test lint format bench matrix fuzz soak platform-day clean

help: ## lists the commands
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 16

setup: ## installs the Debian packages that the build needs
	@scripts/setup

build: setup ## builds the library, the programs and the tests
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build ## runs the whole path with stand-ins and prints each step
	@scripts/demo $(BUILD)

test: build ## runs every test and prints the totals
	@scripts/run_tests $(BUILD)

lint: setup ## checks the format and runs the linter
	@scripts/lint $(BUILD)

format: ## formats all sources
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

bench: build ## prints one "name value unit" line for each measured figure
	@scripts/bench $(BUILD) $(SEED)

matrix: build ## prints the fault matrix row by row
	@scripts/matrix $(BUILD)

fuzz: build ## runs the stateful tests for long; SEED= replays one seed, RUNS= sets the number
	@scripts/fuzz $(BUILD) "$(SEED)" "$(RUNS)"

soak: build ## runs real processes under random faults and checks the promises: SEED= the first seed, RUNS= how many
	@scripts/soak $(BUILD) $(or $(SEED),$$(date +%s)) $(or $(RUNS),1)

platform-day: ## plays a day of the users' bench: SITE=path DAY=name, where the bench is laid beside the project
	@test -n "$(SITE)" -a -n "$(DAY)" || { echo "usage: make platform-day SITE=path DAY=name"; exit 2; }
	@../given/kit/more/system/bin/fleetbench run $(SITE) $(DAY)

clean: ## removes the build folder
	@rm -rf $(BUILD)
