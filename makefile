# Entry points for development; `make help` lists them.
# On a fresh machine, `make demo` and `make test` install the dependencies, build all targets and then run.

BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?=
RUNS ?=

export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros,include_file_mtime,include_file_ctime

.PHONY: help setup build demo test lint format bench matrix fuzz soak sanitize upgrade platform-day clean

help: ## lists the commands
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 16

setup: ## installs the Debian packages that the build needs
	@scripts/setup

build: setup ## builds the library, the programs and the tests
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build ## runs a fleet end to end against stand-ins and prints each step
	@scripts/demo $(BUILD)

test: build ## runs every test and prints the totals
	@scripts/run_tests $(BUILD)

lint: setup ## checks the format and runs the linter
	@scripts/lint $(BUILD)

format: ## formats all sources
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

bench: build ## runs the benchmarks; prints one "name value unit" line per figure
	@scripts/bench $(BUILD) $(SEED)

matrix: build ## runs the fault matrix and prints its rows
	@scripts/matrix $(BUILD)

fuzz: build ## runs the stateful tests many times; SEED= replays one seed, RUNS= sets the number of runs
	@scripts/fuzz $(BUILD) "$(SEED)" "$(RUNS)"

soak: build ## runs real processes under random faults and checks the guarantees; SEED= first seed, RUNS= number of runs
	@scripts/soak $(BUILD) $(or $(SEED),$$(date +%s)) $(or $(RUNS),1)

sanitize: setup ## runs tests with sockets, and a short soak, with the address and undefined-behaviour sanitizers; TESTS=regex of some tests
	@scripts/sanitize $(BUILD)-sanitize "$(TESTS)" "$(SEED)"

upgrade: build ## replaces the daemons of another build one by one, and back; COMMIT=the other build
	@test -n "$(COMMIT)" || { echo "usage: make upgrade COMMIT=commit"; exit 2; }
	@scripts/upgrade $(BUILD) $(COMMIT)

platform-day: ## runs a day of the users' bench, which must lie beside the project; SITE=path DAY=name
	@test -n "$(SITE)" -a -n "$(DAY)" || { echo "usage: make platform-day SITE=path DAY=name"; exit 2; }
	@../given/kit/more/system/more/bench-d17393/bin/fleetbench run $(SITE) $(DAY)

clean: ## removes the build folder
	@rm -rf $(BUILD)
