# Process-level tests of calls under failure and load.
add_library(bramley_calls STATIC calls.c calls_round.c silence.c)
target_link_libraries(bramley_calls PUBLIC bramley_deployment)
foreach(test kill freeze silent stop stop_grace refused overload
	unanswered many crash left)
	bramley_functional_test(test_call_${test} bramley_calls)
endforeach()
