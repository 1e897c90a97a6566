#include "marlsill/placement/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace marlsill::placement {

namespace {

    constexpr double latencyWeight = 0.2; // Of the newest sample in a smoothed latency.
    constexpr double comfortableShare = 0.67; // Of the slots; some upstreams slow down when nearly full.
    constexpr double coldShare = 0.34; // Of the slots while an upstream warms up.
    constexpr double slowFactor = 2.0; // Of the service's latency, from which an upstream counts as slow.
    constexpr int minimumSamples = 3; // Before a latency says anything.
    constexpr double strikeGrowth = 0.5; // Of the hold time, for each failed trial.
    constexpr int maxStrikes = 3;
    constexpr std::chrono::milliseconds lossWindow { 2'000 }; // As the capacity floor counts.
    constexpr std::chrono::milliseconds rateWindow {
        10'000
    }; // One VM alone sees only a few requests a second.
    constexpr std::chrono::milliseconds refusalMemory { 1'000 };
    constexpr int minimumOutcomes = 8; // Below, a share says little.
    constexpr std::chrono::milliseconds repeatableRecent {
        1'000
    }; // A trial waits this long for a request that may be repeated.
    constexpr int overcommit = 1; // Requests beyond the slots, as the known work lags a little.

    double smooth(double old, double sample)
    {
        return old == 0 ? sample : old + latencyWeight * (sample - old);
    }

    double toMilliseconds(steady_clock::duration length)
    {
        return std::chrono::duration<double, std::milli>(length).count();
    }

}

struct load_balancer::record {
    struct peer_load {
        int inFlight = 0;
        deadline validUntil;
    };

    upstream_entry entry;
    int inFlight = 0;
    std::multiset<steady_clock::time_point> started; // Of own attempts in work.
    std::map<std::string, peer_load, std::less<>> peers;
    double latencyMs = 0;
    int samples = 0;
    bool isExcluded = false;
    int strikes = 0; // Failures in a row, trials included.
    int proofsLeft = 0; // Trials that must succeed before it is readmitted.
    int probationLeft = 0; // Successes until it gets its full share.
    double trialPlace = 0; // Of this VM among those that may begin the next trial, 0 to 1.
    deadline excludedUntil {};
    deadline trialUntil {};
    steady_clock::time_point excludedSince {};
    steady_clock::time_point lastTried {};
    steady_clock::time_point refusedAt {};
    steady_clock::time_point errorAtWorkAt {};
    bool hasChangedLoad = false;
};

struct load_balancer::service_record {
    struct outcome {
        steady_clock::time_point at;
        bool isServed = false;
        bool isPeers = false;
    };

    std::vector<record*> upstreams; // That are not leaving.
    double latencyMs = 0;
    std::deque<outcome> outcomes;
    steady_clock::time_point lastRepeatable {};
};

load_balancer::load_balancer(load_balancer_options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

load_balancer::~load_balancer() = default;

load_balancer::load_balancer(load_balancer&& other) noexcept = default;

void load_balancer::replaceUpstreams(std::span<const upstream_entry> upstreams, steady_clock::time_point now)
{
    decltype(m_records) kept;
    for (auto& each : m_services) {
        each.second->upstreams.clear();
    }
    for (const auto& entry : upstreams) {
        auto found = m_records.find(entry.id);
        bool isSameLife = found != m_records.end()
            && found->second->entry.startedUnixMs == entry.startedUnixMs
            && found->second->entry.service == entry.service;
        auto current = isSameLife ? std::move(found->second) : std::make_unique<record>();
        if (!isSameLife) {
            current->lastTried = now;
        }
        current->entry = entry;
        if (!entry.isLeaving) {
            auto& service = m_services[entry.service];
            if (!service) {
                service = std::make_unique<service_record>();
            }
            service->upstreams.push_back(current.get());
        }
        kept[entry.id] = std::move(current);
    }
    m_records = std::move(kept);
}

load_balancer::record* load_balancer::findRecord(std::string_view upstream) const
{
    auto found = m_records.find(upstream);
    return found == m_records.end() ? nullptr : found->second.get();
}

const upstream_entry* load_balancer::find(std::string_view upstream) const
{
    auto* found = findRecord(upstream);
    return found ? &found->entry : nullptr;
}

bool load_balancer::isExcluded(const record& each, steady_clock::time_point) const { return each.isExcluded; }

bool load_balancer::isTrialDue(const record& each, steady_clock::time_point now) const
{
    return each.isExcluded && hasPassed(each.excludedUntil + trialDelay(each), now)
        && hasPassed(each.trialUntil, now);
}

// Returns how long this VM leaves a trial that is due to others.
std::chrono::milliseconds load_balancer::trialDelay(const record& each) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(each.trialPlace * m_options.trialSpread);
}

int load_balancer::inFlightAt(const record& each, steady_clock::time_point now) const
{
    int sum = each.inFlight;
    for (const auto& [peer, load] : each.peers) {
        sum += hasPassed(load.validUntil, now) ? 0 : load.inFlight;
    }
    return sum;
}

// Returns how many of a service's upstreams may go without any request.
int load_balancer::allowedUntried(const service_record& service, steady_clock::time_point now) const
{
    auto count = static_cast<double>(service.upstreams.size());
    if (lossShare(service, now) < m_options.calmLossShare) {
        return static_cast<int>(m_options.maxUntriedShareCalm * count);
    }
    auto byFloor = static_cast<int>((1 - m_options.floorShare) * count);
    return std::max(
        static_cast<int>(m_options.maxUntriedShare * count), std::min(m_options.minUntried, byFloor));
}

load_balancer::record* load_balancer::longestUntried(
    service_record& service, std::span<const std::string> tried, steady_clock::time_point now) const
{
    record* oldest = nullptr;
    int untried = 0;
    for (auto* each : service.upstreams) {
        bool isUntried = each->isExcluded
            && each->lastTried + m_options.untriedAfter + trialDelay(*each) < now
            && hasPassed(each->trialUntil, now);
        if (!isUntried) {
            continue;
        }
        ++untried;
        bool isNew = std::find(tried.begin(), tried.end(), each->entry.id) == tried.end();
        if (isNew && (!oldest || each->lastTried < oldest->lastTried)) {
            oldest = each;
        }
    }
    return untried > allowedUntried(service, now) ? oldest : nullptr;
}

double load_balancer::lossShare(const service_record& service, steady_clock::time_point now) const
{
    double lost = 0;
    double own = 0;
    auto first = now - lossWindow;
    for (const auto& each : service.outcomes) {
        lost += !each.isServed && each.at + lossWindow >= now ? 1 : 0;
        own += each.isPeers ? 0 : 1;
        first = std::min(first, each.at);
    }
    auto ownInWindow = own * toMilliseconds(lossWindow) / toMilliseconds(now - first);
    return lost / std::max<double>(minimumOutcomes, ownInWindow * m_sharers);
}

void load_balancer::recordOutcome(std::string_view service, bool isServed, steady_clock::time_point now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    auto& outcomes = found->second->outcomes;
    outcomes.push_back({ now, isServed, false });
    while (outcomes.front().at + rateWindow < now) {
        outcomes.pop_front();
    }
}

choice load_balancer::choose(const choice_request& request, steady_clock::time_point now)
{
    auto found = m_services.find(request.service);
    if (found == m_services.end() || found->second->upstreams.empty()) {
        return {};
    }
    auto& service = *found->second;
    bool isRetry = !request.tried.empty();
    auto* forced = isRetry ? nullptr : longestUntried(service, request.tried, now);
    if (forced) {
        return { choice_status::chosen, &forced->entry, true, inFlightAt(*forced, now) };
    }
    bool isRiskFree = !request.isAtMostOnce && request.canBeRetried;
    if (isRiskFree) {
        service.lastRepeatable = now;
    }
    bool leavesTrials = isRetry || (!isRiskFree && service.lastRepeatable + repeatableRecent > now);
    struct candidate {
        record* upstream = nullptr;
        int tier = 0; // Lower is better.
        double load = 0;
    };
    std::optional<candidate> best;
    record* trial = nullptr;
    record* leastBad = nullptr; // Of the excluded ones, for when there is no other.
    bool hasUsable = false;
    bool hasSound = false;
    std::shuffle(service.upstreams.begin(), service.upstreams.end(), m_random);
    for (auto* each : service.upstreams) {
        if (std::find(request.tried.begin(), request.tried.end(), each->entry.id) != request.tried.end()) {
            continue;
        }
        hasUsable = true;
        int inFlight = inFlightAt(*each, now);
        if (each->isExcluded) {
            bool isFirst = !trial || each->excludedUntil < trial->excludedUntil;
            if (isTrialDue(*each, now) && isFirst && !leavesTrials) {
                trial = each;
            }
            if (inFlight < each->entry.slots
                && (!leastBad || each->excludedUntil < leastBad->excludedUntil)) {
                leastBad = each;
            }
            continue;
        }
        hasSound = true;
        double slots = std::max(1, each->entry.slots);
        bool isWarm = hasPassed(each->entry.warmUpUntil, now);
        bool isSlow = each->samples >= minimumSamples && service.latencyMs > 0
            && each->latencyMs > slowFactor * service.latencyMs;
        double comfortable = std::max(1.0, std::round(slots * (isWarm ? comfortableShare : coldShare)));
        if (each->probationLeft > 0) {
            comfortable = 1;
        }
        bool isLocal = each->entry.failureDomain == m_options.failureDomain;
        if (inFlight >= slots + overcommit) {
            continue;
        }
        int tier = 0;
        if (inFlight + 1 <= comfortable) {
            tier = isLocal ? 0 : 1;
        } else {
            tier = inFlight + 1 <= slots ? 2 : 4;
        }
        if (isSlow) {
            tier = std::max(tier, 3);
        }
        candidate current { each, tier, inFlight / slots };
        if (!best || current.tier < best->tier || (current.tier == best->tier && current.load < best->load)) {
            best = current;
        }
    }
    if (trial) {
        return { choice_status::chosen, &trial->entry, true, inFlightAt(*trial, now) };
    }
    if (best) {
        return { choice_status::chosen, &best->upstream->entry, false, inFlightAt(*best->upstream, now) };
    }
    bool takesDoubtful = !hasSound || request.mayUseExcluded;
    if (leastBad && takesDoubtful) {
        return { choice_status::chosen, &leastBad->entry, true, inFlightAt(*leastBad, now) };
    }
    return { hasUsable ? choice_status::allBusy : choice_status::noneUsable };
}

void load_balancer::startAttempt(std::string_view upstream, bool isTrial, steady_clock::time_point now)
{
    auto* found = findRecord(upstream);
    if (!found) {
        return;
    }
    ++found->inFlight;
    found->started.insert(now);
    found->lastTried = now;
    found->hasChangedLoad = true;
    if (isTrial) {
        found->trialUntil = now + m_options.trialLength;
    }
}

void load_balancer::exclude(record& each, std::chrono::milliseconds hold, steady_clock::time_point now)
{
    if (!each.isExcluded) {
        each.excludedSince = now;
    }
    each.isExcluded = true;
    each.excludedUntil = std::max(each.excludedUntil, now + hold);
    each.trialUntil = now;
    each.trialPlace = std::uniform_real_distribution<>()(m_random);
}

void load_balancer::strike(record& each, bool isAtMostOnce, steady_clock::time_point now)
{
    each.strikes = std::min(each.strikes + 1, maxStrikes);
    each.proofsLeft = m_options.proofs;
    each.probationLeft = m_options.probation;
    auto base = isAtMostOnce ? m_options.exclusionAtMostOnce : m_options.holdRepeatable;
    double factor = 1 + strikeGrowth * (each.strikes - 1);
    exclude(each,
        std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor)),
        now);
}

