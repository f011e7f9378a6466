# Adds the package NAME: a static library of src/*.cpp with public headers in include/, and a test
# program of test/*_test.cpp named NAME_test. DEPS are the packages and libraries it links, TEST_DEPS
# those that only the test program needs.
function(chervilfield_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/generated/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS test/*_test.cpp)
  if(sources)
    add_library(chervilfield_${NAME} STATIC ${sources})
    target_include_directories(chervilfield_${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(chervilfield_${NAME} PUBLIC ${ARG_DEPS})
  else()
    add_library(chervilfield_${NAME} INTERFACE)
    target_include_directories(chervilfield_${NAME} INTERFACE include)
    target_link_libraries(chervilfield_${NAME} INTERFACE ${ARG_DEPS})
  endif()
  if(tests)
    add_executable(${NAME}_test ${tests})
    target_include_directories(${NAME}_test PRIVATE src)
    target_link_libraries(${NAME}_test PRIVATE chervilfield_${NAME} chervilfield_testing
                          ${ARG_TEST_DEPS})
    set_property(GLOBAL APPEND PROPERTY CHERVILFIELD_TESTS ${NAME}_test)
  endif()
endfunction()
