# Warnings and include folders that every target of the project shares.
function(apricothead_common target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
    target_compile_definitions(${target} PRIVATE BOOST_LOG_DYN_LINK BOOST_TEST_DYN_LINK)
endfunction()

# Registers test/<name>.cpp as one ctest of that name. Further arguments: SUPPORT (links the fakes), TIMEOUT seconds.
function(apricothead_test name)
    cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "LIBRARIES" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    add_executable(test_${name} ${name}.cpp)
    apricothead_common(test_${name})
    target_include_directories(test_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(test_${name} PRIVATE apricothead_library Boost::unit_test_framework ${ARG_LIBRARIES})
    add_test(NAME ${name} COMMAND test_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "APRICOTHEAD_BINARY=$<TARGET_FILE:apricothead>;APRICOTHEAD_TOOLS=${CMAKE_BINARY_DIR}/test;APRICOTHEAD_SOURCE=${CMAKE_SOURCE_DIR}")
    if(ARG_SERIAL)
        set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
    endif()
endfunction()

# Builds bench/<name>.cpp as the program bench_<name>, which prints JSON lines.
function(apricothead_bench name)
    add_executable(bench_${name} ${name}.cpp)
    apricothead_common(bench_${name})
    target_include_directories(bench_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(bench_${name} PRIVATE apricothead_library)
endfunction()