// Notes an error after work. Returns whether it was the second within a short time, which excludes.
bool load_balancer::noteErrorAtWork(record& each, bool isAtMostOnce, steady_clock::time_point now)
{
    bool isSecond = each.errorAtWorkAt + m_options.errorMemory > now;
    each.errorAtWorkAt = now;
    if (isSecond) {
        strike(each, isAtMostOnce, now);
    }
    return isSecond;
}

// Makes the next trial due here at once; the peers leave it to this VM.
void load_balancer::continueTrial(record& each, steady_clock::time_point now)
{
    each.excludedUntil = now;
    each.trialUntil = now;
    each.trialPlace = 0;
}

void load_balancer::readmit(record& each)
{
    each.isExcluded = false;
    each.excludedUntil = {};
    each.trialUntil = {};
}

// Returns whether so many upstreams of the service refuse work that excluding one would not help.
bool load_balancer::isRefusingCommon(const record& each, steady_clock::time_point now) const
{
    auto service = m_services.find(each.entry.service);
    if (service == m_services.end()) {
        return false;
    }
    const auto& upstreams = service->second->upstreams;
    auto refusing = std::count_if(upstreams.begin(), upstreams.end(),
        [&](const record* other) { return other->refusedAt + refusalMemory > now; });
    return static_cast<double>(refusing) > m_options.commonCauseShare * static_cast<double>(upstreams.size());
}

