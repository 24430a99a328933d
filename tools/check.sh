#!/bin/sh
# Runs all checks: format, generated code, lint, and the tests of the plain and
# the sanitized builds.  The last line is "N passed, N failed".
set -u
cd "$(dirname "$0")/.." || exit 1

JOBS=$(nproc)
# Functional tests start many processes; more at once would distort their timing.
FUNCTIONAL_JOBS=2
OUT=build/check
passed=0
failed=0
failures=""
current_step="start"

# On an early exit, print the current step and count it as failed, so that the
# exit is never taken for a pass.
at_exit() {
	status=$?
	[ "$current_step" = "end" ] && exit $status
	echo "check.sh ended early in step \"$current_step\", status $status"
	echo "$passed passed, $((failed + 1)) failed"
	exit 1
}
trap at_exit EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

record() {	# record NAME STATUS: count and print the result of a check
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok: $1"
	else
		failed=$((failed + 1))
		failures="$failures $1"
		echo "FAILED: $1"
	fi
}

step() {	# step NAME COMMAND...: run a check, print its log if it fails
	name=$1
	current_step=$name
	shift
	"$@" >"$OUT/$name.log" 2>&1
	status=$?
	record "$name" $status
	[ $status -eq 0 ] || tail -n 60 "$OUT/$name.log"
}

c_sources() {
	git ls-files --cached --others --exclude-standard '*.[ch]'
}

check_format() {
	c_sources | xargs clang-format --dry-run --Werror
}

check_generated() {
	python3 tools/gen_messages.py --check &&
	    python3 tools/gen_settings.py --check
}

build() {	# build DIR SANITIZER TARGET
	cmake -S . -B "$1" -DBRAMLEY_SANITIZE="$2" &&
	    cmake --build "$1" -j "$JOBS" --target "$3"
}

# One file per run: with several files, clang-tidy 14 reports each va_list after
# the first file as uninitialized.
check_lint() {
	c_sources | grep '\.c$' | grep -v '/gen/' |
	    xargs -P "$JOBS" -n 1 clang-tidy -p build/plain --quiet
}

# run_tests DIR LABEL JOBS [ctest arguments]: each test program is one check.
# If a test listed in KNOWN-RED.txt fails, it is printed but not counted.
run_tests() {
	dir=$1
	label=$2
	current_step="tests $dir $label"
	jobs=$3
	shift 3
	log="$OUT/tests-$(basename "$dir")-$label.log"
	ctest --test-dir "$dir" -L "^$label\$" -j "$jobs" \
	    --output-on-failure "$@" >"$log" 2>&1
	sed -n 's/.*Test *#[0-9]*: \([^ ]*\) \.*\( *[^ ].*\)$/\1 \2/p' "$log" \
	    >"$log.rows"
	while read -r name verdict; do
		case "$verdict" in
		Passed*) status=0 ;;
		*) status=1 ;;
		esac
		if [ $status -ne 0 ] && is_known_red "$name"; then
			echo "KNOWN RED: $name ($(basename "$dir"))"
			continue
		fi
		record "$(basename "$dir")/$name" $status
	done <"$log.rows"
	grep -q 'Failed\|Exception\|Timeout\|Not Run' "$log.rows" &&
	    tail -n 200 "$log"
	return 0
}

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1[ :,]" KNOWN-RED.txt
}

mkdir -p "$OUT" || exit 1
step format check_format
step generated check_generated
step build-plain build build/plain "" all
step build-address build build/address address unit_tests
step build-thread build build/thread thread threaded_tests
step lint check_lint
run_tests build/plain unit "$JOBS"
run_tests build/plain functional "$FUNCTIONAL_JOBS"
# Sanitized code is several times slower, so the test timeouts of the check
# library are multiplied.  GLib's slice allocator would hide memory errors from
# the sanitizers.
export CK_TIMEOUT_MULTIPLIER=8
export G_SLICE=always-malloc
run_tests build/address unit "$JOBS"
run_tests build/thread threaded "$JOBS"

if [ -s KNOWN-RED.txt ]; then
	echo "Known red, passed over:"
	cat KNOWN-RED.txt
fi
current_step="end"
[ -z "$failures" ] || echo "Failed:$failures"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
