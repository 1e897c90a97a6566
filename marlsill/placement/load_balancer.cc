#include "marlsill/placement/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace marlsill::placement {

namespace {

    constexpr double latencyWeight = 0.2; // Weight of a new sample in the moving average.
    // Shares of an upstream's slots up to which it is preferred. Some upstreams slow down near full load.
    constexpr double preferredUtilization = 0.67;
    constexpr double warmUpUtilization = 0.34;
    constexpr double slowFactor = 2.0; // Multiple of the service's latency that counts as slow.
    constexpr int minSamples = 3; // An average of fewer is not used.
    constexpr double exclusionGrowth = 0.5; // Added share of the exclusion time per further failure.
    constexpr int maxCountedFailures = 3;
    constexpr std::chrono::milliseconds lossWindow { 2'000 }; // Equals the window of the capacity floor.
    // Own request rate; longer than `lossWindow`, because one VM alone sees only a few requests per second.
    constexpr std::chrono::milliseconds rateWindow { 10'000 };
    constexpr std::chrono::milliseconds refusalWindow { 1'000 };
    constexpr int minOutcomes = 8; // Smallest denominator of the loss share.
    // At-most-once requests and those without a retry do not probe if a request that can be retried arrived
    // within this time.
    constexpr std::chrono::milliseconds repeatableWindow { 1'000 };
    constexpr int samplesOutsidePart = 6;
    constexpr int overcommit = 1; // Requests beyond the slots, because the known load lags behind.

    double smooth(double old, double sample)
    {
        return old == 0 ? sample : old + latencyWeight * (sample - old);
    }

    double toMilliseconds(steady_clock::duration length)
    {
        return std::chrono::duration<double, std::milli>(length).count();
    }

}

struct load_balancer::upstream_state {
    struct peer_load {
        int inFlight = 0;
        deadline validUntil;
    };

    upstream_entry entry;
    int inFlight = 0;
    std::multiset<steady_clock::time_point> started; // Start times of this VM's attempts in flight.
    std::map<std::string, peer_load, std::less<>> peers;
    double latencyMs = 0;
    int samples = 0;
    bool isExcluded = false;
    int consecutiveFailures = 0; // Failed probes included; capped at maxCountedFailures.
    int probesLeft = 0; // Successful probes until readmission.
    int rampUpLeft = 0; // Successes until it gets more than one request at a time by preference.
    double probeDelayFraction = 0; // Fraction (0 to 1) of `probeJitter` by which this VM delays its probe.
    deadline excludedUntil {}; // Probes are due from then on.
    deadline probeUntil {}; // Another VM or this one is probing until then.
    steady_clock::time_point excludedSince {};
    steady_clock::time_point lastUsedAt {}; // Last known request of any VM.
    steady_clock::time_point lastRefusedAt {};
    steady_clock::time_point lastErrorAfterProcessing {};
    bool hasChangedLoad = false;
    bool isListed = false; // Among the upstreams of its service, as it is registered and not leaving.
    bool isWithdrawn = false; // Registered as not leaving, but has said itself that it leaves.
};

struct load_balancer::service_state {
    struct outcome {
        steady_clock::time_point at;
        bool isServed = false;
        bool isFromPeer = false;
    };

    std::vector<upstream_state*> upstreams; // Those of this VM's part that are not leaving.
    std::vector<upstream_state*> others; // Those of other VMs' parts that are not leaving.
    std::vector<upstream_state*> withdrawn;
    std::shared_ptr<const upstream_partition> partition; // Null: this VM uses all upstreams.
    int sharingVms = 1;
    int slots = 0; // Sum over all upstreams of the service.
    double latencyMs = 0;
    std::deque<outcome> outcomes;
    steady_clock::time_point lastRepeatableAt {};
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
    std::set<std::string_view> listed;
    for (const auto& entry : upstreams) {
        listed.insert(entry.id);
    }
    std::vector<std::string> removed;
    for (const auto& [id, each] : m_upstreams) {
        if (!listed.contains(id)) {
            removed.push_back(id);
        }
    }
    changeUpstreams(upstreams, removed, now);
}

void load_balancer::changeUpstreams(std::span<const upstream_entry> changed,
    std::span<const std::string> removed, steady_clock::time_point now)
{
    std::set<service_state*> affected;
    std::vector<std::unique_ptr<upstream_state>> gone; // Kept until no service names them.
    auto unlist = [&](std::unique_ptr<upstream_state>& state) {
        state->isListed = false;
        state->isWithdrawn = false;
        affected.insert(&serviceOf(state->entry.service));
        gone.push_back(std::move(state));
    };
    for (const auto& id : removed) {
        m_leavingNotices.noteRemoved(id, now);
        if (auto found = m_upstreams.find(id); found != m_upstreams.end()) {
            unlist(found->second);
            m_upstreams.erase(found);
        }
    }
    for (const auto& entry : changed) {
        auto& current = m_upstreams[entry.id];
        if (current && current->entry == entry) {
            continue;
        }
        bool isKnown = current && current->entry.startedUnixMs == entry.startedUnixMs
            && current->entry.service == entry.service;
        if (!isKnown) {
            if (current) {
                unlist(current);
            }
            current = std::make_unique<upstream_state>();
            current->lastUsedAt = now;
        }
        auto& service = serviceOf(entry.service);
        m_leavingNotices.noteRegistered(entry);
        bool hasNotice = m_leavingNotices.isLeaving(entry);
        bool wasListed = std::exchange(current->isListed, !entry.isLeaving && !hasNotice);
        bool wasWithdrawn = std::exchange(current->isWithdrawn, !entry.isLeaving && hasNotice);
        if (current->isListed && !wasListed) {
            service.upstreams.push_back(current.get());
        }
        if (current->isWithdrawn && !wasWithdrawn) {
            service.withdrawn.push_back(current.get());
        }
        bool isMoved = current->isListed != wasListed || current->isWithdrawn != wasWithdrawn;
        if (isMoved || current->entry.slots != entry.slots) {
            affected.insert(&service);
        }
        current->entry = entry;
    }
    for (auto* service : affected) {
        updateService(*service);
    }
}

bool load_balancer::noteLeaving(const leaving_notice& notice, steady_clock::time_point now)
{
    auto* found = findState(notice.upstream);
    if (!m_leavingNotices.record(notice, found ? &found->entry : nullptr, now)) {
        return false;
    }
    if (found && std::exchange(found->isListed, false)) {
        found->isWithdrawn = true;
        auto& service = serviceOf(found->entry.service);
        service.withdrawn.push_back(found);
        updateService(service);
    }
    return true;
}

bool load_balancer::isAcceptingRequests(std::string_view upstream) const
{
    auto* found = findState(upstream);
    return found && found->isListed;
}

bool load_balancer::hasUpstreams(std::string_view service) const
{
    auto found = m_services.find(service);
    return found != m_services.end() && !found->second->upstreams.empty();
}

// Returns the state of a service, which need not have been known.
load_balancer::service_state& load_balancer::serviceOf(const std::string& name)
{
    auto& service = m_services[name];
    if (!service) {
        service = std::make_unique<service_state>();
    }
    return *service;
}

// Leaves out upstreams that are not listed any more, and divides the others anew.
void load_balancer::updateService(service_state& service)
{
    auto isUnlisted = [](const upstream_state* each) { return !each->isListed; };
    std::erase_if(service.upstreams, isUnlisted);
    std::erase_if(service.others, isUnlisted);
    std::erase_if(service.withdrawn, [](const upstream_state* each) { return !each->isWithdrawn; });
    divideUpstreams(service);
    service.slots = 0;
    for (const auto* part : { &service.upstreams, &service.others, &service.withdrawn }) {
        for (const auto* each : *part) {
            service.slots += each->entry.slots;
        }
    }
}

void load_balancer::setServiceShare(
    std::string_view service, int sharingVms, const std::shared_ptr<const upstream_partition>& partition)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    found->second->sharingVms = std::max(1, sharingVms);
    if (found->second->partition != partition) {
        found->second->partition = partition;
        divideUpstreams(*found->second);
    }
}

// Moves the upstreams of this VM's part to `upstreams` and the rest to `others`. If the part is empty, all of
// them are its part.
void load_balancer::divideUpstreams(service_state& service)
{
    auto& own = service.upstreams;
    own.insert(own.end(), service.others.begin(), service.others.end());
    service.others.clear();
    if (!service.partition) {
        return;
    }
    auto firstOther = std::stable_partition(own.begin(), own.end(),
        [&](const upstream_state* each) { return service.partition->includes(each->entry.id); });
    if (firstOther != own.begin()) {
        service.others.assign(firstOther, own.end());
        own.erase(firstOther, own.end());
    }
}

load_balancer::upstream_state* load_balancer::findState(std::string_view upstream) const
{
    auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : found->second.get();
}

const upstream_entry* load_balancer::find(std::string_view upstream) const
{
    auto* found = findState(upstream);
    return found ? &found->entry : nullptr;
}

const upstream_entry* load_balancer::findNewestAt(std::string_view address) const
{
    const upstream_entry* newest = nullptr;
    for (const auto& [id, each] : m_upstreams) {
        bool isNewer = !newest || each->entry.startedUnixMs > newest->startedUnixMs;
        if (each->entry.address == address && isNewer) {
            newest = &each->entry;
        }
    }
    return newest;
}

bool load_balancer::isExcluded(const upstream_state& each, steady_clock::time_point) const
{
    return each.isExcluded;
}

bool load_balancer::isProbeDue(const upstream_state& each, steady_clock::time_point now) const
{
    return each.isExcluded && hasPassed(each.excludedUntil + probeDelay(each), now)
        && hasPassed(each.probeUntil, now);
}

// Returns how long this VM delays a probe that is due, in case a peer starts it first.
std::chrono::milliseconds load_balancer::probeDelay(const upstream_state& each) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        each.probeDelayFraction * m_options.probeJitter);
}

int load_balancer::inFlightAt(const upstream_state& each, steady_clock::time_point now) const
{
    int sum = each.inFlight;
    for (const auto& [peer, load] : each.peers) {
        sum += hasPassed(load.validUntil, now) ? 0 : load.inFlight;
    }
    return sum;
}

// Returns how many of a service's upstreams may be excluded without receiving probes.
int load_balancer::maxUnused(const service_state& service, steady_clock::time_point now) const
{
    auto count = static_cast<double>(service.upstreams.size());
    if (lossShare(service, now) < m_options.lowLossShare) {
        return static_cast<int>(m_options.maxUnusedShareAtLowLoss * count);
    }
    auto floorLimit = static_cast<int>((1 - m_options.capacityFloor) * count);
    return std::max(
        static_cast<int>(m_options.maxUnusedShare * count), std::min(m_options.minUnusedLimit, floorLimit));
}

// Returns the upstream that has been unused longest if more than the allowed number is unused, else nullptr.
load_balancer::upstream_state* load_balancer::longestUnused(
    service_state& service, const choice_request& request, steady_clock::time_point now) const
{
    upstream_state* oldest = nullptr;
    int unused = 0;
    for (auto* each : service.upstreams) {
        bool isUnused = each->isExcluded && each->lastUsedAt + m_options.unusedAfter + probeDelay(*each) < now
            && hasPassed(each->probeUntil, now);
        if (!isUnused || m_holds.isHeld(each->entry, now)) {
            continue;
        }
        ++unused;
        bool isUntried
            = std::find(request.tried.begin(), request.tried.end(), each->entry.id) == request.tried.end();
        bool isPermitted = !request.limits || request.limits->hasPermit(each->entry.id, now);
        if (isUntried && isPermitted && (!oldest || each->lastUsedAt < oldest->lastUsedAt)) {
            oldest = each;
        }
    }
    return unused > maxUnused(service, now) ? oldest : nullptr;
}

// Returns the share of the service's recent requests that failed, on all VMs. The total is extrapolated from
// this VM's own requests, because peers report failures but not successes.
double load_balancer::lossShare(const service_state& service, steady_clock::time_point now) const
{
    double lost = 0;
    double own = 0;
    auto first = now - lossWindow;
    for (const auto& each : service.outcomes) {
        lost += !each.isServed && each.at + lossWindow >= now ? 1 : 0;
        own += each.isFromPeer ? 0 : 1;
        first = std::min(first, each.at);
    }
    auto ownOutcomes = own * toMilliseconds(lossWindow) / toMilliseconds(now - first);
    return lost / std::max<double>(minOutcomes, ownOutcomes * service.sharingVms);
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

// Returns how many permits for upstreams of the service this VM holds.
std::size_t load_balancer::heldPermits(
    const service_state& service, const rate_limits& limits, steady_clock::time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(service.upstreams.begin(), service.upstreams.end(), [&](const upstream_state* each) {
            return limits.limitOf(each->entry.id) && limits.hasPermit(each->entry.id, now);
        }));
}

// Returns the tier of an upstream that is not excluded; lower ones are preferred.
int load_balancer::tierOf(const upstream_state& each, const service_state& service, int inFlight,
    steady_clock::time_point now) const
{
    double slots = std::max(1, each.entry.slots);
    bool isWarm = hasPassed(each.entry.warmUpUntil, now);
    bool isSlow = each.samples >= minSamples && service.latencyMs > 0
        && each.latencyMs > slowFactor * service.latencyMs;
    double preferredInFlight
        = std::max(1.0, std::round(slots * (isWarm ? preferredUtilization : warmUpUtilization)));
    if (each.rampUpLeft > 0) {
        preferredInFlight = 1;
    }
    bool isLocal = each.entry.failureDomain == m_options.failureDomain;
    int tier = 0;
    if (inFlight + 1 <= preferredInFlight) {
        tier = isLocal ? 0 : 1;
    } else {
        tier = inFlight + 1 <= slots ? 2 : 4;
    }
    return isSlow ? std::max(tier, 3) : tier;
}

choice load_balancer::choose(const choice_request& request, steady_clock::time_point now)
{
    auto found = m_services.find(request.service);
    if (found == m_services.end() || found->second->upstreams.empty()) {
        return {};
    }
    auto& service = *found->second;
    bool isRetry = !request.tried.empty();
    auto* overdue = isRetry ? nullptr : longestUnused(service, request, now);
    if (overdue) {
        return { choice_status::chosen, &overdue->entry, true, inFlightAt(*overdue, now) };
    }
    bool isSafeToProbeWith = !request.isAtMostOnce && request.canBeRetried;
    if (isSafeToProbeWith) {
        service.lastRepeatableAt = now;
    }
    bool skipsProbes = isRetry || (!isSafeToProbeWith && service.lastRepeatableAt + repeatableWindow > now);
    struct candidate {
        upstream_state* upstream = nullptr;
        int tier = 0; // Lower is preferred.
        double load = 0;
    };
    constexpr double heldPermitBonus = 0.01; // Decides between equal loads, as a permit is lost if not used.
    auto isBetter = [](const candidate& left, const std::optional<candidate>& right) {
        return !right || left.tier < right->tier || (left.tier == right->tier && left.load < right->load);
    };
    std::optional<candidate> best;
    std::optional<candidate> bestWithoutPermit; // The best limited one for which a permit may be asked.
    std::optional<deadline> nextPermitAt;
    bool mustLeavePermits = request.requestsAhead > 0 && request.limits
        && heldPermits(service, *request.limits, now) <= request.requestsAhead;
    int expectedPermits = 0;
    bool hasUnlimited = false;
    upstream_state* dueProbe = nullptr;
    upstream_state* probeWithoutPermit = nullptr; // An excluded one that could be probed with a permit.
    // The excluded upstream with free slots whose exclusion ends first.
    upstream_state* excludedFallback = nullptr;
    bool hasUsable = false;
    bool hasHeld = false;
    bool hasHealthy = false;
    std::shuffle(service.upstreams.begin(), service.upstreams.end(), m_random);
    for (auto* each : service.upstreams) {
        if (std::find(request.tried.begin(), request.tried.end(), each->entry.id) != request.tried.end()) {
            continue;
        }
        if (m_holds.isHeld(each->entry, now)) {
            hasHeld = true;
            continue;
        }
        hasUsable = true;
        int inFlight = inFlightAt(*each, now);
        bool isLimited = request.limits && request.limits->limitOf(each->entry.id);
        bool holdsPermit = isLimited && request.limits->hasPermit(each->entry.id, now);
        bool needsPermit = isLimited && (!holdsPermit || mustLeavePermits);
        if (each->isExcluded && needsPermit) {
            bool mayProbe = isProbeDue(*each, now) && !skipsProbes;
            probeWithoutPermit
                = mayProbe && request.limits->shouldRequest(each->entry.id, now) ? each : probeWithoutPermit;
            continue;
        }
        if (each->isExcluded) {
            bool isEarliest = !dueProbe || each->excludedUntil < dueProbe->excludedUntil;
            if (isProbeDue(*each, now) && isEarliest && !skipsProbes) {
                dueProbe = each;
            }
            if (inFlight < each->entry.slots
                && (!excludedFallback || each->excludedUntil < excludedFallback->excludedUntil)) {
                excludedFallback = each;
            }
            continue;
        }
        hasHealthy = hasHealthy || !needsPermit;
        hasUnlimited = hasUnlimited || !isLimited;
        double slots = std::max(1, each->entry.slots);
        auto rampUpLimit = m_holds.maxInFlight(each->entry, now);
        if (inFlight >= slots + overcommit || (rampUpLimit && each->inFlight >= *rampUpLimit)) {
            continue;
        }
        candidate current { each, tierOf(*each, service, inFlight, now),
            inFlight / slots - (isLimited ? heldPermitBonus : 0) };
        if (!needsPermit && isBetter(current, best)) {
            best = current;
        }
        if (!needsPermit) {
            continue;
        }
        auto chance = request.limits->nextChance(each->entry.id, now);
        nextPermitAt = nextPermitAt ? std::min(*nextPermitAt, chance) : chance;
        expectedPermits += holdsPermit || request.limits->isExpectingPermit(each->entry.id, now) ? 1 : 0;
        if (request.limits->shouldRequest(each->entry.id, now) && isBetter(current, bestWithoutPermit)) {
            bestWithoutPermit = current;
        }
    }
    std::string permitWanted;
    if (probeWithoutPermit) {
        permitWanted = probeWithoutPermit->entry.id;
    } else if (bestWithoutPermit && isBetter(*bestWithoutPermit, best)) {
        permitWanted = bestWithoutPermit->upstream->entry.id;
        ++expectedPermits;
    }
    if (dueProbe) {
        return { choice_status::chosen, &dueProbe->entry, true, inFlightAt(*dueProbe, now),
            std::move(permitWanted) };
    }
    if (best) {
        return { choice_status::chosen, &best->upstream->entry, false, inFlightAt(*best->upstream, now),
            std::move(permitWanted) };
    }
    if (auto* outside = chooseOutsidePart(service, request, now)) {
        return { choice_status::chosen, &outside->entry, false, outside->inFlight };
    }
    bool isExcludedAllowed = !hasHealthy || request.mayUseExcluded;
    if (excludedFallback && isExcludedAllowed) {
        return { choice_status::chosen, &excludedFallback->entry, true, inFlightAt(*excludedFallback, now),
            std::move(permitWanted) };
    }
    auto withoutUsable = hasHeld ? choice_status::allHeld : choice_status::noneUsable;
    return { .status = hasUsable ? choice_status::allBusy : withoutUsable,
        .permitWanted = std::move(permitWanted),
        .nextPermitAt = hasUnlimited ? std::nullopt : nextPermitAt,
        .expectedPermits = expectedPermits };
}

// Returns an upstream of another VM's part, or nullptr. As its load is unknown, the one with the fewest
// requests of this VM is taken out of a few random ones.
load_balancer::upstream_state* load_balancer::chooseOutsidePart(
    const service_state& service, const choice_request& request, steady_clock::time_point now)
{
    upstream_state* best = nullptr;
    for (int sample = 0; sample < samplesOutsidePart && !service.others.empty(); ++sample) {
        auto* each
            = service
                  .others[std::uniform_int_distribution<std::size_t>(0, service.others.size() - 1)(m_random)];
        bool isTried
            = std::find(request.tried.begin(), request.tried.end(), each->entry.id) != request.tried.end();
        bool isLimited = request.limits && request.limits->limitOf(each->entry.id);
        auto maxInFlight = m_holds.maxInFlight(each->entry, now).value_or(each->entry.slots);
        bool isUsable = !isTried && !isLimited && !each->isExcluded && each->inFlight < maxInFlight
            && !m_holds.isHeld(each->entry, now);
        if (isUsable && (!best || each->inFlight < best->inFlight)) {
            best = each;
        }
    }
    return best;
}

void load_balancer::startAttempt(std::string_view upstream, bool isProbe, steady_clock::time_point now)
{
    auto* found = findState(upstream);
    if (!found) {
        return;
    }
    ++found->inFlight;
    found->started.insert(now);
    m_used.insert(found->entry.id);
    found->lastUsedAt = now;
    noteChangedLoad(*found);
    if (isProbe) {
        found->probeUntil = now + m_options.probeTimeout;
    }
}

void load_balancer::exclude(
    upstream_state& each, std::chrono::milliseconds exclusion, steady_clock::time_point now)
{
    if (!each.isExcluded) {
        each.excludedSince = now;
    }
    each.isExcluded = true;
    each.excludedUntil = std::max(each.excludedUntil, now + exclusion);
    each.probeUntil = now;
    each.probeDelayFraction = std::uniform_real_distribution<>()(m_random);
}

void load_balancer::recordFailure(upstream_state& each, bool isAtMostOnce, steady_clock::time_point now)
{
    each.consecutiveFailures = std::min(each.consecutiveFailures + 1, maxCountedFailures);
    each.probesLeft = m_options.probesToReadmit;
    each.rampUpLeft = m_options.rampUpSuccesses;
    auto base = isAtMostOnce ? m_options.exclusionAtMostOnce : m_options.exclusionRepeatable;
    double factor = 1 + exclusionGrowth * (each.consecutiveFailures - 1);
    exclude(each,
        std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor)),
        now);
}

