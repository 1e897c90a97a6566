#pragma once

// Keeps a copy of all objects of one kind: lists them, then follows their changes through watches.
//
//     kind_watcher watcher(io, client, { .kind = "servers" }, listener);
//     asio::co_spawn(io, watcher.run(), asio::detached);
//     watcher.setActive(true);
//
// When the store has dropped its history, everything is listed again. While the store is away it is tried
// again with growing pauses, and the listener is told of the loss and of the return.

#include "marlsill/base/random.h"
#include "marlsill/base/reason.h"
#include "marlsill/base/time.h"
#include "marlsill/store/stored_object.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <functional>
#include <optional>
#include <string>

namespace marlsill::store {

namespace asio = boost::asio;

// A client of a store. Failures give std::nullopt and a reason: `notFound` from watch() means that the
// history is gone, `unavailable` that nothing was done, `uncertain` that nobody can tell.
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
    std::chrono::milliseconds wait { 1'000 }; // One watch; bounds how long a silent store goes unnoticed.
    std::chrono::milliseconds gather {
        80
    }; // After news, for more to come with the next call; of 2 s in all.
    std::chrono::milliseconds listLimit { 1'000 }; // Many times the store's usual answer.
    std::chrono::milliseconds firstPause { 100 };
    std::chrono::milliseconds maxPause { 800 }; // News must reach every VM within two seconds of a return.
};

// What a watcher tells; all calls come from its event loop.
struct watch_listener {
    std::function<void(const std::vector<stored_object>& objects, std::uint64_t version)> listed;
    std::function<void(const std::vector<object_change>& changes, std::uint64_t version)> changed;
    std::function<void(const reason& why)> lost;
    std::function<void()> regained;
    std::function<void()> contacted; // The store has answered, with or without news.
};

template <object_client Client> class kind_watcher {
public:
    kind_watcher(asio::io_context& io, Client& client, watch_options options, watch_listener listener)
        : m_client(client)
        , m_options(std::move(options))
        , m_listener(std::move(listener))
        , m_pause(io)
        , m_nextPause(m_options.firstPause)
    {
    }

    // Follows the kind whenever it is active; it starts inactive.
    asio::awaitable<void> run()
    {
        while (true) {
            if (!m_isActive) {
                m_version.reset(); // The history may be gone when it is active again.
                co_await pauseUntil(deadline::max());
                continue;
            }
            reason why;
            bool isFollowed = m_version ? co_await follow(why) : co_await listAll(why);
            if (isFollowed) {
                noteSuccess();
                continue;
            }
            if (why.code == reason_code::notFound) {
                m_version.reset();
                continue;
            }
            co_await waitAfter(why);
        }
    }

    // Starts or ends following; a call in work is finished first.
    void setActive(bool isActive)
    {
        m_isActive = isActive;
        m_pause.cancel();
    }

private:
    asio::awaitable<bool> listAll(reason& why)
    {
        std::vector<stored_object> all;
        std::string after;
        std::uint64_t version = 0;
        while (true) {
            auto page
                = co_await m_client.list(m_options.kind, after, deadlineAfter(m_options.listLimit), why);
            if (!page) {
                co_return false;
            }
            // Changes between two pages are seen again by a watch from the first page's version.
            version = version == 0 ? page->version : version;
            all.insert(all.end(), page->objects.begin(), page->objects.end());
            if (!page->hasMore || page->objects.empty()) {
                break;
            }
            after = page->objects.back().name;
        }
        noteSuccess();
        m_version = version;
        m_listener.listed(all, version);
        co_return true;
    }

    asio::awaitable<bool> follow(reason& why)
    {
        auto page = co_await m_client.watch(m_options.kind, *m_version, m_options.wait, why);
        if (!page) {
            co_return false;
        }
        noteSuccess();
        m_version = std::max(*m_version, page->version);
        if (!page->changes.empty()) {
            m_listener.changed(page->changes, *m_version);
            co_await pauseUntil(deadlineAfter(m_options.gather));
        }
        co_return true;
    }

    void noteSuccess()
    {
        m_listener.contacted();
        m_nextPause = m_options.firstPause;
        if (std::exchange(m_isLost, false)) {
            m_listener.regained();
        }
    }

    asio::awaitable<void> waitAfter(const reason& why)
    {
        if (!std::exchange(m_isLost, true)) {
            m_listener.lost(why);
        }
        std::uniform_real_distribution<> spread(0.5, 1.0);
        auto pause = std::chrono::duration_cast<steady_clock::duration>(m_nextPause * spread(threadRandom()));
        m_nextPause = std::min(m_nextPause * 2, m_options.maxPause);
        co_await pauseUntil(deadlineAfter(pause));
    }

    asio::awaitable<void> pauseUntil(deadline limit)
    {
        m_pause.expires_at(limit);
        boost::system::error_code ignored;
        co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    Client& m_client;
    const watch_options m_options;
    const watch_listener m_listener;
    asio::steady_timer m_pause;
    std::chrono::milliseconds m_nextPause;
    std::optional<std::uint64_t> m_version;
    bool m_isLost = false;
    bool m_isActive = false;
};

}
