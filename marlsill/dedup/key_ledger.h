#pragma once

// The at-most-once state of every idempotency key that names this incarnation.
//
//     auto begun = ledger.begin(key, requestHash, steady_clock::now());
//     if (begun.status == begin_status::isNew && begun.entry->tryDispatch())
//         begun.entry->finish(send(request));
//
// A key moves from queued to either cancelled or dispatched by one compare-and-swap, and from dispatched to
// finished or undetermined. Only a cancelled key proves that its request was not run. The rules named K1 to
// K5 are those of spec/at_most_once.pml.

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
    cancelled, // Not run, and never to be run.
    dispatched, // May have run.
    finished, // Ran; the answer is known.
    undetermined, // Dispatched, and whether it ran cannot be told.
};

// Returns the word for a state.
std::string_view toText(key_state state);

// One key's state machine. Thread safe.
class key_entry {
public:
    explicit key_entry(std::uint64_t requestHash);

    // Claims the right to send the request to an upstream; only one call ever returns true (rule K1).
    bool tryDispatch();

    // Gives up a request that was not dispatched; returns whether it is now certain never to run (rule K2).
    bool tryCancel();

    // Undoes a dispatch that an upstream has proved not run, so that it may be dispatched again. The caller
    // must have been the one that dispatched.
    void returnToQueue();

    // Stores the outcome of a dispatched request; an empty answer means undetermined.
    void finish(std::shared_ptr<const http::response_message> answer);

    // Waits until the key has left `queued` and `dispatched` or the limit has passed, and returns its state.
    key_state waitUntilSettled(deadline limit);

    key_state state() const { return m_state.load(); }

    // Returns the stored answer; empty unless finished.
    std::shared_ptr<const http::response_message> answer() const;

    std::uint64_t requestHash() const { return m_requestHash; }

private:
    const std::uint64_t m_requestHash;
    std::atomic<key_state> m_state = key_state::queued;
    mutable std::mutex m_mutex; // Guards m_answer and the waiting.
    std::condition_variable m_settled;
    std::shared_ptr<const http::response_message> m_answer;
};

// How the first use of a key or a resend of it is to be treated.
enum class begin_status {
    isNew, // The caller of begin() is responsible for the entry's outcome.
    exists, // A resend; the entry tells its state.
    otherRequest, // The key was used for a different request before.
    expired, // The key's window is over, so its history may be gone.
    full, // There is no memory for a further key; the request was not run.
};

// What begin() found; `entry` is set for isNew and exists.
struct begin_result {
    begin_status status;
    std::shared_ptr<key_entry> entry;
};

// Options of a ledger.
struct ledger_options {
    std::size_t maxEntries = 200'000;
    std::chrono::milliseconds windowLength = defaultWindowLength;
};

// One key and its settled outcome, as it is handed to a successor.
struct settled_key {
    std::string key;
    key_state state = key_state::undetermined;
    std::uint64_t requestHash = 0;
    std::shared_ptr<const http::response_message> answer;
};

// All keys of this incarnation. Thread safe.
class key_ledger {
public:
    // `start` and `wallStart` are one reading of both clocks.
    key_ledger(std::string incarnation, ledger_options options, steady_clock::time_point start,
        wall_deadline wallStart);

    // Returns the window whose prefix is given out at `now`; keys with it are accepted for one more window.
    key_window windowAt(steady_clock::time_point now) const;

    // Looks a key up and creates its entry when it is new. `key` must name this incarnation.
    begin_result begin(std::string_view key, std::uint64_t requestHash, steady_clock::time_point now);

    // Answers a question about a key from elsewhere. A key that was never seen is cancelled on the spot, so
    // that a late first sending cannot run any more (rule K3). Returns a null entry where nothing can be
    // told.
    std::shared_ptr<key_entry> resolve(std::string_view key, steady_clock::time_point now);

    // Returns the entry of a key without changing anything, or a null pointer.
    std::shared_ptr<key_entry> peek(std::string_view key);

    // Drops keys whose windows have ended long enough ago (rule K4). Returns how many.
    std::size_t dropExpired(steady_clock::time_point now);

    // Refuses all new keys from now on and returns every key. Keys still in flight count as undetermined.
    std::vector<settled_key> close();

    // Returns the number of keys held.
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
