# godwitfork_library(LibX LINK LibY ...): builds all sources in the current folder as a static library.
function(godwitfork_library name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "LINK")
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
endfunction()

# godwitfork_program(name LINK LibY ...): builds all sources in the current folder as one program.
function(godwitfork_program name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "LINK")
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()

# godwitfork_test(TestX LINK LibX ...): builds the sources in the current folder as one Catch2 program and registers it
# with CTest under the same name.
function(godwitfork_test name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "TIMEOUT" "LINK")
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} Catch2::Catch2WithMain rapidcheck)
    # Cases listed in KNOWN-RED.txt are left out here; Meta/godwitfork test runs them apart and prints their results.
    file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt red_lines REGEX "^case: ${name} \\| ")
    set(exclusions)
    foreach(red_line IN LISTS red_lines)
        string(REGEX REPLACE "^case: ${name} \\| " "~" exclusion "${red_line}")
        list(APPEND exclusions "${exclusion}")
    endforeach()
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    add_test(NAME ${name} COMMAND ${name} ${exclusions})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT
        "GODWITFORK_BIN=${CMAKE_BINARY_DIR}/bin;GODWITFORK_SOURCE=${CMAKE_SOURCE_DIR};RC_PARAMS=seed=20261204")
endfunction()
