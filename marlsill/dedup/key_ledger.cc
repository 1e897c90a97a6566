#include "marlsill/dedup/key_ledger.h"

#include "marlsill/base/hash.h"

namespace marlsill::dedup {

namespace {

    // Number of windows for which a key is still accepted after the window of its prefix.
    constexpr key_window acceptedWindows = 1;
    // Number of windows by which the clock of another VM that hands out this VM's prefix may be ahead.
    constexpr key_window maxWindowsAhead = 1;
    // Number of windows for which a key is retained after the window of its prefix.
    constexpr key_window retainedWindows = 2;

    bool isSettled(key_state state) { return state != key_state::queued && state != key_state::dispatched; }

}

std::string_view toText(key_state state)
{
    constexpr std::string_view names[] = { "queued", "cancelled", "dispatched", "finished", "undetermined" };
    return names[static_cast<int>(state)];
}

key_entry::key_entry(std::uint64_t requestHash)
    : m_requestHash(requestHash)
{
}

bool key_entry::tryDispatch()
{
    auto expected = key_state::queued;
    return m_state.compare_exchange_strong(expected, key_state::dispatched);
}

bool key_entry::tryCancel()
{
    auto expected = key_state::queued;
    bool isCancelled = m_state.compare_exchange_strong(expected, key_state::cancelled);
    {
        std::lock_guard lock(m_mutex);
    }
    m_settled.notify_all();
    return isCancelled || expected == key_state::cancelled;
}

void key_entry::returnToQueue() { m_state.store(key_state::queued); }

void key_entry::finish(std::shared_ptr<const http::response_message> response)
{
    {
        std::lock_guard lock(m_mutex);
        m_state.store(response ? key_state::finished : key_state::undetermined);
        m_response = std::move(response);
    }
    m_settled.notify_all();
}

key_state key_entry::waitUntilSettled(deadline limit)
{
    std::unique_lock lock(m_mutex);
    m_settled.wait_until(lock, limit, [this] { return isSettled(m_state.load()); });
    return m_state.load();
}

std::shared_ptr<const http::response_message> key_entry::response() const
{
    std::lock_guard lock(m_mutex);
    return m_response;
}

key_ledger::key_ledger(
    std::string incarnation, ledger_options options, steady_clock::time_point start, wall_deadline wallStart)
    : m_incarnation(std::move(incarnation))
    , m_options(options)
    , m_start(start)
    , m_wallStart(wallStart)
{
}

key_window key_ledger::windowAt(steady_clock::time_point now) const
{
    auto wall = m_wallStart + std::chrono::duration_cast<wall_clock::duration>(now - m_start);
    return windowOf(wall, m_options.windowLength);
}

bool key_ledger::isAccepted(key_window window, steady_clock::time_point now) const
{
    auto current = windowAt(now);
    return window <= current + maxWindowsAhead && current <= window + acceptedWindows;
}

key_ledger::shard& key_ledger::shardOf(std::string_view key) { return m_shards[fastHash(key) % shardCount]; }

begin_result key_ledger::begin(std::string_view key, std::uint64_t requestHash, steady_clock::time_point now)
{
    auto parsed = parseKey(key);
    if (!parsed || parsed->incarnation != m_incarnation) {
        return { begin_status::expired, nullptr };
    }
    auto& keyShard = shardOf(key);
    std::lock_guard lock(keyShard.mutex);
    auto found = keyShard.entries.find(std::string(key));
    if (found != keyShard.entries.end()) {
        bool isSame = found->second->requestHash() == requestHash || found->second->requestHash() == 0;
        return isSame ? begin_result { begin_status::exists, found->second }
                      : begin_result { begin_status::otherRequest, nullptr };
    }
    if (!isAccepted(parsed->window, now)) {
        return { begin_status::expired, nullptr };
    }
    if (m_isClosed || m_size.load() >= m_options.maxEntries) {
        return { begin_status::full, nullptr };
    }
    auto entry = std::make_shared<key_entry>(requestHash);
    keyShard.entries.emplace(std::string(key), entry);
    ++m_size;
    return { begin_status::isNew, std::move(entry) };
}

std::shared_ptr<key_entry> key_ledger::resolve(std::string_view key, steady_clock::time_point now)
{
    constexpr std::uint64_t unknownRequest = 0;
    auto begun = begin(key, unknownRequest, now);
    if (begun.status == begin_status::isNew) {
        begun.entry->tryCancel();
        return begun.entry;
    }
    return peek(key);
}

std::shared_ptr<key_entry> key_ledger::peek(std::string_view key)
{
    auto& keyShard = shardOf(key);
    std::lock_guard lock(keyShard.mutex);
    auto found = keyShard.entries.find(std::string(key));
    return found == keyShard.entries.end() ? nullptr : found->second;
}

std::size_t key_ledger::dropExpired(steady_clock::time_point now)
{
    auto current = windowAt(now);
    std::size_t dropped = 0;
    for (auto& keyShard : m_shards) {
        std::lock_guard lock(keyShard.mutex);
        dropped += std::erase_if(keyShard.entries, [current](const auto& item) {
            auto parsed = parseKey(item.first);
            return !parsed || current > parsed->window + retainedWindows;
        });
    }
    m_size -= dropped;
    return dropped;
}

std::vector<settled_key> key_ledger::close()
{
    m_isClosed = true;
    std::vector<settled_key> keys;
    for (auto& keyShard : m_shards) {
        std::lock_guard lock(keyShard.mutex);
        for (auto& [key, entry] : keyShard.entries) {
            entry->tryCancel();
            auto state = entry->state();
            auto settled = state == key_state::dispatched ? key_state::undetermined : state;
            keys.push_back({ key, settled, entry->requestHash(), entry->response() });
        }
    }
    return keys;
}

}
