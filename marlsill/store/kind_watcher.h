#pragma once

// Reports all objects of one kind in a store: lists them, then watches for changes.
//
//     watch_listener<upstream_entry> listener { .decode = decodeUpstream, .listed = useAll, ... };
//     kind_watcher watcher(io, client, { .kind = "servers" }, listener);
//     asio::co_spawn(io, watcher.run(), asio::detached);
//     watcher.setActive(true);
//
// Objects are decoded page by page as they are read, and only what they are decoded to is kept, so that the
// objects of other writers take no memory beyond that of one page.
//
// If the store no longer has the history since the last known version, or has been restored from a copy, the
// watcher lists all objects again. While the store is unavailable, it retries with exponential backoff; the
// listener is notified when the store becomes unavailable and when it responds again. A watch that is
// cut off is repeated at once without a wait, so that the time in which the store counts as unavailable is
// short unless it is. Not thread safe; used by one event loop.

#include "marlsill/base/absence_detector.h"
#include "marlsill/base/random.h"
#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"
#include "marlsill/store/stored_object.h"
#include "marlsill/store/watch_turn.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace marlsill::store {

namespace asio = boost::asio;

// A client of a store. On failure its functions return std::nullopt and set a reason: `notFound` from watch()
// means that the store no longer has the history since `version`, `unavailable` that the store did not take
// the request, `uncertain` that it is unknown whether it did.
template <typename Client>
concept object_client = requires(Client& client, const std::string& text, std::uint64_t version,
    deadline limit, reason& why, std::chrono::milliseconds wait)
{
    {
        client.list(text, text, limit, why)
        } -> std::same_as<asio::awaitable<std::optional<object_page>>>;
    {
        client.watch(text, version, wait, why)
        } -> std::same_as<asio::awaitable<std::optional<change_page>>>;
};

