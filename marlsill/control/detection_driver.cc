#include "marlsill/control/detection_driver.h"

#include "marlsill/events/events.h"

#include <algorithm>
#include <cmath>

namespace marlsill::control {

namespace {

    constexpr std::chrono::milliseconds publishInterval { 2'000 };
    constexpr std::chrono::milliseconds verdictLifetime { 10'000 }; // Without an update from a coordinator.
    constexpr std::chrono::milliseconds idleServiceTimeout { 60'000 };
    constexpr std::chrono::milliseconds proposalRetryInterval { 2'000 };
    constexpr double minWeightChange = 0.05;
    constexpr double suspectWeightThreshold = 0.5;

    peer::upstream_counts toCounts(const std::string& upstream, const routing::upstream_evidence& evidence)
    {
        return { upstream, evidence.runs, evidence.failures, evidence.connectionLosses, evidence.refusals,
            evidence.latencies, evidence.logLatencySum, evidence.logLatencySquareSum };
    }

    routing::upstream_evidence toEvidence(const peer::upstream_counts& counts)
    {
        return { counts.runs, counts.failures, counts.connectionLosses, counts.refusals, counts.logLatencySum,
            counts.logLatencySquareSum, counts.latencies };
    }

    std::vector<std::string> activeUpstreamNames(const routing::routed_service& place)
    {
        std::vector<std::string> names;
        for (const auto& each : place.upstreams) {
            if (!each.state->isLeaving) {
                names.push_back(each.spec.name);
            }
        }
        return names;
    }

    std::string describe(const detection::detection_verdict& verdict)
    {
        return verdict.cause + " score " + std::to_string(verdict.score) + " of "
            + std::to_string(verdict.threshold);
    }

}

ejection::capacity_view capacityOf(
    const routing::routed_service& place, const std::map<std::string, double>& weights)
{
    ejection::capacity_view view { {}, place.rules.floorSlots };
    for (const auto& each : place.upstreams) {
        auto weight = weights.find(each.spec.name);
        bool isSuspect = weight != weights.end() && weight->second < suspectWeightThreshold;
        view.upstreams.push_back(
            { each.spec.name, each.spec.slots, each.state->isLeaving.load(), isSuspect });
    }
    return view;
}

void raiseWeightsToFloor(const routing::routed_service& place, std::map<std::string, double>& weights)
{
    double capacity = 0;
    std::vector<std::pair<double, const routing::routed_upstream*>> lowered;
    for (const auto& each : place.upstreams) {
        if (each.state->isLeaving) {
            continue;
        }
        auto found = weights.find(each.spec.name);
        double weight = found == weights.end() ? 1 : found->second;
        capacity += weight * each.spec.slots;
        if (weight < 1) {
            lowered.emplace_back(weight, &each);
        }
    }
    std::sort(lowered.begin(), lowered.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    for (const auto& [weight, upstream] : lowered) {
        double missing = place.rules.floorSlots - capacity;
        if (missing <= 0) {
            return;
        }
        double raised = std::min(1.0, weight + missing / upstream->spec.slots);
        capacity += (raised - weight) * upstream->spec.slots;
        weights[upstream->spec.name] = raised;
    }
}

bool detection_driver::isCoordinator(const routing::routed_service& place) const
{
    return !place.members.empty() && place.members.front()->incarnation == m_self.incarnation;
}

void detection_driver::collect(const routing::snapshot& current, const std::set<std::string>& activeServices)
{
    for (const auto& name : activeServices) {
        const auto* place = current.find(name);
        if (!place || place->members.empty()) {
            continue;
        }
        peer::evidence_report report { name, m_self.failureDomain, {} };
        for (const auto& each : place->upstreams) {
            auto evidence = each.state->takeEvidence();
            if (evidence.runs > 0 || evidence.refusals > 0) {
                report.counts.push_back(toCounts(each.spec.name, evidence));
            }
        }
        if (report.counts.empty()) {
            continue;
        }
        if (isCoordinator(*place)) {
            receive(report);
        } else {
            m_callbacks.send(place->members.front()->peerAddress, std::move(report));
        }
    }
}

void detection_driver::receive(const peer::evidence_report& report)
{
    auto& service = m_coordinatedServices[report.service];
    service.expiresAt = deadlineAfter(idleServiceTimeout);
    for (const auto& each : report.counts) {
        service.detector.add(each.upstream, report.failureDomain, toEvidence(each));
    }
}

void detection_driver::tick(
    const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow)
{
    for (auto each = m_coordinatedServices.begin(); each != m_coordinatedServices.end();) {
        const auto* place = current.find(each->first);
        bool isObsolete = !place || !isCoordinator(*place) || hasPassed(each->second.expiresAt, now);
        if (isObsolete) {
            each = m_coordinatedServices.erase(each);
            continue;
        }
        evaluate(each->second, *place, now, wallNow);
        ++each;
    }
    resetStaleWeights(current, now);
}

void detection_driver::evaluate(coordinated_service& service, const routing::routed_service& place,
    steady_clock::time_point now, wall_deadline wallNow)
{
    service.detector.setSensitivity(place.rules.detectionWeight);
    service.detector.setUpstreams(activeUpstreamNames(place), now);
    service.detector.step(now);
    auto verdicts = service.detector.verdicts(now);
    proposeEjections(service, place, verdicts, now);
    std::map<std::string, double> weights;
    for (const auto& each : verdicts) {
        weights[each.upstream] = each.weight;
    }
    raiseWeightsToFloor(place, weights);
    bool mustPublish = hasPassed(service.nextPublishAt, now);
    for (const auto& [upstream, weight] : weights) {
        auto previous = service.weights.find(upstream);
        double previousWeight = previous == service.weights.end() ? 1 : previous->second;
        mustPublish = mustPublish || std::abs(weight - previousWeight) > minWeightChange;
        if (weight < suspectWeightThreshold && previousWeight >= suspectWeightThreshold) {
            logEvent(event::upstreamSuspected,
                { { "service", place.name }, { "upstream", upstream },
                    { "weight", std::to_string(weight) } });
        }
    }
    if (mustPublish) {
        service.weights = std::move(weights);
        publish(service, place, now, wallNow);
    }
}

void detection_driver::proposeEjections(coordinated_service& service, const routing::routed_service& place,
    const std::vector<detection::detection_verdict>& verdicts, steady_clock::time_point now)
{
    std::map<std::string, double> weights;
    for (const auto& each : verdicts) {
        weights[each.upstream] = each.weight;
    }
    for (const auto& each : verdicts) {
        auto nextProposal = service.nextProposalAt.find(each.upstream);
        bool canPropose
            = nextProposal == service.nextProposalAt.end() || hasPassed(nextProposal->second, now);
        if (!each.shouldEject || !canPropose || !service.pendingProposals.insert(each.upstream).second) {
            continue;
        }
        m_callbacks.propose(
            { place.name, each.upstream, each.ejectionTime, describe(each), capacityOf(place, weights) });
    }
}

void detection_driver::proposalEnded(const ejection::ejection_proposal& proposal,
    const ejection::proposal_outcome& outcome, steady_clock::time_point now, wall_deadline wallNow)
{
    auto found = m_coordinatedServices.find(proposal.service);
    if (found == m_coordinatedServices.end()) {
        return;
    }
    auto& service = found->second;
    service.pendingProposals.erase(proposal.upstream);
    service.nextProposalAt[proposal.upstream] = now + proposalRetryInterval;
    auto floor = std::to_string(proposal.capacity.floorSlots);
    switch (outcome.status) {
    case ejection::proposal_status::agreed: {
        for (const auto& each : outcome.entries) {
            if (each.service == proposal.service) {
                service.ejectedUntil[each.upstream] = each.until;
            }
        }
        auto until = service.ejectedUntil[proposal.upstream];
        service.detector.recordEjection(proposal.upstream, now, toDeadline(until, wallNow, now));
        service.lastDecisions[proposal.upstream] = "ejected: " + proposal.evidence + "; healthy slots left "
            + std::to_string(outcome.healthySlotsLeft) + ", floor " + floor;
        service.nextPublishAt = now;
        logEvent(event::upstreamEjected,
            { { "service", proposal.service }, { "upstream", proposal.upstream },
                { "evidence", proposal.evidence },
                { "healthy_slots_left", std::to_string(outcome.healthySlotsLeft) }, { "floor_slots", floor },
                { "until_unix_ms", std::to_string(toUnixMilliseconds(until)) } });
        return;
    }
    case ejection::proposal_status::belowFloor:
        service.lastDecisions[proposal.upstream]
            = "kept by the floor: " + outcome.text + "; " + proposal.evidence;
        logEvent(event::ejectionRefusedByFloor,
            { { "service", proposal.service }, { "upstream", proposal.upstream },
                { "cause", outcome.text } });
        return;
    case ejection::proposal_status::notAgreed:
        service.lastDecisions[proposal.upstream] = "not agreed: " + outcome.text + "; " + proposal.evidence;
        logEvent(event::ejectionNotAgreed,
            { { "service", proposal.service }, { "upstream", proposal.upstream },
                { "cause", outcome.text } });
        return;
    }
}

void detection_driver::publish(coordinated_service& service, const routing::routed_service& place,
    steady_clock::time_point now, wall_deadline wallNow)
{
    service.nextPublishAt = now + publishInterval;
    peer::service_decisions update { place.name, toUnixMilliseconds(wallNow), {} };
    for (const auto& [upstream, weight] : service.weights) {
        auto ejected = service.ejectedUntil.find(upstream);
        bool isEjected = ejected != service.ejectedUntil.end() && ejected->second > wallNow;
        if (weight < 1 || isEjected) {
            update.decisions.push_back(
                { upstream, weight, isEjected ? toUnixMilliseconds(ejected->second) : 0 });
        }
    }
    apply(place, update.decisions, now, wallNow);
    recordApplied(place.name, update.decisions, now);
    for (const auto& each : place.members) {
        if (each->incarnation != m_self.incarnation) {
            m_callbacks.send(each->peerAddress, update);
        }
    }
}

void detection_driver::receive(const peer::service_decisions& verdicts, const routing::snapshot& current,
    steady_clock::time_point now, wall_deadline wallNow)
{
    const auto* place = current.find(verdicts.service);
    bool isStale = wallNow - fromUnixMilliseconds(verdicts.sentAt) > verdictLifetime;
    if (place && !isStale) {
        apply(*place, verdicts.decisions, now, wallNow);
        recordApplied(verdicts.service, verdicts.decisions, now);
    }
}

void detection_driver::apply(const routing::routed_service& place,
    const std::vector<peer::upstream_decision>& verdicts, steady_clock::time_point now, wall_deadline wallNow)
{
    std::map<std::string, const peer::upstream_decision*> byName;
    std::vector<const peer::upstream_decision*> ejected;
    for (const auto& each : verdicts) {
        byName[each.upstream] = &each;
        if (fromUnixMilliseconds(each.ejectedUntil) - m_self.clockSkew > wallNow) {
            ejected.push_back(&each);
        }
    }
    std::sort(ejected.begin(), ejected.end(),
        [](const auto* left, const auto* right) { return left->ejectedUntil < right->ejectedUntil; });
    std::vector<std::string> oldestFirst;
    for (const auto* each : ejected) {
        oldestFirst.push_back(each->upstream);
    }
    auto enforceable = ejection::enforceableEjections(capacityOf(place, {}), oldestFirst);
    for (const auto& upstream : place.upstreams) {
        auto found = byName.find(upstream.spec.name);
        double weight
            = found == byName.end() ? 1 : std::clamp(found->second->weight, detection::minSuspectWeight, 1.0);
        deadline until {};
        if (enforceable.contains(upstream.spec.name)) {
            // Rule E3 of ejection_agreement.h: this VM ends its ejection early by the clock skew, so that
            // every other VM still counts it.
            until = toDeadline(
                fromUnixMilliseconds(found->second->ejectedUntil) - m_self.clockSkew, wallNow, now);
        }
        bool wasEjected = upstream.state->isEjected(now);
        upstream.state->weight = weight;
        upstream.state->ejectedUntil = until.time_since_epoch().count();
        if (wasEjected && !upstream.state->isEjected(now)) {
            logEvent(
                event::upstreamReadmitted, { { "service", place.name }, { "upstream", upstream.spec.name } });
        }
    }
    m_callbacks.weightsChanged();
}

void detection_driver::recordApplied(const std::string& service,
    const std::vector<peer::upstream_decision>& verdicts, steady_clock::time_point now)
{
    if (verdicts.empty()) {
        m_appliedVerdicts.erase(service);
    } else {
        m_appliedVerdicts[service] = { verdicts, now + verdictLifetime };
    }
}

void detection_driver::configurationChanged(
    const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow)
{
    for (const auto& [service, applied] : m_appliedVerdicts) {
        if (const auto* place = current.find(service)) {
            apply(*place, applied.verdicts, now, wallNow);
        }
    }
}

// Restores full weights of services whose coordinator has sent no verdicts for `verdictLifetime`. Agreed
// ejections end by their own deadlines.
void detection_driver::resetStaleWeights(const routing::snapshot& current, steady_clock::time_point now)
{
    for (auto each = m_appliedVerdicts.begin(); each != m_appliedVerdicts.end();) {
        if (!hasPassed(each->second.until, now)) {
            ++each;
            continue;
        }
        if (const auto* place = current.find(each->first)) {
            for (const auto& upstream : place->upstreams) {
                upstream.state->weight = 1;
            }
        }
        each = m_appliedVerdicts.erase(each);
    }
}

std::vector<upstream_explanation> detection_driver::explain(
    std::string_view upstream, steady_clock::time_point now) const
{
    std::vector<upstream_explanation> found;
    for (const auto& [name, service] : m_coordinatedServices) {
        for (const auto& verdict : service.detector.verdicts(now)) {
            if (verdict.upstream != upstream && name != upstream) {
                continue;
            }
            upstream_explanation explanation { name, verdict, {}, {} };
            if (auto until = service.ejectedUntil.find(verdict.upstream);
                until != service.ejectedUntil.end()) {
                explanation.ejectedUntil = until->second;
            }
            if (auto decision = service.lastDecisions.find(verdict.upstream);
                decision != service.lastDecisions.end()) {
                explanation.lastDecision = decision->second;
            }
            found.push_back(std::move(explanation));
        }
    }
    return found;
}

}
