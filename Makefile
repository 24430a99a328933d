# Thin wrapper around CMake.  `make demo` runs the demonstration, `make check` all
# checks.
BUILD ?= build/plain

all: setup
	cmake -S . -B $(BUILD)
	cmake --build $(BUILD) -j

setup:
	sh tools/setup.sh

demo: all
	python3 tools/demo.py $(BUILD)

check: setup
	sh tools/check.sh

format:
	git ls-files '*.[ch]' | xargs clang-format -i

generate:
	python3 tools/gen_messages.py
	python3 tools/gen_settings.py

install: all
	cmake --install $(BUILD)

clean:
	rm -rf build

.PHONY: all setup demo check format generate install clean
