include(CMakeFindDependencyMacro)
find_dependency(Boost 1.81)
include("${CMAKE_CURRENT_LIST_DIR}/teaselthreadTargets.cmake")
