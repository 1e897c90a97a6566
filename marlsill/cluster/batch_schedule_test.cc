#include "marlsill/cluster/batch_schedule.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace marlsill::cluster {

TEST_CASE("Urgent messages are sent at once, but not in a batch each")
{
    // Guards against evidence of a failing upstream that reaches peers after 35 ms, and against a datagram
    // for each failure while many upstreams fail.
    using std::chrono::milliseconds;
    struct message {
        int atMs;
        bool isUrgent;
    };
    struct row {
        const char* name;
        std::vector<message> messages;
        std::vector<int> sentMs;
    };
    std::vector<message> many;
    std::vector<int> manySent { 2 };
    for (int at = 0; at < 300; ++at) {
        many.push_back({ at, true });
    }
    for (int at = 32; at <= 302; at += 30) {
        manySent.push_back(at);
    }
    const row rows[] = {
        { "not urgent", { { 0, false }, { 5, false } }, { 30 } },
        { "urgent", { { 0, true } }, { 2 } },
        { "urgent after others", { { 0, false }, { 10, true } }, { 12 } },
        { "urgent twice", { { 0, true }, { 5, true }, { 6, false } }, { 2, 32 } },
        { "urgent again later", { { 0, true }, { 100, true } }, { 2, 102 } },
        { "urgent all the time", many, manySent },
    };
    const steady_clock::time_point start { std::chrono::hours(1) };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        batch_schedule schedule;
        std::vector<int> sent;
        std::size_t next = 0;
        deadline sendAt = deadline::max();
        for (int at = 0; at < 400; ++at) {
            auto now = start + milliseconds(at);
            if (hasPassed(sendAt, now)) {
                sent.push_back(at);
                schedule.recordSent(now);
                sendAt = deadline::max();
            }
            for (; next < each.messages.size() && each.messages[next].atMs == at; ++next) {
                sendAt = schedule.sendAt(each.messages[next].isUrgent, now);
            }
        }
        CHECK(sent == each.sentMs);
    }
}

}