// Records an error after processing. The second one within `errorWindow` counts as a failure; returns whether
// this was the second.
bool load_balancer::recordErrorAfterProcessing(
    upstream_state& each, bool isAtMostOnce, steady_clock::time_point now)
{
    bool isSecond = each.lastErrorAfterProcessing + m_options.errorWindow > now;
    each.lastErrorAfterProcessing = now;
    if (isSecond) {
        recordFailure(each, isAtMostOnce, now);
    }
    return isSecond;
}

// Makes the next probe due on this VM at once. The evidence sent to the peers keeps them from probing.
void load_balancer::scheduleNextProbe(upstream_state& each, steady_clock::time_point now)
{
    each.excludedUntil = now;
    each.probeUntil = now;
    each.probeDelayFraction = 0;
}

void load_balancer::readmit(upstream_state& each)
{
    each.isExcluded = false;
    each.excludedUntil = {};
    each.probeUntil = {};
}

// Returns whether so many upstreams of the service refuse requests that excluding one would not help.
bool load_balancer::isRefusalWidespread(const upstream_state& each, steady_clock::time_point now) const
{
    auto service = m_services.find(each.entry.service);
    if (service == m_services.end()) {
        return false;
    }
    const auto& upstreams = service->second->upstreams;
    auto refusing = std::count_if(upstreams.begin(), upstreams.end(),
        [&](const upstream_state* other) { return other->lastRefusedAt + refusalWindow > now; });
    return static_cast<double>(refusing)
        > m_options.commonRefusalShare * static_cast<double>(upstreams.size());
}

