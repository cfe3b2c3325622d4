# Wrapper around CMake; CONTRIBUTING.md describes what each target checks.
BUILD ?= build
# Without a bound all files are compiled at once, which takes over 20 GB.
JOBS ?= $(shell nproc)
PACKAGES = cmake make gcc g++ pkg-config libmicrohttpd-dev libapr1-dev \
	libcurl4-openssl-dev libprotobuf-c-dev libcyaml-dev libjansson-dev \
	libhttp-parser-dev libxxhash-dev libsodium-dev liblog4c-dev libgtest-dev librapidcheck-dev
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | \
	grep -v '\.pb-c\.')
C_SOURCES = $(shell git ls-files -co --exclude-standard '*.c' | \
	grep -v '\.pb-c\.')

.PHONY: all packages build check asan fuzz run format lint clean install

all: build

packages:
	tools/packages $(PACKAGES)

build:
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check: packages build
	tools/check $(BUILD)

asan: packages
	@cmake -S . -B $(BUILD)-asan -DCMAKE_BUILD_TYPE=Debug -DCF_SANITIZE=ON \
	    >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS)
	CF_TEST_SHORT=1 tools/check $(BUILD)-asan

fuzz:
	tools/fuzz $(BUILD)-fuzz

run: packages build
	tools/demo $(BUILD)

format:
	clang-format -i $(SOURCES)

lint: build
	tools/check-words
	clang-format --dry-run -Werror $(SOURCES)
	printf '%s\n' $(C_SOURCES) | xargs -P 8 -n 1 \
	    clang-tidy --quiet -p $(BUILD) 2>/dev/null

install: build
	cmake --install $(BUILD)

clean:
	rm -rf build build-asan build-fuzz run
