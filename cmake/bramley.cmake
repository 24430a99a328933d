# Build settings and functions shared by all packages: libraries, warnings,
# sanitizers and tests.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(JANSSON REQUIRED IMPORTED_TARGET jansson)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
pkg_check_modules(LZ4 REQUIRED IMPORTED_TARGET liblz4)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(MSGPACK REQUIRED IMPORTED_TARGET msgpack)
pkg_check_modules(CHECK REQUIRED IMPORTED_TARGET check)
find_library(CIVETWEB_LIBRARY civetweb REQUIRED)

add_compile_options(-Wall -Wextra -Werror -Wshadow -Wstrict-prototypes
    -Wmissing-prototypes -Wpointer-arith -Wwrite-strings -Wvla
    -fno-strict-aliasing -fno-omit-frame-pointer)
add_compile_definitions(_GNU_SOURCE
    BRAMLEY_VERSION="${PROJECT_VERSION}")

if(BRAMLEY_SANITIZE STREQUAL "address")
	add_compile_options(-fsanitize=address,undefined
	    -fno-sanitize-recover=all)
	add_link_options(-fsanitize=address,undefined)
elseif(BRAMLEY_SANITIZE STREQUAL "thread")
	add_compile_options(-fsanitize=thread)
	add_link_options(-fsanitize=thread)
endif()

# bramley_package(NAME LIBS lib...): add a static library built from
# packages/NAME/src.  Packages in LIBS must already be defined, which keeps the
# dependencies free of cycles.
function(bramley_package name)
	cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
	foreach(lib ${ARG_LIBS})
		if(lib MATCHES "^bramley_" AND NOT TARGET ${lib})
			message(FATAL_ERROR "Package ${name} links to ${lib}, "
			    "which is not defined before it; see PACKAGES in "
			    "CMakeLists.txt.")
		endif()
	endforeach()
	file(GLOB_RECURSE sources CONFIGURE_DEPENDS
	    ${CMAKE_CURRENT_SOURCE_DIR}/src/*.c)
	list(FILTER sources EXCLUDE REGEX "/main[a-z_]*\\.c$")
	add_library(bramley_${name} STATIC ${sources})
	target_include_directories(bramley_${name} PUBLIC
	    ${CMAKE_CURRENT_SOURCE_DIR}/include)
	target_link_libraries(bramley_${name} PUBLIC ${ARG_LIBS}
	    PkgConfig::GLIB Threads::Threads m)
endfunction()

# Packages whose tests start threads.  The build with the thread sanitizer runs
# only these tests, because the packages that make decisions are single-threaded
# by design.
set(BRAMLEY_THREADED "packages/(base|net|store|node|ctl|standins)/")

# Runs the suite of a test program and returns its exit status.
add_library(bramley_test_run STATIC
    ${PROJECT_SOURCE_DIR}/test/support/test_run.c)
target_include_directories(bramley_test_run PUBLIC
    ${PROJECT_SOURCE_DIR}/test/support)
target_link_libraries(bramley_test_run PUBLIC PkgConfig::CHECK)

add_custom_target(unit_tests)
add_custom_target(threaded_tests)

# bramley_test(NAME SOURCES file... LIBS lib... [LABEL label] [TIMEOUT seconds]):
# add a test program based on the check library and register it with ctest, by
# default with the label "unit" and a timeout of 120 s.
function(bramley_test name)
	cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "SOURCES;LIBS" ${ARGN})
	if(NOT ARG_LABEL)
		set(ARG_LABEL unit)
	endif()
	if(NOT ARG_TIMEOUT)
		set(ARG_TIMEOUT 120)
	endif()
	add_executable(${name} ${ARG_SOURCES})
	target_link_libraries(${name} PRIVATE ${ARG_LIBS} bramley_test_run)
	add_test(NAME ${name} COMMAND ${name})
	set(labels ${ARG_LABEL})
	if(ARG_LABEL STREQUAL "unit")
		add_dependencies(unit_tests ${name})
		if("${CMAKE_CURRENT_SOURCE_DIR}/" MATCHES "${BRAMLEY_THREADED}")
			list(APPEND labels threaded)
			add_dependencies(threaded_tests ${name})
		endif()
	endif()
	set_tests_properties(${name} PROPERTIES LABELS "${labels}"
	    TIMEOUT ${ARG_TIMEOUT})
endfunction()

# bramley_bench(NAME SOURCES file... LIBS lib...): add a benchmark program, which
# ctest does not run.
function(bramley_bench name)
	cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
	add_executable(${name} ${ARG_SOURCES})
	target_link_libraries(${name} PRIVATE ${ARG_LIBS})
endfunction()
