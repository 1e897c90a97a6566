#include "marlsill/store/kind_watcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <thread>

namespace marlsill::store {

namespace {

    // Returns scripted responses and stops the event loop when there are none left.
    struct scripted_client {
        asio::io_context& io;
        std::deque<std::optional<object_page>> lists {};
        std::deque<std::pair<std::optional<change_page>, reason_code>> watches {};
        std::vector<std::string> calls {};
        std::vector<boot_clock::time_point> calledAt {};
        std::vector<std::chrono::milliseconds> waits {}; // Of watches.
        std::function<void()> onWatch {};

        asio::awaitable<std::optional<object_page>> list(
            const std::string&, const std::string& after, deadline, reason& why)
        {
            calls.push_back("list " + after);
            calledAt.push_back(boot_clock::now());
            if (lists.empty()) {
                io.stop();
                co_return fail(why, reason_code::unavailable, "end of script");
            }
            auto page = lists.front();
            lists.pop_front();
            if (!page) {
                co_return fail(why, reason_code::unavailable, "down");
            }
            co_return page;
        }

        asio::awaitable<std::optional<change_page>> watch(
            const std::string&, std::uint64_t version, std::chrono::milliseconds wait, reason& why)
        {
            calledAt.push_back(boot_clock::now());
            waits.push_back(wait);
            if (onWatch) {
                onWatch();
            }
            calls.push_back(
                "watch " + std::to_string(version) + (wait == std::chrono::milliseconds(0) ? " now" : ""));
            if (watches.empty()) {
                io.stop();
                co_return fail(why, reason_code::unavailable, "end of script");
            }
            auto [page, code] = watches.front();
            watches.pop_front();
            if (!page) {
                co_return fail(why, code, "scripted");
            }
            co_return page;
        }
    };

    // Decodes an object to its name, unless that begins with '-'.
    std::optional<std::string> nameOf(const stored_object& object)
    {
        return object.name.starts_with('-') ? std::nullopt : std::optional(object.name);
    }

    struct watch_case {
        const char* name;
        std::deque<std::optional<object_page>> lists;
        std::deque<std::pair<std::optional<change_page>, reason_code>> watches;
        std::vector<std::string> calls;
        std::vector<std::string> notifications;
    };

    object_page page(const std::vector<std::string>& names, std::uint64_t version, bool hasMore = false,
        std::uint64_t era = 1)
    {
        object_page result { {}, hasMore, { era, version } };
        for (const auto& name : names) {
            result.objects.push_back({ name, 1, {} });
        }
        return result;
    }

