// Tests that objects of other store clients cannot drive the memory of an entry daemon above that of the
// smallest VM.

#include "platform/decode.h"
#include "platform/testing/store_objects.h"
#include "testing/single_daemon.h"

#include <doctest/doctest.h>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t maxMemoryMb = 100; // Of a daemon on the smallest VM, which has 160 MB.
    constexpr std::size_t objectBytes = 1'000'000; // Below the store's limit on an object, 1 MiB.
    constexpr milliseconds watchTime { 3'000 }; // For the daemon to read what it watches.

    // Returns an object of `objectBytes` with one member, a list that repeats `element`.
    std::string objectWithList(const std::string& element)
    {
        std::string text = R"({"table":[)" + element;
        while (text.size() + element.size() + 3 < objectBytes) {
            text += "," + element;
        }
        return text + "]}";
    }

    // Returns an object of about `objectBytes` with many short members.
    std::string objectWithMembers()
    {
        std::string text = R"({"a":0)";
        while (text.size() + 20 < objectBytes) {
            text += ",\"" + std::to_string(text.size()) + "\":[]";
        }
        return text + "}";
    }

    // Returns the registration of an upstream with an unknown field that takes most of its size.
    std::string registrationWithList()
    {
        auto content = platform_adapter::upstreamObject("s", "127.0.0.1:9", "ready").dump();
        return content.substr(0, content.size() - 1) + "," + objectWithList("{}").substr(1);
    }

}

TEST_CASE("Objects of other store clients cannot take the memory of the smallest VM")
{
    // Guards against daemons that are killed for their memory, one after the other, because a few large
    // objects of another writer are parsed as a whole and all kept until the list is complete.
    struct row {
        const char* name;
        const char* kind;
        int objects;
        std::string content;
        bool isWatched; // Written while the daemon watches, else before it starts.
    };
    const auto* upstreams = platform_adapter::upstreamKind;
    const auto pairs = objectWithList("[0,0]");
    const row rows[] = {
        { "listed pairs", upstreams, 8, pairs, false },
        { "many listed pairs", upstreams, 64, pairs, false },
        { "listed objects", upstreams, 16, objectWithList(R"({"":0})"), false },
        { "listed members", upstreams, 16, objectWithMembers(), false },
        { "listed text", upstreams, 64, "\"" + std::string(objectBytes, 't') + "\"", false },
        { "listed registrations", upstreams, 32, registrationWithList(), false },
        { "watched pairs", upstreams, 4, pairs, true },
        { "watched members", upstreams, 4, objectWithMembers(), true },
        { "listed crash records", platform_adapter::crashRecordKind, 16, pairs, false },
        { "listed configurations", platform_adapter::configurationKind, 16, pairs, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        single_daemon tested;
        tested.store().setPageSize(1);
        auto writeAll = [&] {
            for (int number = 0; number < each.objects; ++number) {
                tested.store().putText(each.kind, "a-" + std::to_string(number), each.content);
            }
        };
        if (!each.isWatched) {
            writeAll();
        }
        REQUIRE(tested.daemon().start());
        CHECK(tested.awaitReady());
        std::this_thread::sleep_for(watchTime);
        if (each.isWatched) {
            writeAll();
            std::this_thread::sleep_for(watchTime);
        }
        auto peak = tested.daemon().process()->peakMemoryBytes() / 1'048'576;
        MESSAGE(std::string(each.name) << ": " << peak << " MB");
        CHECK(peak > 0);
        CHECK(peak < maxMemoryMb);
    }
}

}