std::optional<upstream_evidence> load_balancer::finishAttempt(std::string_view upstream, health_signal signal,
    steady_clock::duration elapsed, steady_clock::time_point started, bool isAtMostOnce,
    steady_clock::time_point now)
{
    auto* found = findState(upstream);
    if (!found) {
        return std::nullopt;
    }
    found->inFlight = std::max(0, found->inFlight - 1);
    noteChangedLoad(*found);
    if (auto own = found->started.find(started); own != found->started.end()) {
        found->started.erase(own);
    }
    upstream_evidence evidence { std::string(upstream) };
    switch (signal) {
    case health_signal::succeeded: {
        double sample = toMilliseconds(elapsed);
        found->latencyMs = smooth(found->latencyMs, sample);
        ++found->samples;
        if (auto service = m_services.find(found->entry.service); service != m_services.end()) {
            service->second->latencyMs = smooth(service->second->latencyMs, sample);
        }
        if (found->isExcluded && started < found->excludedSince) {
            return std::nullopt; // The attempt started before the upstream was excluded.
        }
        found->rampUpLeft = std::max(0, found->rampUpLeft - 1);
        found->consecutiveFailures = found->rampUpLeft == 0 ? 0 : found->consecutiveFailures;
        if (!found->isExcluded) {
            return std::nullopt;
        }
        if (--found->probesLeft > 0) {
            scheduleNextProbe(*found, now);
            evidence.kind = evidence_kind::probe;
            return evidence;
        }
        readmit(*found);
        evidence.kind = evidence_kind::recovered;
        return evidence;
    }
    case health_signal::failed:
        recordFailure(*found, isAtMostOnce, now);
        evidence.kind = evidence_kind::failed;
        return evidence;
    case health_signal::errorAfterProcessing:
        recordErrorAfterProcessing(*found, isAtMostOnce, now);
        evidence.kind = evidence_kind::errorAfterProcessing;
        return evidence;
    case health_signal::unreachable:
        exclude(*found, m_options.exclusionUnreachable, now);
        evidence.kind = evidence_kind::unreachable;
        return evidence;
    case health_signal::refused:
        found->lastRefusedAt = now;
        if (!isRefusalWidespread(*found, now)) {
            exclude(*found, m_options.exclusionRefused, now);
        }
        return std::nullopt;
    case health_signal::inconclusive:
        break;
    }
    return std::nullopt;
}

