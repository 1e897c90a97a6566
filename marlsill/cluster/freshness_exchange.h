#pragma once

// Keeps a VM's configuration_freshness up to date: asks the VMs that watch the store how recent their
// configuration is, answers such queries, and reads the store itself if nobody can tell.
//
//     freshness_exchange exchange(freshness, {}, actions);
//     exchange.setConfiguration(version, hasAccounts, now);
//     exchange.handleMessage(message, now);
//     exchange.tick(now); // Once per `tickInterval`.
//     if (!exchange.areKeysValid(now))
//         refuse();
//
// A query has a random number, and its time is kept. An answer names the number and the age of the answering
// VM's point. The point here is the time of the query less that age: the answer is made after the query, so
// that the sum of ages is never too small, over any number of hops and however long datagrams take. Where the
// revocation bound is 0 or the configuration has no accounts, nothing is sent and keys are always valid. Does
// no I/O; times are passed in. Not thread safe.

#include "marlsill/accounts/configuration_freshness.h"
#include "marlsill/cluster/peer_message.h"

#include <array>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace marlsill::cluster {

// Settings of a freshness exchange.
struct freshness_exchange_options {
    std::chrono::milliseconds tickInterval { 50 };
    // Age of the point from which a VM queries others. A watcher's own point is 0.5 to 1 s old.
    std::chrono::milliseconds queryAge { 750 };
    // The same for a VM that watches the store, whose next response renews its point anyway.
    std::chrono::milliseconds watcherQueryAge { 1'500 };
    std::chrono::milliseconds queryInterval { 500 }; // Between queries while they are answered.
    std::chrono::milliseconds responseTimeout { 250 }; // Then another VM is asked.
    // Queries in a row without use until the next ones are sent once per `queryInterval` as well.
    int maxQuickRetries = 3;
    // An answer whose point is older than this, or that leaves the VM's point older, is of no use, and
    // another VM is asked next.
    std::chrono::milliseconds maxUsefulAge { 2'000 };
    // How long a VM that answered is asked in place of a watcher of the failure domain, before one of these
    // is asked again. With 5 s, VMs that
    // started together went on to ask watchers of other domains, the busiest of which had a tenth more to do.
    std::chrono::milliseconds preferenceDuration { 2'000 };
    // The store is read if the keys expire within this time and this many queries in a row were of no use.
    std::chrono::milliseconds readMargin { 1'500 };
    int minMissesToRead = 2;
    std::chrono::milliseconds readInterval { 500 }; // Between reads, with up to half of it in addition.
    // Doubles with each read without a result up to this, as all VMs read while the store is away.
    std::chrono::milliseconds maxReadInterval { 2'000 };
    // How long keys must have been invalid until other VMs are told, as an answer may be under way.
    std::chrono::milliseconds announcementDelay { 300 };
    // Other VMs are told within this long for each of them, as all VMs may have something to tell at once: at
    // 2,600 VMs each then gets about 1,000 datagrams a second in place of 2,600 at once.
    std::chrono::milliseconds announcementSpread { 1 };
};

// Callbacks of an exchange, all called from its event loop; all must be set.
struct freshness_exchange_actions {
    std::function<void(const std::string& host, const peer_message&)> send;
    // Reads the configuration from the store in one call. The result comes by noteStorePoint().
    std::function<void()> readStore;
    // Other VMs that watch the store: those of this VM's failure domain, and all.
    std::function<std::span<const std::string>()> watchersOfDomain;
    std::function<std::span<const std::string>()> watchers;
    // All other VMs that are reachable; called when watchers did not answer and when validity changes.
    std::function<std::vector<std::string>()> reachableHosts;
    std::function<bool()> isWatching; // Whether this VM watches the store.
    // Keys have become valid or invalid; `age` is that of the point, if there is one.
    std::function<void(
        bool areValid, std::optional<std::chrono::milliseconds> age, accounts::freshness_source source)>
        onValidityChanged;
    // Tells other VMs whether they should send callers elsewhere, because keys have been invalid for a while.
    std::function<void(bool hasStaleKeys)> announce;
    std::function<void(bool isActive)> onActivityChanged; // Whether freshness matters; see isActive().
    std::function<std::uint64_t()> random;
};

class freshness_exchange {
public:
    using time_point = boot_clock::time_point;

    freshness_exchange(accounts::configuration_freshness& freshness, freshness_exchange_options options,
        freshness_exchange_actions actions);

    // Records the configuration that is in force from now on.
    void setConfiguration(std::uint64_t version, bool hasAccounts, time_point now);

    // Records that the configuration holds every change that the store acknowledged before `point`, by a
    // response of the store to a call that was sent then and whose content has been applied.
    void noteStorePoint(time_point point, time_point now);

    // Handles the parts of a peer's message that concern freshness.
    void handleMessage(const peer_message& message, time_point now);

    // Sends what is due. Call once per `tickInterval`.
    void tick(time_point now);

    // Returns whether the bound is set and the configuration in force has accounts.
    bool isActive() const { return m_isActive; }

    // Returns whether keys may be accepted, or requests with keys be sent, at `now`.
    bool areKeysValid(time_point now) const { return !m_isActive || m_freshness.areKeysValid(now); }

private:
    struct open_query {
        std::uint64_t number = 0; // 0: none.
        std::string host;
        time_point sentAt;
    };

    void applyAnswer(const freshness_answer& answer, time_point now);
    void notePreference(const open_query& answered, time_point now);
    void sendQuery(time_point now);
    std::string chooseHost(time_point now);
    std::string chooseFrom(std::span<const std::string> hosts);
    bool isOlderThan(std::chrono::milliseconds age, time_point now) const;
    void readStoreIfNeeded(time_point now);
    void updateValidity(time_point now);

    accounts::configuration_freshness& m_freshness;
    const freshness_exchange_options m_options;
    const freshness_exchange_actions m_actions;
    bool m_isActive = false;
    bool m_areValid = true; // As last reported.
    bool m_isAnnouncedStale = false;
    time_point m_announceAt {}; // Of the last change; see `announcementSpread`.
    std::array<open_query, 16> m_queries {}; // The latest; a late answer is still of use.
    std::size_t m_nextQuerySlot = 0;
    std::uint64_t m_lastQuery = 0; // Number of the last query; 0 once it has been answered.
    std::string m_lastHost;
    time_point m_lastQueryAt {};
    int m_misses = 0; // Queries in a row without use.
    std::string m_preferredHost; // Answered, other than a watcher of the failure domain.
    time_point m_preferredUntil {};
    time_point m_nextRead {};
    std::chrono::milliseconds m_readInterval;
};

}
