// How a VM gets the configuration in force: when it is fresh, from the platform, and from peers.

#include "marlsill/base/random.h"
#include "marlsill/entry/fleet.h"
#include "marlsill/events/events.h"

#include <algorithm>
#include <set>
#include <thread>

namespace marlsill::entry {

namespace {

    using membership::member_record;
    using membership::member_state;

    constexpr std::chrono::milliseconds callLength { 3'000 };
    constexpr std::chrono::milliseconds submitLength { 30'000 };
    constexpr std::chrono::milliseconds askLength { 1'000 };
    constexpr std::chrono::milliseconds watchLength { 10'000 };
    constexpr std::chrono::milliseconds noHeadPause { 200 };
    constexpr std::chrono::milliseconds roleCheckPause { 1'000 };
    constexpr std::chrono::milliseconds seedPause { 5'000 };
    constexpr std::size_t bootstrapPeers = 6;
    constexpr std::size_t blobsPerRequest = 64;

    void sleepUntil(deadline limit, const std::stop_token& stop)
    {
        while (!stop.stop_requested() && !hasPassed(limit, steady_clock::now())) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

}

void fleet::bootstrap(const std::stop_token& stop)
{
    platform::backoff pauses({ std::chrono::milliseconds(100), std::chrono::milliseconds(3'000) });
    while (!stop.stop_requested()) {
        reason why;
        auto peers = knownPeers(why);
        m_control.post([this, peers] { m_membership.addSeeds(peers); });
        if (!m_isReady && adoptHighest(peers)) {
            m_isReady = true;
            m_control.post([this] {
                m_parts.setReady(m_tree.head().generation > 0);
                if (!m_isLeaving) {
                    m_membership.setOwnState(member_state::alive);
                }
            });
        }
        bool isAlone = members()->all.size() <= 1;
        sleepUntil(m_isReady && !isAlone ? deadlineAfter(seedPause)
                                         : pauses.nextTry(steady_clock::now(), threadRandom()),
            stop);
    }
}

std::vector<std::string> fleet::knownPeers(reason& why)
{
    auto peers = m_options.seeds;
    bool needsPlatform = !m_isReady || m_isWatcher || members()->all.size() <= 1;
    if (needsPlatform) {
        auto vms = m_parts.platform.listVms(deadlineAfter(callLength), why);
        notePlatform(vms.has_value(), why.text);
        for (const auto& each : vms.value_or(std::vector<platform::vm_entry>())) {
            if (!each.isLeaving && !each.peerAddress.empty()) {
                peers.push_back(each.peerAddress);
            }
        }
    }
    std::erase(peers, m_peers.address());
    std::shuffle(peers.begin(), peers.end(), threadRandom());
    return peers;
}

// A fresh VM serves only with the configuration in force: the highest of what the platform and peers have.
// While the platform is away, peers in two failure domains have to answer. Blobs come from peers where they
// can, as thousands of reads for each fresh VM would use up the platform's rate.
bool fleet::adoptHighest(const std::vector<std::string>& peerAddresses)
{
    reason why;
    auto stored = m_parts.platform.read(config::headObject, deadlineAfter(callLength), why);
    bool hasPlatform = stored || why.code == reason_code::notFound;
    auto platformHead = stored ? config::parseHead(stored->value, why) : std::nullopt;
    auto best = *m_parts.tree.get();
    std::set<std::string> domains;
    std::size_t asked = 0;
    for (const auto& address : peerAddresses) {
        bool isCurrent = platformHead && best.head().generation >= platformHead->generation;
        if (++asked > bootstrapPeers || isCurrent) {
            break;
        }
        auto head = askHead(address);
        if (!head) {
            continue;
        }
        for (const auto& record : members()->all) {
            if (record.peerAddress == address && record.state == member_state::alive) {
                domains.insert(record.failureDomain);
            }
        }
        if (head->generation > best.head().generation) {
            if (auto loaded = loadFromPeer(address, *head, why)) {
                best = std::move(*loaded);
            }
        }
    }
    if (platformHead && best.head().generation < platformHead->generation) {
        auto loaded = m_repository.load(best, *stored, deadlineAfter(submitLength), why);
        if (!loaded) {
            return false;
        }
        best = std::move(*loaded);
    }
    if (!hasPlatform && domains.size() < 2) {
        return false;
    }
    m_control.post([this, tree = std::move(best)]() mutable { applyTree(std::move(tree)); });
    return true;
}

std::optional<config::config_head> fleet::askHead(const std::string& peerAddress)
{
    auto reply = m_peers.ask(peerAddress, peer::config_head_request {}, deadlineAfter(askLength));
    const auto* text = reply ? std::get_if<peer::config_head_reply>(&*reply) : nullptr;
    reason why;
    return text ? config::parseHead(text->head, why) : std::nullopt;
}

std::optional<config::config_tree> fleet::loadFromPeer(
    const std::string& peerAddress, const config::config_head& head, reason& why)
{
    auto fetch = [&](const std::vector<std::string>& hashes) {
        std::map<std::string, std::string> blobs;
        for (std::size_t start = 0; start < hashes.size(); start += blobsPerRequest) {
            auto end = std::min(start + blobsPerRequest, hashes.size());
            peer::config_blob_request request { { hashes.begin() + static_cast<std::ptrdiff_t>(start),
                hashes.begin() + static_cast<std::ptrdiff_t>(end) } };
            auto reply = m_peers.ask(peerAddress, std::move(request), deadlineAfter(callLength));
            const auto* received = reply ? std::get_if<peer::config_blob_reply>(&*reply) : nullptr;
            if (!received) {
                break;
            }
            for (const auto& blob : received->blobs) {
                blobs[config::hashOfBlob(blob)] = blob;
            }
        }
        return blobs;
    };
    return m_parts.tree.get()->advancedTo(head, fetch, why);
}

void fleet::fetchFromPeer(const std::string& peerAddress, std::int64_t generation)
{
    if (m_isFetching.exchange(true)) {
        return; // The next announcement or digest asks again.
    }
    bool isPosted = m_blockingTasks.post([this, peerAddress, generation] {
        reason why;
        auto head = askHead(peerAddress);
        auto tree = head ? loadFromPeer(peerAddress, *head, why) : std::nullopt;
        m_isFetching = false;
        if (tree) {
            m_control.post([this, next = std::move(*tree)]() mutable { applyTree(std::move(next)); });
        } else if (head && head->generation >= generation && why.code != reason_code::conflict) {
            logEvent(event::configurationFetchFailed, { { "peer", peerAddress }, { "cause", why.text } });
        }
    });
    if (!isPosted) {
        m_isFetching = false;
    }
}

void fleet::watchPlatform(const std::stop_token& stop)
{
    platform::backoff pauses;
    platform::object_version seen = platform::noVersion;
    while (!stop.stop_requested()) {
        auto view = members();
        std::vector<member_record> present;
        std::copy_if(view->all.begin(), view->all.end(), std::back_inserter(present), [](const auto& record) {
            return record.state == member_state::alive || record.state == member_state::suspected;
        });
        m_isWatcher = membership::isWatcher(m_self, present, m_options.watchersPerRegion);
        if (!m_isWatcher) {
            sleepUntil(deadlineAfter(roleCheckPause), stop);
        } else if (watchOnce(seen)) {
            pauses.reset();
        } else {
            sleepUntil(pauses.nextTry(steady_clock::now(), threadRandom()), stop);
        }
    }
}

bool fleet::watchOnce(platform::object_version& seen)
{
    reason why;
    auto stored = m_parts.platform.watch(config::headObject, seen, deadlineAfter(watchLength), why);
    if (!stored) {
        bool isQuiet = why.code == reason_code::timeout || why.code == reason_code::notFound;
        notePlatform(isQuiet, why.text);
        if (why.code == reason_code::notFound) {
            std::this_thread::sleep_for(noHeadPause);
        }
        return isQuiet;
    }
    notePlatform(true, "");
    auto next = m_repository.load(*m_parts.tree.get(), *stored, deadlineAfter(submitLength), why);
    if (next) {
        m_control.post([this, tree = std::move(*next)]() mutable { applyTree(std::move(tree)); });
    }
    bool isSeen = next || why.code == reason_code::conflict;
    if (isSeen) {
        seen = stored->version;
    } else {
        logEvent(event::configurationFetchFailed, { { "cause", why.text } });
    }
    return isSeen;
}

void fleet::notePlatform(bool isAvailable, const std::string& cause)
{
    bool wasAway = m_isPlatformAway.exchange(!isAvailable);
    if (isAvailable && wasAway) {
        logEvent(event::platformAvailable, {});
    } else if (!isAvailable && !wasAway) {
        logEvent(event::platformUnavailable, { { "cause", cause } });
    }
}

}