// Counts a peer's failed attempt as a lost request, unless the request can be repeated.
void load_balancer::recordPeerLoss(
    const upstream_state& each, bool isAtMostOnce, steady_clock::time_point now)
{
    auto service = m_services.find(each.entry.service);
    if (isAtMostOnce && service != m_services.end()) {
        service->second->outcomes.push_back({ now, false, true });
    }
}

std::optional<bool> load_balancer::applyEvidence(
    const upstream_evidence& evidence, bool isAtMostOnce, steady_clock::time_point now)
{
    auto* found = findState(evidence.upstream);
    if (!found) {
        return std::nullopt;
    }
    bool wasExcluded = found->isExcluded;
    switch (evidence.kind) {
    case evidence_kind::failed:
        recordFailure(*found, isAtMostOnce, now);
        recordPeerLoss(*found, isAtMostOnce, now);
        break;
    case evidence_kind::errorAfterProcessing:
        recordErrorAfterProcessing(*found, isAtMostOnce, now);
        recordPeerLoss(*found, isAtMostOnce, now);
        break;
    case evidence_kind::stalled:
        recordFailure(*found, isAtMostOnce, now);
        break;
    case evidence_kind::unreachable:
        exclude(*found, m_options.exclusionUnreachable, now);
        break;
    case evidence_kind::probe:
        found->probeUntil = now + m_options.probeTimeout;
        found->lastUsedAt = now;
        break;
    case evidence_kind::recovered:
        readmit(*found);
        break;
    }
    return found->isExcluded == wasExcluded ? std::nullopt : std::optional(found->isExcluded);
}

