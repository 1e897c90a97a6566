#pragma once

// Turns the traffic's evidence into shares of work and ejections, together with the other VMs of a serving
// set.
//
//     detection_driver detection(self, actions);
//     detection.collect(snapshot, touchedServices);
//     detection.tick(snapshot, now, wallNow);
//
// The first VM of a service's serving set coordinates: the others send it their evidence, and it sends them
// its verdicts. It may change at any time, and two may coordinate for a while; ejections are safe all the
// same, because each is agreed in the platform.

#include "marlsill/base/time.h"
#include "marlsill/detection/service_detector.h"
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

// What a driver does to the outside world; called on the control thread.
struct detection_actions {
    std::function<void(const std::string& peerAddress, peer::message)> send;
    std::function<void(ejection::ejection_proposal)> propose; // The outcome comes back by proposalEnded().
    std::function<void()> sharesChanged; // Waiting requests may be admitted now.
};

// Who this VM is.
struct detection_self {
    std::string incarnation;
    std::string failureDomain;
    std::chrono::milliseconds clockSkew { 500 };
};

// What is known of one upstream, for operators.
struct upstream_explanation {
    std::string service;
    detection::detection_verdict verdict;
    wall_deadline ejectedUntil;
    std::string lastDecision;
};

// Not thread safe; the control thread owns it.
class detection_driver {
public:
    detection_driver(detection_self self, detection_actions actions)
        : m_self(std::move(self))
        , m_actions(std::move(actions))
    {
    }

    // Takes the evidence of the services that had requests and passes it on to their coordinators.
    void collect(const routing::snapshot& current, const std::set<std::string>& touched);

    // Takes in messages.
    void receive(const peer::evidence_report& report);
    void receive(const peer::service_verdicts& verdicts, const routing::snapshot& current,
        steady_clock::time_point now, wall_deadline wallNow);

    // Evaluates the evidence of the services that this VM coordinates. Called about four times a second.
    void tick(const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow);

    // Takes in the outcome of a proposal.
    void proposalEnded(const ejection::ejection_proposal& proposal, const ejection::proposal_outcome& outcome,
        steady_clock::time_point now, wall_deadline wallNow);

    // Checks the ejections in effect here against a new configuration: a raised floor or a drain readmits at
    // once.
    void configurationChanged(
        const routing::snapshot& current, steady_clock::time_point now, wall_deadline wallNow);

    // Returns what is known of an upstream, on the VM that coordinates its service.
    std::vector<upstream_explanation> explain(std::string_view upstream, steady_clock::time_point now) const;

private:
    struct coordinated_service {
        detection::service_detector detector { {} };
        std::map<std::string, double> weights; // As sent last.
        std::map<std::string, wall_deadline> ejectedUntil;
        std::map<std::string, std::string> lastDecisions;
        std::set<std::string> proposed; // Waiting for the platform.
        std::map<std::string, deadline> proposeAgainAt;
        deadline nextRefresh;
        deadline forgetAt; // When no evidence has come for long.
    };

    bool isCoordinator(const routing::routed_service& place) const;
    void evaluate(coordinated_service& service, const routing::routed_service& place,
        steady_clock::time_point now, wall_deadline wallNow);
    void proposeEjections(coordinated_service& service, const routing::routed_service& place,
        const std::vector<detection::detection_verdict>& verdicts, steady_clock::time_point now);
    void publish(coordinated_service& service, const routing::routed_service& place,
        steady_clock::time_point now, wall_deadline wallNow);
    void apply(const routing::routed_service& place, const std::vector<peer::upstream_verdict>& verdicts,
        steady_clock::time_point now, wall_deadline wallNow);
    void keepApplied(const std::string& service, const std::vector<peer::upstream_verdict>& verdicts,
        steady_clock::time_point now);
    void restoreStaleShares(const routing::snapshot& current, steady_clock::time_point now);

    const detection_self m_self;
    const detection_actions m_actions;
    std::map<std::string, coordinated_service> m_coordinated;
    struct applied_verdicts {
        std::vector<peer::upstream_verdict> verdicts;
        deadline until;
    };

    std::map<std::string, applied_verdicts> m_applied; // Of services whose shares differ from normal.
};

// Returns the capacity of a service as the floor counts it; `suspects` are those with a weight below one
// half.
ejection::capacity_view capacityOf(
    const routing::routed_service& place, const std::map<std::string, double>& weights);

// Raises the weights of the least suspect upstreams until the slots, each times its weight, reach the floor,
// or all weights are 1.
void raiseWeightsToFloor(const routing::routed_service& place, std::map<std::string, double>& weights);

}
