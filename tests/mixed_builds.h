// Tests of processes of two builds beside each other; see scripts/mixed_builds.sh.
#ifndef APRICOTYARD_MIXED_BUILDS_H
#define APRICOTYARD_MIXED_BUILDS_H

#include <string>

namespace apricotyard {

// First argument of the test program when it is to run these tests. The second one is the test
// program of the previous build.
inline constexpr const char* kMixedBuildsArgument = "--mixed-builds";
// Registry of these tests, which are not among the others.
inline constexpr const char* kMixedBuildsSuite = "mixed builds";

void
SetPreviousProgram(std::string aProgram);

} // namespace apricotyard

#endif
