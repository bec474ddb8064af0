# quetzal_module(<name> [DEPENDS lib...]): adds a static library of all .cpp files below modules/<name>,
# or an interface library if there are none.
function(quetzal_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  if(sources)
    add_library(quetzal_${name} STATIC ${sources})
    target_include_directories(quetzal_${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(quetzal_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(quetzal_${name} INTERFACE)
    target_include_directories(quetzal_${name} INTERFACE ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(quetzal_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# quetzal_program(<name> SOURCES file... DEPENDS lib...): adds an executable in <build>/bin.
function(quetzal_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# quetzal_test(<module> [DEPENDS lib...]): adds the test program of a module from tests/<module>/*.cpp.
function(quetzal_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE quetzal_test_main ${ARG_DEPENDS} rapidcheck
                                             Threads::Threads)
  set_target_properties(${name}_test PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 240 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