void load_balancer::applyPeerLoad(
    std::string_view peer, const upstream_load& load, steady_clock::time_point now)
{
    auto* found = findState(load.upstream);
    if (!found) {
        return;
    }
    found->peers[std::string(peer)] = { load.inFlight, now + m_options.peerLoadLifetime };
    if (load.inFlight > 0) {
        found->lastUsedAt = now;
    }
    if (load.latencyMs > 0) {
        found->latencyMs = smooth(found->latencyMs, load.latencyMs);
        ++found->samples;
    }
}

std::vector<upstream_evidence> load_balancer::excludeStalled(steady_clock::time_point now)
{
    std::vector<upstream_evidence> stalled;
    for (auto id = m_used.begin(); id != m_used.end();) {
        auto* each = findState(*id);
        if (!each || each->started.empty()) {
            id = m_used.erase(id);
            continue;
        }
        const auto& service = *m_services.find(each->entry.service)->second;
        auto usual
            = std::chrono::milliseconds(static_cast<std::int64_t>(m_options.stallFactor * service.latencyMs));
        auto limit = std::max(m_options.minStallTime, usual);
        if (!each->isExcluded && now - *each->started.begin() > limit) {
            exclude(*each, m_options.exclusionRepeatable, now);
            stalled.push_back({ *id, evidence_kind::stalled });
        }
        ++id;
    }
    return stalled;
}