std::optional<upstream_evidence> load_balancer::finishAttempt(std::string_view upstream,
    health_signal verdict, steady_clock::duration elapsed, steady_clock::time_point started,
    bool isAtMostOnce, steady_clock::time_point now)
{
    auto* found = findRecord(upstream);
    if (!found) {
        return std::nullopt;
    }
    found->inFlight = std::max(0, found->inFlight - 1);
    found->hasChangedLoad = true;
    if (auto own = found->started.find(started); own != found->started.end()) {
        found->started.erase(own);
    }
    upstream_evidence evidence { std::string(upstream) };
    switch (verdict) {
    case health_signal::succeeded: {
        double sample = toMilliseconds(elapsed);
        found->latencyMs = smooth(found->latencyMs, sample);
        ++found->samples;
        if (auto service = m_services.find(found->entry.service); service != m_services.end()) {
            service->second->latencyMs = smooth(service->second->latencyMs, sample);
        }
        if (found->isExcluded && started < found->excludedSince) {
            return std::nullopt; // It began before the failure.
        }
        found->probationLeft = std::max(0, found->probationLeft - 1);
        found->strikes = found->probationLeft == 0 ? 0 : found->strikes;
        if (!found->isExcluded) {
            return std::nullopt;
        }
        if (--found->proofsLeft > 0) {
            continueTrial(*found, now);
            evidence.kind = evidence_kind::probe;
            return evidence;
        }
        readmit(*found);
        evidence.kind = evidence_kind::recovered;
        return evidence;
    }
    case health_signal::failed:
        strike(*found, isAtMostOnce, now);
        evidence.kind = evidence_kind::failed;
        return evidence;
    case health_signal::errorAfterProcessing:
        noteErrorAtWork(*found, isAtMostOnce, now);
        evidence.kind = evidence_kind::errorAfterProcessing;
        return evidence;
    case health_signal::unreachable:
        exclude(*found, m_options.holdUnreachable, now);
        evidence.kind = evidence_kind::unreachable;
        return evidence;
    case health_signal::refused:
        found->refusedAt = now;
        if (!isRefusingCommon(*found, now)) {
            exclude(*found, m_options.holdRefused, now);
        }
        return std::nullopt;
    case health_signal::inconclusive:
        break;
    }
    return std::nullopt;
}

