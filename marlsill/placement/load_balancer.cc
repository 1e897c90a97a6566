#include "marlsill/placement/load_balancer.h"

#include "marlsill/placement/loss_monitor.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace marlsill::placement {

namespace {

    constexpr double latencyWeight = 0.2; // Weight of a new sample in the moving average.
    constexpr double slowFactor = 2.0; // Multiple of the service's latency that counts as slow.
    constexpr int minSamples = 3; // An average of fewer is not used.
    constexpr std::chrono::milliseconds refusalWindow { 1'000 };
    // At-most-once requests and those without a retry do not probe if a request that can be retried arrived
    // within this time.
    constexpr std::chrono::milliseconds repeatableWindow { 1'000 };
    // Such requests use an unused upstream for the capacity floor only this much later than others. Together
    // with `unusedAfter` and a probe's delay it must stay below the two-second window of the floor.
    constexpr std::chrono::milliseconds unsafeUseDelay { 100 };
    // An upstream that no VM uses for so long is home to all, as its home may have no callers. Below the
    // window of the capacity floor, and above the time between reports.
    constexpr std::chrono::milliseconds homeTimeout { 700 };
    constexpr std::size_t maxWaitingForPart = 3; // Requests of a service on this VM.
    constexpr int fewSlots = 2; // Per upstream; home_ranking is used up to here.
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

    // Returns whether a failed probe by the request costs only a retry.
    bool isSafeToProbeWith(const choice_request& request)
    {
        return !request.isAtMostOnce && request.canBeRetried;
    }

}

struct load_balancer::upstream_state {
    struct peer_load {
        int inFlight = 0;
        deadline validUntil;
    };

    upstream_entry entry;
    service_state* service = nullptr;
    int inFlight = 0;
    std::multiset<steady_clock::time_point> started; // Start times of this VM's attempts in flight.
    std::map<std::string, peer_load, std::less<>> peers;
    double latencyMs = 0;
    int samples = 0;
    upstream_health health;
    steady_clock::time_point lastRefusedAt {};
    steady_clock::time_point reportedAt {}; // Last report of a peer on its requests there.
    bool hasChangedLoad = false;
    bool isListed = false; // Among the upstreams of its service, as it is registered and not leaving.
    bool isHome = false; // This VM uses it before its peers do.
    bool isOfOwnPart = true; // Of this VM's part of the service's upstreams.
    bool isWithdrawn = false; // Registered as not leaving, but has said itself that it leaves.
};

struct load_balancer::service_state {
    explicit service_state(const exclusion_options& exclusion)
        : breaker(exclusion)
    {
    }

    std::vector<upstream_state*> upstreams; // Those of this VM's part that are not leaving.
    std::vector<upstream_state*> others; // Those of other VMs' parts that are not leaving.
    std::vector<upstream_state*> withdrawn;
    std::shared_ptr<const upstream_partition> partition; // Null: this VM uses all upstreams.
    int sharingVms = 1;
    int slots = 0; // Sum over all upstreams of the service.
    bool hasFewSlots = false; // Two or fewer for each of them on average.
    double latencyMs = 0;
    circuit_breaker breaker;
    loss_monitor losses;
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
            current->health.lastUsedAt = now;
        }
        auto& service = serviceOf(entry.service);
        current->service = &service;
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
        service = std::make_unique<service_state>(m_options.exclusion);
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
    std::size_t count = 0;
    for (const auto* part : { &service.upstreams, &service.others, &service.withdrawn }) {
        for (const auto* each : *part) {
            service.slots += each->entry.slots;
        }
        count += part->size();
    }
    service.hasFewSlots = service.slots <= fewSlots * static_cast<int>(count);
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
    for (auto* each : own) {
        each->isOfOwnPart = true;
        each->isHome = each->entry.failureDomain == m_options.failureDomain;
    }
    if (!service.partition) {
        return;
    }
    auto firstOther = std::stable_partition(own.begin(), own.end(),
        [&](const upstream_state* each) { return service.partition->includes(each->entry.id); });
    if (firstOther != own.begin()) {
        service.others.assign(firstOther, own.end());
        own.erase(firstOther, own.end());
        for (auto* each : service.others) {
            each->isOfOwnPart = false;
        }
    }
    std::vector<shared_upstream> shared;
    for (const auto* each : own) {
        shared.push_back({ each->entry.id, each->entry.failureDomain });
    }
    auto homes = service.partition->homes(shared);
    for (std::size_t index = 0; index < own.size(); ++index) {
        own[index]->isHome = homes[index].value_or(own[index]->isHome);
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

int load_balancer::inFlightAt(const upstream_state& each, steady_clock::time_point now) const
{
    int sum = each.inFlight;
    for (const auto& [peer, load] : each.peers) {
        sum += hasPassed(load.validUntil, now) ? 0 : load.inFlight;
    }
    return sum;
}

// Returns the upstream that has been unused longest if more than the allowed number is unused, else nullptr.
load_balancer::upstream_state* load_balancer::longestUnused(
    service_state& service, const choice_request& request, steady_clock::time_point now) const
{
    upstream_state* oldest = nullptr;
    int unused = 0;
    int excluded = 0;
    // Requests that can be retried have the first turn, where there are some.
    bool mustLeaveTurn = !isSafeToProbeWith(request) && hasRepeatable(service, now);
    auto delay = mustLeaveTurn ? unsafeUseDelay : std::chrono::milliseconds(0);
    for (auto* each : service.upstreams) {
        excluded += each->health.isExcluded ? 1 : 0;
        if (!service.breaker.isUnused(each->health, delay, now) || m_holds.isHeld(each->entry, now)) {
            continue;
        }
        ++unused;
        bool isUntried
            = std::find(request.tried.begin(), request.tried.end(), each->entry.id) == request.tried.end();
        bool isPermitted = !request.limits || request.limits->hasPermit(each->entry.id, now);
        if (isUntried && isPermitted && (!oldest || each->health.lastUsedAt < oldest->health.lastUsedAt)) {
            oldest = each;
        }
    }
    floor_state state {
        .upstreams = static_cast<int>(service.upstreams.size()),
        .excluded = excluded,
        .lossShare = 1,
        .isPart = !service.others.empty(),
    };
    if (unused <= maxUnused(state, m_options.floor)) {
        return nullptr; // Whatever the losses are.
    }
    state.lossShare = service.losses.share(service.sharingVms, now);
    return unused > maxUnused(state, m_options.floor) ? oldest : nullptr;
}

void load_balancer::recordOutcome(std::string_view service, bool isServed, steady_clock::time_point now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    found->second->losses.recordOutcome(isServed, now);
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

// Returns what the ranking of an upstream that is not excluded needs to know.
ranked_upstream load_balancer::ranked(const upstream_state& each, const service_state& service, int inFlight,
    steady_clock::time_point now) const
{
    return { .inFlight = inFlight,
        .slots = each.entry.slots,
        .isLocal = each.entry.failureDomain == m_options.failureDomain,
        .isHome = each.isHome,
        .isWarm = hasPassed(each.entry.warmUpUntil, now),
        .isForgotten = hasPassed(std::max(each.health.lastUsedAt, each.reportedAt) + homeTimeout, now),
        .isSlow = each.samples >= minSamples && service.latencyMs > 0
            && each.latencyMs > slowFactor * service.latencyMs,
        .isRampingUp = each.health.rampUpLeft > 0 };
}

choice load_balancer::choose(const choice_request& request, steady_clock::time_point now)
{
    auto found = m_services.find(request.service);
    if (found == m_services.end() || found->second->upstreams.empty()) {
        return {};
    }
    auto& service = *found->second;
    return service.hasFewSlots ? chooseBy(home_ranking(), service, request, now)
                               : chooseBy(spread_ranking(), service, request, now);
}

template <upstream_ranking Ranking>
choice load_balancer::chooseBy(const Ranking& ranking, service_state& service, const choice_request& request,
    steady_clock::time_point now)
{
    bool isRetry = !request.tried.empty();
    if (isSafeToProbeWith(request)) {
        service.lastRepeatableAt = now;
    }
    auto* overdue = isRetry ? nullptr : longestUnused(service, request, now);
    if (overdue) {
        return { choice_status::chosen, &overdue->entry, true, inFlightAt(*overdue, now) };
    }
    bool skipsProbes = isRetry || (!isSafeToProbeWith(request) && hasRepeatable(service, now));
    struct candidate {
        upstream_state* upstream = nullptr;
        upstream_rank rank;
    };
    constexpr double heldPermitBonus = 0.01; // Decides between equal loads, as a permit is lost if not used.
    auto isBetter = [](const candidate& left, const std::optional<candidate>& right) {
        return !right || left.rank < right->rank;
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
    bool hasExcluded = false;
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
        hasExcluded = hasExcluded || each->health.isExcluded;
        if (each->health.isExcluded && needsPermit) {
            bool mayProbe = service.breaker.isProbeDue(each->health, now) && !skipsProbes;
            probeWithoutPermit
                = mayProbe && request.limits->shouldRequest(each->entry.id, now) ? each : probeWithoutPermit;
            continue;
        }
        if (each->health.isExcluded) {
            bool isEarliest = !dueProbe || each->health.excludedUntil < dueProbe->health.excludedUntil;
            if (service.breaker.isProbeDue(each->health, now) && isEarliest && !skipsProbes) {
                dueProbe = each;
            }
            if (inFlight < each->entry.slots
                && (!excludedFallback
                    || each->health.excludedUntil < excludedFallback->health.excludedUntil)) {
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
        candidate current { each, ranking.rank(ranked(*each, service, inFlight, now)) };
        current.rank.load -= isLimited ? heldPermitBonus : 0;
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
    // Which of other VMs' upstreams fail is not known here. While some of this part do, an at-most-once
    // request waits for one of this part rather than that it risks one of those.
    bool mustWait = hasExcluded && hasHealthy && request.isAtMostOnce && !request.mayUseExcluded
        && request.requestsAhead < maxWaitingForPart;
    if (auto* outside = mustWait ? nullptr : chooseOutsidePart(service, request, now)) {
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
        // This VM probes none of them, and hears of a recovery for a time only.
        bool isExcluded = each->health.isExcluded
            && !hasPassed(each->health.excludedUntil + m_options.exclusion.relapseTime, now);
        auto maxInFlight = m_holds.maxInFlight(each->entry, now).value_or(each->entry.slots);
        bool isUsable = !isTried && !isLimited && !isExcluded && each->inFlight < maxInFlight
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
    found->health.lastUsedAt = now;
    noteChangedLoad(*found);
    if (isProbe) {
        found->service->breaker.recordProbe(found->health, now);
    }
}

// Returns whether a request that can be retried has arrived recently.
bool load_balancer::hasRepeatable(const service_state& service, steady_clock::time_point now)
{
    return service.lastRepeatableAt + repeatableWindow > now;
}

// Returns whether so many upstreams of the service refuse requests that excluding one would not help.
bool load_balancer::isRefusalWidespread(const upstream_state& each, steady_clock::time_point now) const
{
    const auto& upstreams = each.service->upstreams;
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
    auto& breaker = found->service->breaker;
    auto& health = found->health;
    observed_failure failure { .isOwn = true,
        .probesAtMostOnce = isAtMostOnce && !hasRepeatable(*found->service, now),
        .startedAt = started };
    auto evidenceOf = [&](evidence_kind kind) { return upstream_evidence { std::string(upstream), kind }; };
    switch (signal) {
    case health_signal::succeeded: {
        double sample = toMilliseconds(elapsed);
        found->latencyMs = smooth(found->latencyMs, sample);
        ++found->samples;
        found->service->latencyMs = smooth(found->service->latencyMs, sample);
        auto told = breaker.recordSuccess(health, started, now);
        return told ? std::optional(evidenceOf(*told)) : std::nullopt;
    }
    case health_signal::failed:
        breaker.recordFailure(health, failure, randomFraction(), now);
        return evidenceOf(evidence_kind::failed);
    case health_signal::errorAfterProcessing:
        breaker.recordErrorAfterProcessing(health, failure, randomFraction(), now);
        return evidenceOf(evidence_kind::errorAfterProcessing);
    case health_signal::unreachable:
        breaker.exclude(health, m_options.exclusion.unreachable, randomFraction(), now);
        return evidenceOf(evidence_kind::unreachable);
    case health_signal::refused:
        found->lastRefusedAt = now;
        if (!isRefusalWidespread(*found, now)) {
            breaker.exclude(health, m_options.exclusion.refused, randomFraction(), now);
        }
        return std::nullopt;
    case health_signal::inconclusive:
        break;
    }
    return std::nullopt;
}

std::optional<bool> load_balancer::applyEvidence(
    const upstream_evidence& evidence, bool isAtMostOnce, steady_clock::time_point now)
{
    auto* found = findState(evidence.upstream);
    if (!found) {
        return std::nullopt;
    }
    auto& service = *found->service;
    auto& health = found->health;
    observed_failure failure { .probesAtMostOnce = isAtMostOnce && !hasRepeatable(service, now) };
    bool wasExcluded = health.isExcluded;
    switch (evidence.kind) {
    case evidence_kind::failed:
    case evidence_kind::errorAfterProcessing:
        // A request that can be repeated is not lost, and where there are such, they probe. Losses at other
        // VMs' parts are no part of those that the share is worked out from.
        if (isAtMostOnce && found->isOfOwnPart && !(wasExcluded && hasRepeatable(service, now))) {
            service.losses.recordPeerLoss(now);
        }
        if (evidence.kind == evidence_kind::failed) {
            service.breaker.recordFailure(health, failure, randomFraction(), now);
        } else {
            service.breaker.recordErrorAfterProcessing(health, failure, randomFraction(), now);
        }
        break;
    case evidence_kind::stalled:
        service.breaker.recordFailure(health, failure, randomFraction(), now);
        break;
    case evidence_kind::unreachable:
        service.breaker.exclude(health, m_options.exclusion.unreachable, randomFraction(), now);
        break;
    case evidence_kind::probe:
        service.breaker.recordProbe(health, now);
        health.lastUsedAt = now;
        break;
    case evidence_kind::recovered:
        service.breaker.readmit(health, now);
        break;
    }
    return health.isExcluded == wasExcluded ? std::nullopt : std::optional(health.isExcluded);
}

void load_balancer::applyPeerLoad(
    std::string_view peer, const upstream_load& load, steady_clock::time_point now)
{
    auto* found = findState(load.upstream);
    if (!found) {
        return;
    }
    found->reportedAt = now;
    found->peers[std::string(peer)] = { load.inFlight, now + m_options.peerLoadLifetime };
    if (load.inFlight > 0) {
        found->health.lastUsedAt = now;
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
        const auto& service = *each->service;
        auto usual
            = std::chrono::milliseconds(static_cast<std::int64_t>(m_options.stallFactor * service.latencyMs));
        auto limit = std::max(m_options.minStallTime, usual);
        if (!each->health.isExcluded && now - *each->started.begin() > limit) {
            each->service->breaker.exclude(
                each->health, m_options.exclusion.repeatable.initial, randomFraction(), now);
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
                if (each.health.isExcluded == isExcluded) {
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
        if (each->health.isExcluded) {
            ++condition.excluded;
        } else if (!limit && !isHeld) {
            condition.slots += each->entry.slots;
        }
    }
    return condition;
}

}
