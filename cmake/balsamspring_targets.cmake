# Helpers that define the targets of one component folder.

add_library(balsamspring_options INTERFACE)
target_compile_definitions(balsamspring_options INTERFACE _TURN_OFF_PLATFORM_STRING)
target_compile_options(balsamspring_options INTERFACE $<BUILD_INTERFACE:-Wall -Wextra -Wpedantic -Wno-psabi>)
# Seeds and decisions give the same results on all architectures: arm64 would fuse multiplications with additions, and
# its char is unsigned.
target_compile_options(balsamspring_options INTERFACE $<BUILD_INTERFACE:-ffp-contract=off -fsigned-char>)
if(BALSAMSPRING_SANITIZE)
    target_compile_options(balsamspring_options INTERFACE -fsanitize=${BALSAMSPRING_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(balsamspring_options INTERFACE -fsanitize=${BALSAMSPRING_SANITIZE})
endif()
set_target_properties(balsamspring_options PROPERTIES EXPORT_NAME options)
install(TARGETS balsamspring_options EXPORT balsamspring_targets)

# balsamspring_library(<component> SOURCES <file>... HEADERS <file>... DEPENDS <target>...)
#
# Defines the static library balsamspring::<component> and installs its headers.
function(balsamspring_library component)
    cmake_parse_arguments(ARG "" "" "SOURCES;HEADERS;DEPENDS" ${ARGN})
    set(target balsamspring_${component})
    if(ARG_SOURCES)
        add_library(${target} STATIC ${ARG_SOURCES} ${ARG_HEADERS})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(balsamspring::${component} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${component})
    target_include_directories(${target} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
                                                  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(${target} ${scope} balsamspring_options ${ARG_DEPENDS})
    install(TARGETS ${target} EXPORT balsamspring_targets)
    foreach(header IN LISTS ARG_HEADERS)
        install(FILES ${header} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/balsamspring/${component})
    endforeach()
endfunction()

# The main function of the tests is compiled once, because the Catch2 runner takes long to compile.
if(BALSAMSPRING_TESTS)
    add_library(balsamspring_catch_main STATIC ${PROJECT_SOURCE_DIR}/tools/catch_main.cc)
    target_compile_definitions(balsamspring_catch_main
                               PRIVATE BALSAMSPRING_KNOWN_RED="${PROJECT_SOURCE_DIR}/KNOWN-RED.txt")
    target_link_libraries(balsamspring_catch_main PUBLIC balsamspring_options)
endif()

# balsamspring_test(<component> SOURCES <file>... [DEPENDS <target>...] [WALL_CLOCK] [BY_SOURCE])
#
# WALL_CLOCK: the tests wait for real time, so that they do not run beside others.
# BY_SOURCE: each source is a test of its own, so that long replays run side by side.
#
# Defines the test program <component>_test of one library and registers it with ctest.
function(balsamspring_test component)
    if(NOT BALSAMSPRING_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "WALL_CLOCK;BY_SOURCE" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${component}_test ${ARG_SOURCES})
    target_link_libraries(${component}_test PRIVATE balsamspring::${component} balsamspring_catch_main ${ARG_DEPENDS})
    if(ARG_BY_SOURCE)
        foreach(source IN LISTS ARG_SOURCES)
            get_filename_component(name ${source} NAME_WE)
            add_test(NAME ${component}.${name} COMMAND ${component}_test)
            set_tests_properties(${component}.${name} PROPERTIES TIMEOUT 1200 ENVIRONMENT "BALSAMSPRING_TEST_SPEC=[#${name}]")
        endforeach()
        return()
    endif()
    add_test(NAME ${component} COMMAND ${component}_test)
    set_tests_properties(${component} PROPERTIES TIMEOUT 1200)
    if(ARG_WALL_CLOCK)
        set_tests_properties(${component} PROPERTIES RUN_SERIAL ON)
    endif()
endfunction()
