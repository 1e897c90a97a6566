#pragma once

// An in-memory object store with faults on command. The platform stand-in serves one over HTTP, and tests use
// it directly.

#include "marlsill/platform/object_store.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace marlsill::testing {

// Faults that a test or an operator of the stand-in can switch on.
struct store_faults {
    bool isAway = false; // Every call fails without effect.
    int lostAnswers = 0; // So many of the next writes take effect but report `uncertain`.
};

// Satisfies object_store. Thread safe.
class memory_store {
public:
    std::optional<platform::stored_object> read(const std::string& name, deadline, reason& why)
    {
        std::lock_guard lock(m_mutex);
        return readLocked(name, why);
    }

    std::optional<platform::object_version> write(const std::string& name, const std::string& value,
        platform::object_version expected, deadline, reason& why)
    {
        std::lock_guard lock(m_mutex);
        if (m_faults.isAway) {
            return fail(why, reason_code::unavailable, "the store is away");
        }
        if (value.size() > platform::maxObjectBytes) {
            return fail(why, reason_code::tooLarge, "the value is too large");
        }
        auto found = m_objects.find(name);
        auto current = found == m_objects.end() ? platform::noVersion : found->second.version;
        if (current != expected) {
            return fail(why, reason_code::conflict, "version is " + std::to_string(current));
        }
        m_objects[name] = { value, ++m_lastVersion };
        m_changed.notify_all();
        if (m_faults.lostAnswers > 0) {
            --m_faults.lostAnswers;
            return fail(why, reason_code::uncertain, "the answer was lost");
        }
        return m_lastVersion;
    }

    std::optional<platform::stored_object> watch(
        const std::string& name, platform::object_version after, deadline limit, reason& why)
    {
        std::unique_lock lock(m_mutex);
        auto isNewer = [&] {
            auto found = m_objects.find(name);
            return found != m_objects.end() && found->second.version > after;
        };
        if (!m_changed.wait_until(lock, limit, [&] { return m_faults.isAway || isNewer(); })) {
            return fail(why, reason_code::timeout, "nothing newer");
        }
        return readLocked(name, why);
    }

    // Returns the names that begin with `prefix`.
    std::vector<std::string> list(const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        for (auto each = m_objects.lower_bound(prefix); each != m_objects.end(); ++each) {
            if (each->first.rfind(prefix, 0) != 0) {
                break;
            }
            names.push_back(each->first);
        }
        return names;
    }

    void setFaults(store_faults faults)
    {
        std::lock_guard lock(m_mutex);
        m_faults = faults;
        m_changed.notify_all();
    }

private:
    std::optional<platform::stored_object> readLocked(const std::string& name, reason& why)
    {
        if (m_faults.isAway) {
            return fail(why, reason_code::unavailable, "the store is away");
        }
        auto found = m_objects.find(name);
        if (found == m_objects.end()) {
            return fail(why, reason_code::notFound, "no object " + name);
        }
        return found->second;
    }

    std::mutex m_mutex; // Guards everything below.
    std::condition_variable m_changed;
    std::map<std::string, platform::stored_object> m_objects;
    platform::object_version m_lastVersion = 0;
    store_faults m_faults;
};

static_assert(platform::object_store<memory_store>);

}