void load_balancer::notePeersLoss(const record& each, bool isAtMostOnce, steady_clock::time_point now)
{
    auto service = m_services.find(each.entry.service);
    if (isAtMostOnce && service != m_services.end()) {
        service->second->outcomes.push_back({ now, false, true });
    }
}

void load_balancer::applyEvidence(
    const upstream_evidence& evidence, bool isAtMostOnce, steady_clock::time_point now)
{
    auto* found = findRecord(evidence.upstream);
    if (!found) {
        return;
    }
    switch (evidence.kind) {
    case evidence_kind::failed:
        strike(*found, isAtMostOnce, now);
        notePeersLoss(*found, isAtMostOnce, now);
        break;
    case evidence_kind::errorAfterProcessing:
        noteErrorAtWork(*found, isAtMostOnce, now);
        notePeersLoss(*found, isAtMostOnce, now);
        break;
    case evidence_kind::stalled:
        strike(*found, isAtMostOnce, now);
        break;
    case evidence_kind::unreachable:
        exclude(*found, m_options.holdUnreachable, now);
        break;
    case evidence_kind::probe:
        found->trialUntil = now + m_options.trialLength;
        found->lastTried = now;
        break;
    case evidence_kind::recovered:
        readmit(*found);
        break;
    }
}

void load_balancer::applyPeerLoad(
    std::string_view peer, const upstream_load& load, steady_clock::time_point now)
{
    auto* found = findRecord(load.upstream);
    if (!found) {
        return;
    }
    found->peers[std::string(peer)] = { load.inFlight, now + m_options.loadLife };
    if (load.inFlight > 0) {
        found->lastTried = now;
    }
    if (load.latencyMs > 0) {
        found->latencyMs = smooth(found->latencyMs, load.latencyMs);
        ++found->samples;
    }
}

std::vector<upstream_evidence> load_balancer::excludeStalled(steady_clock::time_point now)
{
    std::vector<upstream_evidence> stalled;
    for (auto& [id, each] : m_records) {
        auto service = m_services.find(each->entry.service);
        if (each->started.empty() || each->isExcluded || service == m_services.end()) {
            continue;
        }
        auto usual = std::chrono::milliseconds(
            static_cast<std::int64_t>(m_options.stallFactor * service->second->latencyMs));
        auto limit = std::max(m_options.minStall, usual);
        if (now - *each->started.begin() > limit) {
            exclude(*each, m_options.holdRepeatable, now);
            stalled.push_back({ id, evidence_kind::stalled });
        }
    }
    return stalled;
}

std::vector<upstream_load> load_balancer::takeChangedLoads()
{
    std::vector<upstream_load> changed;
    for (auto& [id, each] : m_records) {
        if (std::exchange(each->hasChangedLoad, false)) {
            changed.push_back({ id, each->inFlight, static_cast<int>(each->latencyMs) });
        }
    }
    return changed;
}

int load_balancer::slotsOf(std::string_view service) const
{
    int slots = 0;
    if (auto found = m_services.find(service); found != m_services.end()) {
        for (const auto* each : found->second->upstreams) {
            slots += each->entry.slots;
        }
    }
    return slots;
}

service_stats load_balancer::statsOf(std::string_view service, steady_clock::time_point now) const
{
    service_stats condition;
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return condition;
    }
    condition.latencyMs = static_cast<int>(found->second->latencyMs);
    for (const auto* each : found->second->upstreams) {
        ++condition.upstreams;
        condition.inFlight += inFlightAt(*each, now);
        if (each->isExcluded) {
            ++condition.excluded;
        } else {
            condition.slots += each->entry.slots;
        }
    }
    return condition;
}

}