std::optional<deadline> load_balancer::recordTurnAway(
    std::string_view upstream, const turn_away& stated, steady_clock::time_point now)
{
    return m_holds.hold(upstream, stated, std::uniform_real_distribution<>()(m_random), now);
}

bool load_balancer::isHeld(std::string_view upstream, steady_clock::time_point now) const
{
    const auto* known = findState(upstream);
    return known && m_holds.isHeld(known->entry, now);
}

std::vector<returning_capacity> load_balancer::heldCapacity(
    std::string_view service, steady_clock::time_point now) const
{
    std::vector<returning_capacity> capacity;
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return capacity;
    }
    for (const auto* each : found->second->upstreams) {
        auto until = m_holds.heldUntil(each->entry, now);
        if (!until) {
            return {};
        }
        capacity.push_back({ *until, each->entry.slots });
    }
    std::sort(capacity.begin(), capacity.end(),
        [](const auto& left, const auto& right) { return left.at < right.at; });
    return capacity;
}

void load_balancer::noteChangedLoad(upstream_state& each)
{
    if (!std::exchange(each.hasChangedLoad, true)) {
        m_changedLoads.push_back(each.entry.id);
    }
}

std::vector<upstream_load> load_balancer::takeChangedLoads()
{
    std::vector<upstream_load> changed;
    for (auto& id : std::exchange(m_changedLoads, {})) {
        auto* each = findState(id);
        // Not for one that was replaced since.
        if (each && std::exchange(each->hasChangedLoad, false)) {
            changed.push_back({ std::move(id), each->inFlight, static_cast<int>(each->latencyMs) });
        }
    }
    return changed;
}

