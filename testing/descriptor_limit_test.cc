// Tests of an entry daemon whose callers use up its descriptors.

#include "testing/raw_caller.h"
#include "testing/single_daemon.h"

#include <Poco/Exception.h>
#include <doctest/doctest.h>
#include <list>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr int maxDescriptors = 120;
    constexpr int callers = 200;
    constexpr milliseconds observedTime { 1'000 };
    constexpr milliseconds maxProcessorTime { 200 }; // In `observedTime`; a VM has a fifth of a core.

}

TEST_CASE("A daemon without free descriptors leaves the processor free, and accepts again once it has some")
{
    single_daemon tested({}, maxDescriptors);
    REQUIRE(tested.daemon().start());
    REQUIRE(tested.awaitReady());
    std::list<raw_caller> open;
    for (int index = 0; index < callers; ++index) {
        open.emplace_back(tested.daemon().callerAddress());
    }
    auto before = tested.daemon().process()->processorTime();
    std::this_thread::sleep_for(observedTime);
    auto used = tested.daemon().process()->processorTime() - before;
    CHECK(used.count() <= maxProcessorTime.count());
    open.clear();
    CHECK_MESSAGE(tested.awaitReady(), tested.daemon().process()->endText());
    raw_caller late(tested.daemon().callerAddress());
    late.sendRequest("GET", "/nowhere", "late");
    CHECK(late.receive().status == 404);
}

}
