#pragma once

// Keeps the crash records of quarantined requests in the store, so that they outlive a loss of all VMs.
//
//     crash_archive archive(io, client, { .kind = "crash-records" }, listener);
//     archive.start();
//     archive.setActive(true); // On the VMs that watch the store.
//     archive.save(records); // On every VM, whenever its records of a request change.
//
// The store holds one object per request. An active archive compares what the store holds with what this VM
// knows, and writes each object that is missing, lags behind or has been lost with an older copy of the
// store. Several VMs may write the same object; as records are merged by maximum, a write that lags behind is
// repaired by the next comparison. Objects of expired records are deleted. Not thread safe; used by one event
// loop.

#include "marlsill/placement/crash_quarantine.h"
#include "marlsill/store/crash_object.h"
#include "marlsill/store/kind_watcher.h"
#include "marlsill/supervisor/loop_guard.h"

#include <map>
#include <string>
#include <vector>

namespace marlsill::store {

// A client that can also change objects. put() creates or replaces an object and returns its version;
// remove() deletes it if its version is the given one.
template <typename Client>
concept object_editor = object_client<Client> && requires(Client& client, const std::string& text,
    std::uint64_t version, deadline limit, reason& why, nlohmann::json content)
{
    {
        client.put(text, text, content, limit, why)
        } -> std::same_as<asio::awaitable<std::optional<std::uint64_t>>>;
    {
        client.remove(text, text, version, limit, why)
        } -> std::same_as<asio::awaitable<bool>>;
};

// Settings of an archive.
struct crash_archive_options {
    std::string kind;
    int minCrashes = 2; // Requests with fewer crashes are not archived; see crash_quarantine_options.
    // A single watch may wait for long, as other kinds show whether the store responds.
    std::chrono::milliseconds watchTimeout { 10'000 };
    std::chrono::milliseconds writeTimeout { 1'000 };
    std::chrono::milliseconds retryInterval { 500 }; // After a failed write.
    std::chrono::milliseconds cleanupInterval { 60'000 }; // Between deletions of expired objects.
};

// Callbacks of an archive, all called from its event loop.
struct crash_archive_listener {
    std::function<void(const std::vector<placement::crash_record>&)> records; // The store holds these.
    std::function<void()> listed; // All that the store held has been passed to `records`.
    std::function<void(const std::string& name, const reason& why)> malformed; // An object is ignored.
    std::function<void(const std::string& name, const reason& why)> writeFailed; // It will be repeated.
};

template <object_editor Client> class crash_archive {
public:
    crash_archive(
        asio::io_context& io, Client& client, crash_archive_options options, crash_archive_listener listener)
        : m_io(io)
        , m_client(client)
        , m_options(std::move(options))
        , m_listener(std::move(listener))
        , m_timer(io)
        , m_watcher(io, client, { .kind = m_options.kind, .watchTimeout = m_options.watchTimeout },
              { .decode = [this](const auto& object) { return decode(object); },
                  .listed = [this](const auto& objects, auto) { handleList(objects); },
                  .changed = [this](const auto& changes, auto) { handleChanges(changes); },
                  .restored = [](auto, auto) {}, // What the copy lacks is written again after the list.
                  .lost = [](const reason&, auto) {},
                  .regained = [] {},
                  .contacted = [] {} })
    {
    }

    // Starts the loops, which stay idle until setActive().
    void start()
    {
        spawnSupervised(m_io, "store/crash_records", [this] { return m_watcher.run(); });
        spawnSupervised(m_io, "store/crash_records_writer", [this] { return writeLoop(); });
    }

    // Starts or stops to read and write the store.
    void setActive(bool isActive)
    {
        m_isActive = isActive;
        wakeWriter();
        m_watcher.setActive(isActive);
    }

    // Records what this VM knows of one request: all of its records.
    void save(const std::vector<placement::crash_record>& records)
    {
        if (records.empty()) {
            return;
        }
        auto object = toCrashObject(records, steady_clock::now(), wall_clock::now());
        auto name = crashObjectName(records.front().fingerprint);
        bool isArchived = m_known.contains(name) || m_stored.contains(name);
        if (!isArchived && object.crashes() < m_options.minCrashes) {
            return;
        }
        m_known[name] = std::move(object);
        wakeWriter();
    }

private:
    struct stored_crash_object {
        crash_object object;
        std::uint64_t version = 0;
    };

    struct decoded_crash_object {
        std::string name;
        std::uint64_t fingerprint = 0;
        stored_crash_object stored;
    };

    // Returns std::nullopt for an object that is malformed, or of another writer.
    std::optional<decoded_crash_object> decode(const stored_object& stored) const
    {
        reason why;
        auto fingerprint = crashObjectFingerprint(stored.name);
        if (!fingerprint) {
            why = { reason_code::invalid, "its name is not that of a request" };
        }
        auto object = fingerprint ? parseCrashObject(stored.content, why) : std::nullopt;
        if (!object) {
            m_listener.malformed(stored.name, why);
            return std::nullopt;
        }
        return decoded_crash_object { stored.name, *fingerprint, { std::move(*object), stored.version } };
    }

    void handleList(const std::vector<decoded_crash_object>& objects)
    {
        m_stored.clear();
        for (const auto& each : objects) {
            handleObject(each);
        }
        m_isListed = true;
        m_listener.listed();
        wakeWriter();
    }

    void handleChanges(const std::vector<value_change<decoded_crash_object>>& changes)
    {
        for (const auto& each : changes) {
            if (each.isDeleted) {
                m_stored.erase(each.name);
            } else if (each.value) {
                handleObject(*each.value);
            }
        }
        wakeWriter();
    }

    void handleObject(const decoded_crash_object& decoded)
    {
        m_listener.records(toCrashRecords(
            decoded.fingerprint, decoded.stored.object, steady_clock::now(), wall_clock::now()));
        m_stored[decoded.name] = decoded.stored;
    }

    // Returns the name of an object that the store lacks, or holds with less than this VM knows.
    std::optional<std::string> nextToWrite() const
    {
        for (const auto& [name, object] : m_known) {
            auto stored = m_stored.find(name);
            if (stored == m_stored.end() || !covers(stored->second.object, object)) {
                return name;
            }
        }
        return std::nullopt;
    }

    asio::awaitable<void> writeLoop()
    {
        while (true) {
            std::erase_if(m_known, [](const auto& each) { return isExpired(each.second); });
            auto name = m_isActive && m_isListed ? nextToWrite() : std::nullopt;
            if (!name) {
                co_await removeExpired();
                co_await sleepFor(m_options.cleanupInterval);
                continue;
            }
            auto object = m_known[*name];
            if (auto stored = m_stored.find(*name); stored != m_stored.end()) {
                object = merged(object, stored->second.object);
            }
            reason why;
            auto limit = deadlineAfter(m_options.writeTimeout);
            auto version
                = co_await m_client.put(m_options.kind, *name, encodeCrashObject(object), limit, why);
            if (version) {
                m_stored[*name] = { std::move(object), *version };
            } else {
                m_listener.writeFailed(*name, why);
                m_hasChanged = false;
                co_await sleepFor(m_options.retryInterval);
            }
        }
    }

    asio::awaitable<void> removeExpired()
    {
        std::vector<std::pair<std::string, std::uint64_t>> expired;
        for (const auto& [name, stored] : m_stored) {
            if (m_isActive && isExpired(stored.object)) {
                expired.emplace_back(name, stored.version);
            }
        }
        for (const auto& [name, version] : expired) {
            reason why;
            auto limit = deadlineAfter(m_options.writeTimeout);
            if (co_await m_client.remove(m_options.kind, name, version, limit, why)) {
                m_stored.erase(name);
            }
        }
    }

    static bool isExpired(const crash_object& object) { return object.expiresAt <= wall_clock::now(); }

    void wakeWriter()
    {
        m_hasChanged = true;
        m_timer.cancel();
    }

    // Sleeps until the time is over or wakeWriter() is called; not at all if that was called since the last
    // sleep.
    asio::awaitable<void> sleepFor(std::chrono::milliseconds length)
    {
        if (std::exchange(m_hasChanged, false)) {
            co_return;
        }
        m_timer.expires_after(length);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::io_context& m_io;
    Client& m_client;
    const crash_archive_options m_options;
    const crash_archive_listener m_listener;
    asio::steady_timer m_timer;
    std::map<std::string, crash_object> m_known; // What this VM knows, by object name.
    std::map<std::string, stored_crash_object> m_stored; // What the store holds, as last read or written.
    bool m_isActive = false;
    bool m_isListed = false; // `m_stored` is complete.
    bool m_hasChanged = false; // Since the writer last slept.
    kind_watcher<Client, decoded_crash_object> m_watcher;
};

}