// Settings of a watcher.
struct watch_options {
    std::string kind;
    // Longest wait of one watch; bounds how long an unresponsive store goes undetected. See
    // setWatchTimeout().
    std::chrono::milliseconds watchTimeout { 1'000 };
    // Of a call beside its wait, so that VMs which take turns make no more calls than others.
    std::chrono::milliseconds callTime { 30 };
    // Pause after changes, so that the next watch returns several at once; part of the 2 s within which a
    // change must take effect.
    std::chrono::milliseconds batchDelay { 80 };
    std::chrono::milliseconds listTimeout { 1'000 }; // Per page; many times the store's usual response time.
    std::chrono::milliseconds initialBackoff { 100 };
    // Changes must reach every VM within 2 s after the store becomes available again.
    std::chrono::milliseconds maxBackoff { 800 };
};

// A created, changed or deleted object.
template <typename Value> struct value_change {
    std::string name; // Of the object.
    bool isDeleted = false;
    std::optional<Value> value; // Empty if the object is deleted or cannot be decoded.
};

// Callbacks of a watcher of objects that are decoded to `Value`, all called from its event loop.
template <typename Value> struct watch_listener {
    // Decodes an object as soon as it has been read. One for which it returns std::nullopt is left out of
    // lists.
    std::function<std::optional<Value>(const stored_object& object)> decode;
    // All objects of the kind as of `position`; replaces what was reported before.
    std::function<void(const std::vector<Value>& values, placement::store_position position)> listed;
    // Changes up to `position`.
    std::function<void(const std::vector<value_change<Value>>& changes, placement::store_position position)>
        changed;
    // The store has been restored from a copy, which may lack changes reported before. `listed` follows.
    std::function<void(std::uint64_t previousEra, std::uint64_t era)> restored;
    // The store has become unavailable, at `since` at the earliest.
    std::function<void(const reason& why, steady_clock::time_point since)> lost;
    std::function<void()> regained; // The store is available again.
    std::function<void()> contacted; // The store has responded, with or without changes.
    // Every change of the kind that the store acknowledged before `point` has been reported. `point` is taken
    // before the call to the store. May be empty.
    std::function<void(boot_clock::time_point point)> current {};
    // The store's response as of `asOf` has been reported, with or without changes: that is when it was sent
    // at the latest, unless the store responded before the wait of a watch was over. May be empty.
    std::function<void(steady_clock::time_point asOf)> read {};
};

template <object_client Client, typename Value> class kind_watcher {
public:
    kind_watcher(asio::io_context& io, Client& client, watch_options options, watch_listener<Value> listener)
        : m_client(client)
        , m_options(std::move(options))
        , m_listener(std::move(listener))
        , m_timer(io)
        , m_watchTimeout(m_options.watchTimeout)
        , m_nextBackoff(m_options.initialBackoff)
    {
    }

    // Lists and watches the kind while active; never returns. The watcher starts inactive. Once a listener
    // has let out an exception, run() can be called again, and lists all.
    asio::awaitable<void> run()
    {
        m_position.reset();
        while (true) {
            if (!m_isActive) {
                m_position.reset(); // The store may drop the history before the next activation.
                co_await sleepUntil(deadline::max());
                continue;
            }
            reason why;
            auto startedAt = steady_clock::now();
            auto longestWait = nextWait();
            bool isSuccessful = m_position ? co_await watchOnce(longestWait, why) : co_await listAll(why);
            if (isSuccessful) {
                noteSuccess();
                continue;
            }
            if (why.code == reason_code::notFound) {
                m_position.reset();
                continue;
            }
            // A call that fails before its wait is over was refused or cut off just now. One that got no
            // response in time may have been sent to a store that was away already.
            auto now = steady_clock::now();
            co_await backOff(why, now - startedAt < longestWait ? now : startedAt);
        }
    }

    // Sets the longest wait of one watch, from the next one on.
    void setWatchTimeout(std::chrono::milliseconds timeout) { m_watchTimeout = timeout; }

    // Sets when watches end, from the next one on; without a turn each waits for the watch timeout.
    void setTurn(watch_turn turn) { m_turn = turn; }

    // Starts or stops watching. A call in progress is completed, and its result reported, before it stops.
    void setActive(bool isActive)
    {
        m_isActive = isActive;
        m_timer.cancel();
    }

private:
    asio::awaitable<bool> listAll(reason& why)
    {
        auto point = boot_clock::now();
        auto sentAt = steady_clock::now();
        std::vector<Value> all;
        std::string after;
        std::optional<placement::store_position> position;
        while (true) {
            auto page
                = co_await m_client.list(m_options.kind, after, deadlineAfter(m_options.listTimeout), why);
            if (!page) {
                co_return false;
            }
            // Watching from the first page's position also returns the changes made while listing.
            position = position.value_or(page->position);
            if (page->position.era != position->era) {
                why = { reason_code::notFound, "the store was restored while it was listed" };
                co_return false;
            }
            for (const auto& each : page->objects) {
                if (auto value = m_listener.decode(each)) {
                    all.push_back(std::move(*value));
                }
            }
            if (!page->hasMore || page->objects.empty()) {
                break;
            }
            after = page->objects.back().name;
        }
        noteSuccess();
        m_position = position;
        auto previousEra = std::exchange(m_era, position->era);
        if (previousEra != 0 && previousEra != m_era) {
            m_listener.restored(previousEra, m_era);
        }
        m_listener.listed(all, *position);
        noteCurrent(point, sentAt, *position);
        co_return true;
    }

    // Returns the longest wait of a watch that starts now.
    std::chrono::milliseconds nextWait() const
    {
        return m_turn ? waitForTurn(m_watchTimeout + m_options.callTime, *m_turn, wall_clock::now())
                      : m_watchTimeout;
    }

    asio::awaitable<bool> watchOnce(std::chrono::milliseconds longestWait, reason& why)
    {
        // After a failure, a response at once tells whether the store is there. A watch that waits may be cut
        // off again without any outage.
        auto wait = m_isLost ? std::chrono::milliseconds(0) : longestWait;
        auto point = boot_clock::now();
        auto sentAt = steady_clock::now();
        auto page = co_await m_client.watch(m_options.kind, m_position->version, wait, why);
        if (!page) {
            co_return false;
        }
        auto receivedAt = steady_clock::now();
        noteSuccess();
        if (page->position.era != m_position->era) {
            why = { reason_code::notFound, "the store was restored" };
            co_return false;
        }
        m_position = std::max(*m_position, page->position);
        bool hasChanges = !page->changes.empty();
        if (hasChanges) {
            m_listener.changed(decodeChanges(page->changes), *m_position);
        }
        noteCurrent(point, std::min<steady_clock::time_point>(receivedAt, sentAt + wait), page->position);
        page.reset(); // Its objects may be large.
        if (hasChanges) {
            co_await sleepUntil(deadlineAfter(m_options.batchDelay));
        }
        co_return true;
    }

    std::vector<value_change<Value>> decodeChanges(std::span<const object_change> changes) const
    {
        std::vector<value_change<Value>> decoded;
        for (const auto& each : changes) {
            decoded.push_back({ each.object.name, each.isDeleted,
                each.isDeleted ? std::nullopt : m_listener.decode(each.object) });
        }
        return decoded;
    }

    // Reports when a call was made whose content has been reported, and as of when that is, unless the store
    // has responded with an earlier position than before: such a response is of a stale copy.
    void noteCurrent(
        boot_clock::time_point point, steady_clock::time_point asOf, placement::store_position position)
    {
        bool isStale = position < m_newest;
        m_newest = std::max(m_newest, position);
        if (!isStale && m_listener.current) {
            m_listener.current(point);
        }
        if (!isStale && m_listener.read) {
            m_listener.read(asOf);
        }
    }

    void noteSuccess()
    {
        m_listener.contacted();
        m_nextBackoff = m_options.initialBackoff;
        if (std::exchange(m_isLost, false)) {
            m_listener.regained();
        }
    }

    asio::awaitable<void> backOff(const reason& why, steady_clock::time_point since)
    {
        if (!std::exchange(m_isLost, true)) {
            m_listener.lost(why, since);
        }
        std::uniform_real_distribution<> jitter(0.5, 1.0);
        auto delay
            = std::chrono::duration_cast<steady_clock::duration>(m_nextBackoff * jitter(threadRandom()));
        m_nextBackoff = std::min(m_nextBackoff * 2, m_options.maxBackoff);
        co_await sleepUntil(deadlineAfter(delay));
    }

    asio::awaitable<void> sleepUntil(deadline wakeAt)
    {
        m_timer.expires_at(wakeAt);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    Client& m_client;
    const watch_options m_options;
    const watch_listener<Value> m_listener;
    asio::steady_timer m_timer;
    std::chrono::milliseconds m_watchTimeout;
    std::optional<watch_turn> m_turn;
    std::chrono::milliseconds m_nextBackoff;
    std::optional<placement::store_position> m_position; // To watch from; lists all objects if it is not set.
    std::uint64_t m_era = 0; // Of the last list.
    placement::store_position m_newest; // That the store has stated, also before the last list.
    bool m_isLost = false;
    bool m_isActive = false;
};

}
