// Configuration distribution of the fleet: bootstrap of a new VM, the platform watch, and fetches from peers.

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

    constexpr std::chrono::milliseconds callTimeout { 3'000 };
    constexpr std::chrono::milliseconds loadTimeout { 30'000 };
    constexpr std::chrono::milliseconds peerRequestTimeout { 1'000 };
    constexpr std::chrono::milliseconds watchTimeout { 10'000 };
    constexpr std::chrono::milliseconds missingHeadRetryDelay { 200 };
    constexpr std::chrono::milliseconds watcherRoleCheckInterval { 1'000 };
    constexpr std::chrono::milliseconds seedRefreshInterval { 5'000 };
    constexpr std::size_t maxBootstrapPeers = 6;
    constexpr std::size_t maxBlobsPerRequest = 64;

    void sleepUntil(deadline limit, const std::stop_token& stop)
    {
        while (!stop.stop_requested() && !hasPassed(limit, steady_clock::now())) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

}

void fleet::bootstrap(const std::stop_token& stop)
{
    platform::backoff retryBackoff({ std::chrono::milliseconds(100), std::chrono::milliseconds(3'000) });
    while (!stop.stop_requested()) {
        reason why;
        auto peers = findPeers(why);
        m_controlThread.post([this, peers] { m_membership.addSeeds(peers); });
        if (!m_isReady && adoptNewestConfiguration(peers)) {
            m_isReady = true;
            m_controlThread.post([this] {
                m_dependencies.setReady(m_tree.head().generation > 0);
                if (!m_isLeaving) {
                    m_membership.setOwnState(member_state::alive);
                }
            });
        }
        bool isAlone = members()->all.size() <= 1;
        sleepUntil(m_isReady && !isAlone ? deadlineAfter(seedRefreshInterval)
                                         : retryBackoff.nextTry(steady_clock::now(), threadRandom()),
            stop);
    }
}

std::vector<std::string> fleet::findPeers(reason& why)
{
    auto peers = m_options.seeds;
    bool needsPlatform = !m_isReady || m_isWatcher || members()->all.size() <= 1;
    if (needsPlatform) {
        auto vms = m_dependencies.platform.listVms(deadlineAfter(callTimeout), why);
        setPlatformAvailability(vms.has_value(), why.text);
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

// Loads the newest configuration that the platform or a peer has. A new VM must not serve with an older one,
// so while the platform is unavailable, this fails unless peers in two failure domains have answered. Blobs
// are fetched from peers where possible, because the thousands of reads that each new VM needs would exhaust
// the platform's rate limit.
bool fleet::adoptNewestConfiguration(const std::vector<std::string>& peerAddresses)
{
    reason why;
    auto stored = m_dependencies.platform.read(config::headObject, deadlineAfter(callTimeout), why);
    bool isPlatformReachable = stored || why.code == reason_code::notFound;
    auto platformHead = stored ? config::parseHead(stored->value, why) : std::nullopt;
    auto newest = *m_dependencies.sharedTree.get();
    std::set<std::string> answeringDomains;
    std::size_t requestedPeers = 0;
    for (const auto& address : peerAddresses) {
        bool isUpToDate = platformHead && newest.head().generation >= platformHead->generation;
        if (++requestedPeers > maxBootstrapPeers || isUpToDate) {
            break;
        }
        auto head = requestHead(address);
        if (!head) {
            continue;
        }
        for (const auto& record : members()->all) {
            if (record.peerAddress == address && record.state == member_state::alive) {
                answeringDomains.insert(record.failureDomain);
            }
        }
        if (head->generation > newest.head().generation) {
            if (auto loaded = loadFromPeer(address, *head, why)) {
                newest = std::move(*loaded);
            }
        }
    }
    if (platformHead && newest.head().generation < platformHead->generation) {
        auto loaded = m_repository.load(newest, *stored, deadlineAfter(loadTimeout), why);
        if (!loaded) {
            return false;
        }
        newest = std::move(*loaded);
    }
    if (!isPlatformReachable && answeringDomains.size() < 2) {
        return false;
    }
    m_controlThread.post([this, tree = std::move(newest)]() mutable { applyTree(std::move(tree)); });
    return true;
}

std::optional<config::config_head> fleet::requestHead(const std::string& peerAddress)
{
    auto reply = m_peers.ask(peerAddress, peer::config_head_request {}, deadlineAfter(peerRequestTimeout));
    const auto* text = reply ? std::get_if<peer::config_head_reply>(&*reply) : nullptr;
    reason why;
    return text ? config::parseHead(text->head, why) : std::nullopt;
}

std::optional<config::config_tree> fleet::loadFromPeer(
    const std::string& peerAddress, const config::config_head& head, reason& why)
{
    auto fetch = [&](const std::vector<std::string>& hashes) {
        std::map<std::string, std::string> blobs;
        for (std::size_t start = 0; start < hashes.size(); start += maxBlobsPerRequest) {
            auto end = std::min(start + maxBlobsPerRequest, hashes.size());
            peer::config_blob_request request { { hashes.begin() + static_cast<std::ptrdiff_t>(start),
                hashes.begin() + static_cast<std::ptrdiff_t>(end) } };
            auto reply = m_peers.ask(peerAddress, std::move(request), deadlineAfter(callTimeout));
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
    return m_dependencies.sharedTree.get()->advancedTo(head, fetch, why);
}

void fleet::fetchTreeFromPeer(const std::string& peerAddress, std::int64_t generation)
{
    if (m_isFetchingTree.exchange(true)) {
        return; // The next announcement or digest triggers the fetch again.
    }
    bool isPosted = m_blockingTasks.post([this, peerAddress, generation] {
        reason why;
        auto head = requestHead(peerAddress);
        auto tree = head ? loadFromPeer(peerAddress, *head, why) : std::nullopt;
        m_isFetchingTree = false;
        if (tree) {
            m_controlThread.post([this, next = std::move(*tree)]() mutable { applyTree(std::move(next)); });
        } else if (head && head->generation >= generation && why.code != reason_code::conflict) {
            logEvent(event::configurationFetchFailed, { { "peer", peerAddress }, { "cause", why.text } });
        }
    });
    if (!isPosted) {
        m_isFetchingTree = false;
    }
}

void fleet::watchPlatform(const std::stop_token& stop)
{
    platform::backoff retryBackoff;
    platform::object_version seenVersion = platform::noVersion;
    while (!stop.stop_requested()) {
        auto view = members();
        std::vector<member_record> presentMembers;
        std::copy_if(
            view->all.begin(), view->all.end(), std::back_inserter(presentMembers), [](const auto& record) {
                return record.state == member_state::alive || record.state == member_state::suspected;
            });
        m_isWatcher = membership::isWatcher(m_self, presentMembers, m_options.watchersPerRegion);
        if (!m_isWatcher) {
            sleepUntil(deadlineAfter(watcherRoleCheckInterval), stop);
        } else if (watchHeadOnce(seenVersion)) {
            retryBackoff.reset();
        } else {
            sleepUntil(retryBackoff.nextTry(steady_clock::now(), threadRandom()), stop);
        }
    }
}

bool fleet::watchHeadOnce(platform::object_version& seenVersion)
{
    reason why;
    auto stored
        = m_dependencies.platform.watch(config::headObject, seenVersion, deadlineAfter(watchTimeout), why);
    if (!stored) {
        bool isUnchanged = why.code == reason_code::timeout || why.code == reason_code::notFound;
        setPlatformAvailability(isUnchanged, why.text);
        if (why.code == reason_code::notFound) {
            std::this_thread::sleep_for(missingHeadRetryDelay);
        }
        return isUnchanged;
    }
    setPlatformAvailability(true, "");
    auto next = m_repository.load(*m_dependencies.sharedTree.get(), *stored, deadlineAfter(loadTimeout), why);
    if (next) {
        m_controlThread.post([this, tree = std::move(*next)]() mutable { applyTree(std::move(tree)); });
    }
    bool isHandled = next || why.code == reason_code::conflict;
    if (isHandled) {
        seenVersion = stored->version;
    } else {
        logEvent(event::configurationFetchFailed, { { "cause", why.text } });
    }
    return isHandled;
}

void fleet::setPlatformAvailability(bool isAvailable, const std::string& cause)
{
    bool wasAway = m_isPlatformUnavailable.exchange(!isAvailable);
    if (isAvailable && wasAway) {
        logEvent(event::platformAvailable, {});
    } else if (!isAvailable && !wasAway) {
        logEvent(event::platformUnavailable, { { "cause", cause } });
    }
}

}
