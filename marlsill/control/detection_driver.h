#pragma once

// Turns evidence from real traffic into load-balancing weights and outlier ejections, together with the other
// VMs of a service's serving set.
//
//     detection_driver detection(self, callbacks);
//     detection.collect(snapshot, activeServices);
//     detection.tick(snapshot, now, wallNow);
//
// The first VM of a service's serving set is its coordinator: the others send it their evidence, and it sends
// them its verdicts. The coordinator may change at any time, and a service may have two for a while.
// Ejections are safe even then, because each is agreed by a conditional update in the platform.

#include "marlsill/base/time.h"
#include "marlsill/detection/outlier_detector.h"
#include "marlsill/ejection/capacity_floor.h"
#include "marlsill/ejection/ejection_agreement.h"
#include "marlsill/peer/messages.h"
#include "marlsill/routing/snapshot.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marlsill::control {

// The driver's callbacks, called on the control thread.
struct detection_callbacks {
    std::function<void(const std::string& peerAddress, peer::message)> send;
    std::function<void(ejection::ejection_proposal)> propose; // proposalEnded() reports the outcome.
    std::function<void()> weightsChanged; // Queued requests may be admissible now.
};

// The identity of this VM.
struct detection_identity {
    std::string incarnation;
    std::string failureDomain;
    std::chrono::milliseconds clockSkew { 500 }; // The largest difference between two VMs' clocks.
};

// What the coordinator knows of one upstream, for operators.
struct upstream_explanation {
    std::string service;
    detection::detection_verdict verdict;
    wall_deadline ejectedUntil; // Of the last agreed ejection; the epoch if there was none.
    std::string lastDecision; // The outcome of the last proposal as text; empty if there was none.
};

// The failure detection of one entry VM. Not thread safe; the control thread owns it.
class detection_driver {
public:
    detection_driver(detection_identity self, detection_callbacks callbacks)
        : m_self(std::move(self))
        , m_callbacks(std::move(callbacks))
    {
    }

    // Takes the evidence gathered for services that had requests and sends it to their coordinators.
    void collect(const routing::snapshot& current, const std::set<std::string>& activeServices);

    // Adds a report's evidence to the detector of the service, as its coordinator.
    void receive(const peer::evidence_report& report);

    // Applies a coordinator's verdicts, unless they are stale or the service is unknown.
    void receive(const peer::service_decisions& verdicts, const routing::snapshot& current,
        steady_clock::time_point now, wall_deadline wallNow);

    // Evaluates the evidence of the services that this VM coordinates, and resets weights whose verdicts have
    // expired. Called about four times a second.
    void tick(const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow);

    // Records the outcome of a proposal; an agreed ejection is published at the next tick.
    void proposalEnded(const ejection::ejection_proposal& proposal, const ejection::proposal_outcome& outcome,
        steady_clock::time_point now, wall_deadline wallNow);

    // Applies the last verdicts again under a new configuration, so that a raised capacity floor or a
    // drain readmits upstreams at once.
    void configurationChanged(
        const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow);

    // Returns what is known of an upstream, or of all upstreams of a service, by name. Holds only services
    // that this VM coordinates.
    std::vector<upstream_explanation> explain(std::string_view upstream, steady_clock::time_point now) const;

private:
    struct coordinated_service {
        detection::outlier_detector detector { {} };
        std::map<std::string, double> weights; // As last published, by upstream.
        std::map<std::string, wall_deadline> ejectedUntil; // By upstream.
        std::map<std::string, std::string> lastDecisions; // By upstream, as text.
        std::set<std::string> pendingProposals; // Upstreams whose proposals have no outcome yet.
        std::map<std::string, deadline> nextProposalAt; // By upstream; the earliest time of another proposal.
        deadline nextPublishAt;
        deadline expiresAt; // Extended by every evidence report.
    };

    // Returns whether this VM coordinates a service.
    bool isCoordinator(const routing::routed_service& place) const;
    void evaluate(coordinated_service& service, const routing::routed_service& place,
        steady_clock::time_point now, wall_deadline wallNow);
    void proposeEjections(coordinated_service& service, const routing::routed_service& place,
        const std::vector<detection::detection_verdict>& verdicts, steady_clock::time_point now);
    void publish(coordinated_service& service, const routing::routed_service& place,
        steady_clock::time_point now, wall_deadline wallNow);
    void apply(const routing::routed_service& place, const std::vector<peer::upstream_decision>& verdicts,
        steady_clock::time_point now, wall_deadline wallNow);
    void recordApplied(const std::string& service, const std::vector<peer::upstream_decision>& verdicts,
        steady_clock::time_point now);
    void resetStaleWeights(const routing::snapshot& current, steady_clock::time_point now);

    const detection_identity m_self;
    const detection_callbacks m_callbacks;
    std::map<std::string, coordinated_service> m_coordinatedServices;
    struct applied_verdicts {
        std::vector<peer::upstream_decision> verdicts;
        deadline until; // The weights then return to 1 unless the coordinator sends new verdicts.
    };

    // By service; only those with lowered weights or ejections.
    std::map<std::string, applied_verdicts> m_appliedVerdicts;
};

// Returns the capacity of a service for the check against its floor. Upstreams with a weight below one half
// are suspects.
ejection::capacity_view capacityOf(
    const routing::routed_service& place, const std::map<std::string, double>& weights);

// Raises the lowered weights, the highest first, until the weighted sum of the slots reaches the capacity
// floor or all weights are 1.
void raiseWeightsToFloor(const routing::routed_service& place, std::map<std::string, double>& weights);

}
