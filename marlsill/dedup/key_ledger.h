#pragma once

// Tracks the at-most-once state of every idempotency key that names this incarnation.
//
//     auto begun = ledger.begin(key, requestHash, steady_clock::now());
//     if (begun.status == begin_status::isNew && begun.entry->tryDispatch())
//         begun.entry->finish(send(request));
//
// A key moves from queued to either cancelled or dispatched by a single compare-and-swap, and from dispatched
// to finished or undetermined. An upstream's proof that the request was not run returns it from dispatched to
// queued. Only the state cancelled proves that the request was not run. Rules K1 to K5 are specified in
// spec/at_most_once.pml.

#include "marlsill/base/time.h"
#include "marlsill/dedup/idempotency_key.h"
#include "marlsill/http/message_reader.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace marlsill::dedup {

// The state of one key.
enum class key_state : int {
    queued,
    cancelled, // Was not run and never will be.
    dispatched, // May have run.
    finished, // Ran; the response is stored.
    undetermined, // Dispatched; whether it ran is unknown.
};

// Returns the name of a state.
std::string_view toText(key_state state);

// The state machine of one key. Thread safe.
class key_entry {
public:
    explicit key_entry(std::uint64_t requestHash);

    // Claims the right to send the request to an upstream. At most one call returns true (rule K1), unless
    // returnToQueue() undid the dispatch.
    bool tryDispatch();

    // Cancels the request if it was not dispatched. Returns whether it is cancelled and so will never run
    // (rule K2).
    bool tryCancel();

    // Undoes a dispatch after the upstream proved that the request was not run, so that it can be dispatched
    // again. Only the caller whose tryDispatch() succeeded may call it.
    void returnToQueue();

    // Stores the outcome of a dispatched request. A null `response` makes the state undetermined.
    void finish(std::shared_ptr<const http::response_message> response);

    // Waits until the state is neither queued nor dispatched, or until the deadline, and returns the state.
    key_state waitUntilSettled(deadline limit);

    key_state state() const { return m_state.load(); }

    // Returns the stored response, or a null pointer unless the state is finished.
    std::shared_ptr<const http::response_message> response() const;

    std::uint64_t requestHash() const { return m_requestHash; }

private:
    const std::uint64_t m_requestHash;
    std::atomic<key_state> m_state = key_state::queued;
    mutable std::mutex m_mutex; // Guards m_response; m_settled waits on it.
    std::condition_variable m_settled;
    std::shared_ptr<const http::response_message> m_response;
};

// The result of looking up a key on the first or a repeated send of a request.
enum class begin_status {
    isNew, // The caller of begin() is responsible for the entry's outcome.
    exists, // The key was used before for the same request; the entry holds its state.
    otherRequest, // The key was used before for a different request.
    expired, // The key's window is not accepted now; earlier state of the key may have been dropped.
    full, // The ledger is full or closed; the request was not run.
};

// The result of begin(). `entry` is set for isNew and exists.
struct begin_result {
    begin_status status;
    std::shared_ptr<key_entry> entry;
};

// Options of a key_ledger.
struct ledger_options {
    std::size_t maxEntries = 200'000;
    std::chrono::milliseconds windowLength = defaultWindowLength;
};

// A key and its settled outcome, as handed over to the successor of this incarnation.
struct settled_key {
    std::string key;
    key_state state = key_state::undetermined;
    std::uint64_t requestHash = 0;
    std::shared_ptr<const http::response_message> response;
};

// The keys of this incarnation, sharded by hash. Thread safe.
class key_ledger {
public:
    // `start` and `wallStart` are the same instant on the two clocks.
    key_ledger(std::string incarnation, ledger_options options, steady_clock::time_point start,
        wall_deadline wallStart);

    // Returns the window whose prefix is handed out at `now`. New keys with that prefix are accepted
    // until the end of the next window.
    key_window windowAt(steady_clock::time_point now) const;

    // Looks up a key and creates an entry if there is none. Returns expired if `key` does not name this
    // incarnation.
    begin_result begin(std::string_view key, std::uint64_t requestHash, steady_clock::time_point now);

    // Looks up a key for another VM that asks for its outcome. An unknown key is recorded as cancelled, so
    // that its request cannot run if it arrives later (rule K3). Returns a null pointer if there is no entry
    // and none can be created, so that the outcome is unknown.
    std::shared_ptr<key_entry> resolve(std::string_view key, steady_clock::time_point now);

    // Returns the entry of a key, or a null pointer. Creates no entry.
    std::shared_ptr<key_entry> peek(std::string_view key);

    // Drops the keys whose windows are past retention (rule K4). Returns the number of dropped keys.
    std::size_t dropExpired(steady_clock::time_point now);

    // Makes begin() refuse new keys, cancels the queued ones and returns all keys. Dispatched keys without an
    // outcome are returned as undetermined.
    std::vector<settled_key> close();

    // Returns the number of keys.
    std::size_t size() const { return m_size.load(); }

private:
    struct shard {
        std::mutex mutex; // Guards entries.
        std::unordered_map<std::string, std::shared_ptr<key_entry>> entries;
    };

    static constexpr std::size_t shardCount = 16;

    shard& shardOf(std::string_view key);
    bool isAccepted(key_window window, steady_clock::time_point now) const;

    const std::string m_incarnation;
    const ledger_options m_options;
    const steady_clock::time_point m_start;
    const wall_deadline m_wallStart;
    std::array<shard, shardCount> m_shards;
    std::atomic<std::size_t> m_size = 0;
    std::atomic<bool> m_isClosed = false;
};

}