std::vector<std::string> load_balancer::sampleAddresses(std::string_view only, std::size_t count)
{
    std::vector<std::string> sampled;
    std::vector<const service_state*> services;
    for (const auto& [name, service] : m_services) {
        if (only.empty() || only == name) {
            services.push_back(service.get());
        }
    }
    if (services.empty()) {
        return sampled;
    }
    auto first = m_random() % services.size();
    auto offset = m_random();
    auto ranks = only.empty() ? count : services.front()->upstreams.size() + services.front()->others.size();
    for (bool isExcluded : { false, true }) {
        for (std::size_t turn = 0; turn < services.size() * ranks && sampled.size() < count; ++turn) {
            const auto& service = *services[(first + turn) % services.size()];
            const auto& all = service.upstreams.empty() ? service.others : service.upstreams;
            auto rank = turn / services.size(); // Of this service's upstreams.
            if (rank < all.size()) {
                const auto& each = *all[(offset + rank) % all.size()];
                if (each.isExcluded == isExcluded) {
                    sampled.push_back(each.entry.address);
                }
            }
        }
    }
    return sampled;
}

int load_balancer::slotsOf(std::string_view service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second->slots;
}

service_stats load_balancer::statsOf(
    std::string_view service, steady_clock::time_point now, const rate_limits* limits) const
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
        auto limit = limits ? limits->limitOf(each->entry.id) : std::nullopt;
        bool isHeld = m_holds.isHeld(each->entry, now);
        condition.hasHeld = condition.hasHeld || isHeld;
        if (each->isExcluded) {
            ++condition.excluded;
        } else if (!limit && !isHeld) {
            condition.slots += each->entry.slots;
        }
    }
    return condition;
}

}
