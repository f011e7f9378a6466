#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/TestRunner.h>

#include <iostream>
#include <string>

// Runs all registered tests, or only the test whose path is the first argument, and prints the
// totals. The exit status is 1 if a test failed.
int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, argc > 1 ? std::string(argv[1]) : std::string());

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failureCount = collector.testFailuresTotal();
    std::cout << collector.runTests() - failureCount << " passed, " << failureCount << " failed"
              << std::endl;
    return failureCount == 0 ? 0 : 1;
}