    change_page changes(const std::vector<std::string>& names, std::uint64_t version, std::uint64_t era = 1)
    {
        change_page result { {}, { era, version } };
        for (const auto& name : names) {
            result.changes.push_back({ { name, version, {} }, false });
        }
        return result;
    }

}

TEST_CASE("A watcher lists, watches, and lists again when the history is gone")
{
    const auto none = reason_code::none;
    const std::vector<watch_case> cases = {
        { "watches after listing", { page({ "a" }, 5) },
            { { changes({ "b" }, 7), none }, { changes({}, 9), none } },
            { "list ", "watch 5", "watch 7", "watch 9" }, { "listed 1 at 5", "changed 1 at 7" } },
        { "watches from the version of the first page", { page({ "a", "b" }, 5, true), page({ "c" }, 8) }, {},
            { "list ", "list b", "watch 5" }, { "listed 3 at 5" } },
        { "objects of other writers",
            { page({ "a", "-b" }, 5, true), page({ "-c" }, 8, true), page({ "d" }, 8) },
            { { changes({ "-e" }, 9), none } }, { "list ", "list -b", "list -c", "watch 5", "watch 9" },
            { "listed 2 at 5", "changed 1 at 9" } },
        { "history gone", { page({ "a" }, 5), page({ "a", "b" }, 90) },
            { { std::nullopt, reason_code::notFound } }, { "list ", "watch 5", "list ", "watch 90" },
            { "listed 1 at 5", "listed 2 at 90" } },
        { "outage during a watch", { page({ "a" }, 5) },
            { { std::nullopt, reason_code::uncertain }, { std::nullopt, reason_code::unavailable },
                { changes({ "b" }, 6), none } },
            { "list ", "watch 5", "watch 5 now", "watch 5 now", "watch 6" },
            { "listed 1 at 5", "lost", "regained", "changed 1 at 6" } },
        { "outage during the first list", { std::nullopt, page({ "a" }, 5) }, {},
            { "list ", "list ", "watch 5" }, { "lost", "regained", "listed 1 at 5" } },
        // Guards against a watch that waits and is cut off again, so that the store seems to be away.
        { "watches are cut off again and again", { page({ "a" }, 5) },
            { { std::nullopt, reason_code::uncertain }, { changes({}, 5), none },
                { std::nullopt, reason_code::uncertain }, { changes({}, 5), none } },
            { "list ", "watch 5", "watch 5 now", "watch 5", "watch 5 now", "watch 5" },
            { "listed 1 at 5", "lost", "regained", "lost", "regained" } },
        // Guard against changes that are passed over, as their versions were given out before the store was
        // restored from a copy.
        { "restored, seen by a watch", { page({ "a" }, 5), page({ "a", "b" }, 4, false, 2) },
            { { changes({}, 6, 2), none }, { changes({ "c" }, 5, 2), none } },
            { "list ", "watch 5", "list ", "watch 4", "watch 5" },
            { "listed 1 at 5", "restored 1 to 2", "listed 2 at 4", "changed 1 at 5" } },
        { "restored, with changes of the new era", { page({ "a" }, 5), page({ "a", "b" }, 7, false, 2) },
            { { changes({ "b" }, 7, 2), none } }, { "list ", "watch 5", "list ", "watch 7" },
            { "listed 1 at 5", "restored 1 to 2", "listed 2 at 7" } },
        { "restored, and the history is gone", { page({ "a" }, 5), page({}, 3, false, 2) },
            { { std::nullopt, reason_code::notFound } }, { "list ", "watch 5", "list ", "watch 3" },
            { "listed 1 at 5", "restored 1 to 2", "listed 0 at 3" } },
        { "restored while it is listed",
            { page({ "a", "b" }, 5, true), page({ "c" }, 4, false, 2), page({ "a" }, 4, false, 2) }, {},
            { "list ", "list b", "list ", "watch 4" }, { "listed 1 at 4" } },
        { "restored twice", { page({ "a" }, 5), page({ "a" }, 4, false, 2), page({ "b" }, 3, false, 3) },
            { { changes({}, 4, 2), none }, { changes({}, 3, 3), none } },
            { "list ", "watch 5", "list ", "watch 4", "list ", "watch 3" },
            { "listed 1 at 5", "restored 1 to 2", "listed 1 at 4", "restored 2 to 3", "listed 1 at 3" } },
        { "the era becomes known", { page({ "a" }, 5, false, 0), page({ "a" }, 5) },
            { { changes({}, 6), none } }, { "list ", "watch 5", "list ", "watch 5" },
            { "listed 1 at 5", "listed 1 at 5" } },
        { "an older version is ignored", { page({ "a" }, 5) }, { { changes({}, 3), none } },
            { "list ", "watch 5", "watch 5" }, { "listed 1 at 5" } },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        asio::io_context io;
        scripted_client client { io, each.lists, each.watches };
        std::vector<std::string> notifications;
        watch_listener<std::string> listener { .decode = nameOf,
            .listed =
                [&](const auto& objects, auto position) {
                    notifications.push_back("listed " + std::to_string(objects.size()) + " at "
                        + std::to_string(position.version));
                },
            .changed =
                [&](const auto& events, auto position) {
                    notifications.push_back("changed " + std::to_string(events.size()) + " at "
                        + std::to_string(position.version));
                },
            .restored =
                [&](auto previousEra, auto era) {
                    notifications.push_back(
                        "restored " + std::to_string(previousEra) + " to " + std::to_string(era));
                },
            .lost = [&](const reason&, auto) { notifications.push_back("lost"); },
            .regained = [&] { notifications.push_back("regained"); },
            .contacted = [] {} };
        watch_options options { .kind = "k", .initialBackoff = std::chrono::milliseconds(1) };
        kind_watcher watcher(io, client, options, listener);
        watcher.setActive(true);
        asio::co_spawn(io, watcher.run(), asio::detached);
        io.run_for(std::chrono::seconds(10));
        if (!notifications.empty() && notifications.back() == "lost" && each.notifications.back() != "lost") {
            notifications.pop_back(); // Caused by the end of the script.
        }
        CHECK(client.calls == each.calls);
        CHECK(notifications == each.notifications);
    }
}

TEST_CASE("The point of a call is taken before it, and counts after its content has been reported")
{
    const auto none = reason_code::none;
    struct row {
        const char* name;
        std::deque<std::optional<object_page>> lists;
        std::deque<std::pair<std::optional<change_page>, reason_code>> watches;
        std::vector<std::string> expected; // "point N" is that of the Nth call.
    };
    const row rows[] = {
        { "a list and watches", { page({ "a" }, 5) },
            { { changes({ "b" }, 7), none }, { changes({}, 9), none } },
            { "listed", "point 1", "changed", "point 2", "point 3" } },
        // Guards against a list whose first page is older than the point.
        { "a list of two pages", { page({ "a", "b" }, 5, true), page({ "c" }, 8) }, {},
            { "listed", "point 1" } },
        { "calls that fail", { page({ "a" }, 5) },
            { { std::nullopt, reason_code::uncertain }, { std::nullopt, reason_code::unavailable },
                { changes({}, 6), none } },
            { "listed", "point 1", "point 4" } },
        // Guard against a withdrawn key that is in an old copy of the store.
        { "a stale watch", { page({ "a" }, 5) }, { { changes({}, 3), none }, { changes({}, 5), none } },
            { "listed", "point 1", "point 3" } },
        { "a stale list after the history is gone", { page({ "a" }, 5), page({ "a" }, 4) },
            { { std::nullopt, reason_code::notFound }, { changes({}, 4), none }, { changes({}, 6), none } },
            { "listed", "point 1", "listed", "point 5" } },
        { "a watch that shows a restored store", { page({ "a" }, 5), page({ "a" }, 2, false, 2) },
            { { changes({ "b" }, 6, 2), none } }, { "listed", "point 1", "listed", "point 3" } },
    };
    for (const auto& each : rows) {
        CAPTURE(each.name);
        asio::io_context io;
        scripted_client client { io, each.lists, each.watches };
        std::vector<std::string> notifications;
        watch_listener<std::string> listener { .decode = nameOf,
            .listed = [&](const auto&, auto) { notifications.push_back("listed"); },
            .changed = [&](const auto&, auto) { notifications.push_back("changed"); },
            .restored = [](auto, auto) {},
            .lost = [](const reason&, auto) {},
            .regained = [] {},
            .contacted = [] {},
            .current =
                [&](auto point) {
                    // The last call that was not begun before the point.
                    auto call = std::lower_bound(client.calledAt.begin(), client.calledAt.end(), point);
                    notifications.push_back("point " + std::to_string(call - client.calledAt.begin() + 1));
                } };
        kind_watcher watcher(
            io, client, { .kind = "k", .initialBackoff = std::chrono::milliseconds(1) }, listener);
        watcher.setActive(true);
        asio::co_spawn(io, watcher.run(), asio::detached);
        io.run_for(std::chrono::seconds(10));
        CHECK(notifications == each.expected);
    }
}

TEST_CASE("A changed watch timeout holds from the next watch on")
{
    asio::io_context io;
    scripted_client client { io, { page({ "a" }, 5) },
        { { changes({}, 5), reason_code::none }, { changes({}, 5), reason_code::none } } };
    watch_listener<std::string> listener { .decode = nameOf,
        .listed = [](const auto&, auto) {},
        .changed = [](const auto&, auto) {},
        .restored = [](auto, auto) {},
        .lost = [](const reason&, auto) {},
        .regained = [] {},
        .contacted = [] {} };
    kind_watcher watcher(io, client, { .kind = "k" }, listener);
    client.onWatch = [&] { watcher.setWatchTimeout(std::chrono::milliseconds(500)); };
    watcher.setActive(true);
    asio::co_spawn(io, watcher.run(), asio::detached);
    io.run_for(std::chrono::seconds(10));
    REQUIRE(client.waits.size() >= 2);
    CHECK(client.waits[0] == std::chrono::milliseconds(1'000));
    CHECK(client.waits[1] == std::chrono::milliseconds(500));
}

TEST_CASE("A response counts as of the end of its watch's wait at the latest, after its content")
{
    // Guards against a VM that was stopped and takes a response that waited in its socket for a recent one.
    using std::chrono::milliseconds;
    struct row {
        const char* name;
        milliseconds absence; // Until the response is read.
        milliseconds latest; // As of when it may count, from the call on.
    };
    constexpr milliseconds watchTimeout { 30 };
    const row rows[] = {
        { "at once", milliseconds(0), watchTimeout },
        { "the process was stopped", milliseconds(200), watchTimeout },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        asio::io_context io;
        scripted_client client { io, { page({ "a" }, 5) }, { { changes({ "b" }, 6), reason_code::none } } };
        std::vector<std::string> notifications;
        std::vector<steady_clock::time_point> asOf;
        steady_clock::time_point calledAt;
        client.onWatch = [&] {
            calledAt = client.calls.size() == 1 ? steady_clock::now() : calledAt;
            std::this_thread::sleep_for(each.absence);
        };
        watch_listener<std::string> listener { .decode = nameOf,
            .listed = [&](const auto&, auto) { notifications.push_back("listed"); },
            .changed = [&](const auto&, auto) { notifications.push_back("changed"); },
            .restored = [](auto, auto) {},
            .lost = [](const reason&, auto) {},
            .regained = [] {},
            .contacted = [] {},
            .read =
                [&](auto point) {
                    notifications.push_back("read");
                    asOf.push_back(point);
                } };
        kind_watcher watcher(io, client, { .kind = "k", .watchTimeout = watchTimeout }, listener);
        watcher.setActive(true);
        asio::co_spawn(io, watcher.run(), asio::detached);
        io.run_for(std::chrono::seconds(10));
        CHECK(notifications == std::vector<std::string> { "listed", "read", "changed", "read" });
        REQUIRE(asOf.size() == 2);
        CHECK(asOf[0] <= asOf[1]);
        CHECK(asOf[1] <= calledAt + each.latest);
    }
}

TEST_CASE("A watch ends in its turn where one is set")
{
    asio::io_context io;
    scripted_client client { io, { page({ "a" }, 5) }, { { changes({}, 5), reason_code::none } } };
    watch_listener<std::string> listener { .decode = nameOf,
        .listed = [](const auto&, auto) {},
        .changed = [](const auto&, auto) {},
        .restored = [](auto, auto) {},
        .lost = [](const reason&, auto) {},
        .regained = [] {},
        .contacted = [] {} };
    const watch_options options { .kind = "k" };
    kind_watcher watcher(io, client, options, listener);
    const watch_turn turn { 1, 3 };
    watcher.setTurn(turn);
    watcher.setActive(true);
    auto before = wall_clock::now();
    asio::co_spawn(io, watcher.run(), asio::detached);
    io.run_for(std::chrono::seconds(10));
    auto period = options.watchTimeout + options.callTime;
    REQUIRE(!client.waits.empty());
    // The wait is that of a moment between the start and now.
    CHECK(client.waits[0] <= period * 11 / 10);
    CHECK(client.waits[0] >= period * 2 / 5);
    auto end = toUnixMilliseconds(before + client.waits[0]) % period.count();
    bool isClamped = client.waits[0] == period + period / 10;
    CHECK((isClamped || std::abs(end - (period * turn.index / turn.count).count()) < 100));
}

}
