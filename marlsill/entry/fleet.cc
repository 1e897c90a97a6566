#include "marlsill/entry/fleet.h"

#include "marlsill/base/random.h"
#include "marlsill/events/events.h"

#include <algorithm>
#include <thread>

namespace marlsill::entry {

namespace {

    using membership::member_record;
    using membership::member_state;

    constexpr char upstreamSeparator = '/'; // In a suspicion report, between its reporter and the upstream.
    constexpr std::chrono::milliseconds controlTickInterval { 100 };
    constexpr std::chrono::milliseconds detectionInterval { 250 };
    constexpr std::chrono::milliseconds proposalTimeout { 3'000 };
    constexpr std::chrono::milliseconds peerRequestTimeout { 1'000 };
    constexpr std::chrono::milliseconds suspicionAnnouncementTimeout { 250 };
    constexpr std::size_t maxBlobReplyBytes = 1024 * 1024;
    constexpr std::size_t keysPerHandoverMessage = 500;
    constexpr std::size_t maxKeyAnswerBytes = 1024 * 1024;
    constexpr std::size_t maxBlockingTasks = 256;
    constexpr int blockingTaskThreads = 3;
    constexpr int maxSuccessorHops = 16;

    record::fact toEjectionFact(
        const ejection::ejection_proposal& proposal, const ejection::proposal_outcome& outcome)
    {
        record::fact fact { .kind = record::fact_kind::ejected,
            .service = proposal.service,
            .upstream = proposal.upstream,
            .why = proposal.evidence,
            .count = proposal.capacity.floorSlots };
        for (const auto& each : outcome.entries) {
            if (each.service == proposal.service && each.upstream == proposal.upstream) {
                fact.until = toUnixMilliseconds(each.until);
            }
        }
        for (const auto& each : proposal.capacity.upstreams) {
            fact.capacity.push_back({ each.name, each.slots, !each.isLeaving && !each.isSuspect });
        }
        return fact;
    }

    member_record makeSelf(const fleet_options& options, const std::string& peerAddress)
    {
        return { options.incarnation, options.name, options.failureDomain, options.region,
            options.callerAddress, peerAddress, toUnixMilliseconds(wall_clock::now()), 1,
            member_state::joining, {} };
    }

}

fleet::fleet(fleet_options options, fleet_dependencies dependencies)
    : m_options(std::move(options))
    , m_dependencies(std::move(dependencies))
    , m_repository(m_dependencies.platform)
    , m_agreement(m_dependencies.platform, { .clockSkew = m_options.maxClockSkew })
    , m_blockingTasks(maxBlockingTasks)
    , m_peers(
          { .listen = m_options.peerAddress,
              .fleetKey = m_options.fleetKey,
              .incarnation = m_options.incarnation,
              .heartbeat = m_options.heartbeatInterval },
          [this](const auto& from, const auto& received) { return handleMessage(from, received); },
          [this](const auto& remote, bool isUp) {
              m_controlThread.post([this, remote, isUp] { handleLinkChange(remote, isUp); });
          })
    , m_self(makeSelf(m_options, m_peers.address()))
    , m_membership(m_self, {},
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](std::vector<std::string> addresses) { m_peers.keepLinks(std::move(addresses)); },
              [this] { m_isSnapshotOutdated = true; }, [this] { return m_tree.head().generation; } },
          steady_clock::now())
    , m_configuration(m_options.incarnation,
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](const peer::message& body, const std::string& except) {
                  m_membership.broadcast(body, except);
              },
              [this](const std::string& address, std::int64_t generation) {
                  fetchTreeFromPeer(address, generation);
              } })
    , m_detection({ m_options.incarnation, m_options.failureDomain, m_options.maxClockSkew },
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](const ejection::ejection_proposal& proposal) { propose(proposal); },
              [this] { m_dependencies.requestDispatcher.refreshAdmission(); } })
    , m_snapshotBuilder(m_options.incarnation)
{
}

void fleet::addThreads(supervisor& parent)
{
    parent.add("control", [this](const std::stop_token& stop) {
        m_controlThread.run(stop, controlTickInterval, [this] { tick(); });
    });
    parent.add("peers", [this](const std::stop_token& stop) { m_peers.run(stop); });
    parent.add("bootstrap", [this](const std::stop_token& stop) { bootstrap(stop); });
    parent.add("watcher", [this](const std::stop_token& stop) { watchPlatform(stop); });
    for (int index = 0; index < blockingTaskThreads; ++index) {
        parent.add("tasks", [this](const std::stop_token& stop) { m_blockingTasks.run(stop); });
    }
}

peer::suspicion_report fleet::toMessage(const suspicion_notice& notice) const
{
    auto level = notice.level == suspicion_level::suspectedLocally ? suspicion_level::suspectedRemotely
                                                                   : notice.level;
    auto reporter = notice.reporter.empty() ? m_options.incarnation : notice.reporter;
    if (!notice.upstream.empty()) {
        reporter += upstreamSeparator + notice.upstream;
    }
    return { notice.fingerprint, static_cast<int>(level), notice.service, reporter };
}

std::optional<peer::message> fleet::handleMessage(
    const peer::session_identity& from, const peer::message& received)
{
    if (auto reply = handleRequest(received)) {
        return reply;
    }
    m_controlThread.post([this, from, received] { handleOnControlThread(from, received); });
    return std::nullopt;
}

std::optional<peer::message> fleet::handleRequest(const peer::message& received)
{
    if (std::holds_alternative<peer::config_head_request>(received)) {
        auto tree = m_dependencies.sharedTree.get();
        return peer::config_head_reply { toText(tree->head()) };
    }
    if (const auto* blobRequest = std::get_if<peer::config_blob_request>(&received)) {
        auto tree = m_dependencies.sharedTree.get();
        peer::config_blob_reply reply;
        std::size_t bytes = 0;
        for (const auto& hash : blobRequest->hashes) {
            auto blob = tree->blob(hash);
            if (blob && bytes + blob->size() <= maxBlobReplyBytes) {
                bytes += blob->size();
                reply.blobs.push_back(*blob);
            }
        }
        return reply;
    }
    if (const auto* question = std::get_if<peer::key_lookup_request>(&received)) {
        return answerKeyQuestion(*question);
    }
    if (const auto* handover = std::get_if<peer::key_handover>(&received)) {
        m_handoverStore.add(*handover);
        return peer::acknowledgement {};
    }
    if (const auto* notice = std::get_if<peer::suspicion_report>(&received)) {
        auto separator = std::min(notice->reporter.find(upstreamSeparator), notice->reporter.size());
        auto reporter = notice->reporter.substr(0, separator);
        auto upstream = notice->reporter.substr(std::min(separator + 1, notice->reporter.size()));
        bool isValid = notice->level >= 0 && notice->level <= static_cast<int>(suspicion_level::cleared)
            && reporter != m_options.incarnation;
        suspicion_notice receivedNotice { notice->fingerprint, static_cast<suspicion_level>(notice->level),
            notice->service, reporter, upstream };
        if (isValid && m_dependencies.quarantine.applyNotice(receivedNotice)) {
            m_controlThread.post([this, forwarded = *notice] { m_membership.broadcast(forwarded); });
        }
        return peer::acknowledgement {};
    }
    return std::nullopt;
}

peer::message fleet::answerKeyQuestion(const peer::key_lookup_request& question)
{
    key_question keyQuestion { question.key, question.requestHash };
    auto parsed = dedup::parseKey(question.key);
    if (!parsed) {
        return entry::toMessage({ key_answer_status::undetermined, nullptr }, maxKeyAnswerBytes);
    }
    if (parsed->incarnation == m_options.incarnation) {
        return entry::toMessage(answerFromLedger(m_dependencies.ledger, keyQuestion), maxKeyAnswerBytes);
    }
    auto handedOver = m_handoverStore.answer(std::string(parsed->incarnation), keyQuestion);
    return entry::toMessage(
        handedOver.value_or(key_answer { key_answer_status::undetermined, nullptr }), maxKeyAnswerBytes);
}

void fleet::handleLinkChange(const peer::session_identity& remote, bool isUp)
{
    m_membership.linkChanged(remote, isUp, steady_clock::now());
    if (!isUp) {
        return;
    }
    for (const auto& each : m_dependencies.quarantine.quarantined()) {
        m_peers.send(remote.peerAddress, toMessage(each));
    }
}

void fleet::handleOnControlThread(const peer::session_identity& from, const peer::message& received)
{
    auto now = steady_clock::now();
    if (const auto* update = std::get_if<peer::member_update>(&received)) {
        m_membership.receive(from, *update, now);
    } else if (const auto* digest = std::get_if<peer::member_digest>(&received)) {
        m_membership.receive(from, *digest, now);
        m_configuration.observePeerGeneration(from.peerAddress, digest->generation);
    } else if (const auto* announced = std::get_if<peer::config_announcement>(&received)) {
        m_configuration.observePeerGeneration(from.peerAddress, announced->generation);
    } else if (const auto* confirmation = std::get_if<peer::config_confirmation>(&received)) {
        m_configuration.receive(from, *confirmation);
    } else if (const auto* confirmed = std::get_if<peer::config_confirmed>(&received)) {
        m_configuration.receive(from, *confirmed);
    } else if (const auto* report = std::get_if<peer::evidence_report>(&received)) {
        m_detection.receive(*report);
    } else if (const auto* verdicts = std::get_if<peer::service_decisions>(&received)) {
        m_detection.receive(*verdicts, *m_dependencies.snapshots.load(), now, wall_clock::now());
    }
}

config::submit_outcome fleet::submit(const config::submission& submitted, deadline limit)
{
    auto outcome = m_repository.submit(*m_dependencies.sharedTree.get(), submitted, limit);
    auto generation = std::to_string(outcome.generation);
    if (outcome.status == config::submit_status::accepted) {
        logEvent(event::configurationAccepted,
            { { "generation", generation }, { "operation", submitted.operation } });
        if (outcome.tree) {
            m_controlThread.post([this, tree = *outcome.tree]() mutable { applyTree(std::move(tree)); });
        }
    } else {
        logEvent(
            event::configurationRefused, { { "operation", submitted.operation }, { "cause", outcome.text } });
    }
    return outcome;
}

// Ignores a configuration that is not newer than the one in force (rule G1 of spec/generations.pml).
void fleet::applyTree(config::config_tree tree)
{
    auto generation = tree.head().generation;
    if (generation <= m_tree.head().generation) {
        return;
    }
    m_tree = std::move(tree);
    m_dependencies.sharedTree.set(std::make_shared<config::config_tree>(m_tree));
    publishSnapshot();
    m_detection.configurationChanged(
        *m_dependencies.snapshots.load(), steady_clock::now(), wall_clock::now());
    m_configuration.applied(generation);
    if (m_isReady) {
        m_dependencies.setReady(true);
    }
    logEvent(event::configurationInForce, { { "generation", std::to_string(generation) } });
    m_dependencies.auditRecorder.add({ .kind = record::fact_kind::inForce, .generation = generation });
}

void fleet::publishSnapshot()
{
    m_isSnapshotOutdated = false;
    m_presentMembers = m_membership.table().present();
    auto view = std::make_shared<member_list>();
    view->all = m_membership.table().all();
    {
        std::lock_guard lock(m_mutex);
        m_members = view;
    }
    std::vector<routing::directory_node> directory;
    for (const auto& each : m_membership.table().serving()) {
        directory.push_back({ each.incarnation, each.failureDomain, each.callerAddress, each.peerAddress });
    }
    reason why;
    auto next = m_snapshotBuilder.build(m_tree, std::move(directory), why);
    if (!next) {
        logEvent(event::configurationFetchFailed, { { "cause", why.text } });
        return;
    }
    m_dependencies.snapshots.publish(std::move(next));
    m_dependencies.requestDispatcher.refreshAdmission();
}

void fleet::tick()
{
    auto now = steady_clock::now();
    m_membership.tick(now);
    if (m_isSnapshotOutdated) {
        publishSnapshot();
    }
    m_configuration.tick(m_presentMembers, now);
    auto confirmed = m_configuration.inForceEverywhere();
    if (m_inForceEverywhere.exchange(confirmed) != confirmed) {
        m_dependencies.auditRecorder.add(
            { .kind = record::fact_kind::inForceEverywhere, .generation = confirmed });
    }
    if (hasPassed(m_nextDetection, now)) {
        m_nextDetection = now + detectionInterval;
        auto current = m_dependencies.snapshots.load();
        m_detection.collect(*current, m_dependencies.requestDispatcher.takeActiveServices());
        m_detection.tick(*current, now, wall_clock::now());
        m_dependencies.ledger.dropExpired(now);
    }
}

void fleet::propose(const ejection::ejection_proposal& proposal)
{
    auto reportOutcome
        = [this](const ejection::ejection_proposal& proposed, const ejection::proposal_outcome& outcome) {
              m_controlThread.post([this, proposed, outcome] {
                  m_detection.proposalEnded(proposed, outcome, steady_clock::now(), wall_clock::now());
              });
          };
    bool isPosted = m_blockingTasks.post([this, proposal, reportOutcome] {
        reportOutcome(
            proposal, m_agreement.propose(proposal, wall_clock::now(), deadlineAfter(proposalTimeout)));
    });
    if (!isPosted) {
        reportOutcome(proposal, { .text = "too many proposals wait" });
    }
}

std::shared_ptr<const fleet::member_list> fleet::members() const
{
    std::lock_guard lock(m_mutex);
    return m_members;
}

// Returns the member that answers for an incarnation's keys: itself, or the VM at the end of its chain of
// handovers. Returns nullptr if that is unknown.
const member_record* fleet::findKeyOwner(const member_list& view, const std::string& incarnation) const
{
    auto ownerIncarnation = incarnation;
    for (int hop = 0; hop < maxSuccessorHops; ++hop) {
        auto found = std::find_if(view.all.begin(), view.all.end(),
            [&](const auto& record) { return record.incarnation == ownerIncarnation; });
        if (found == view.all.end()) {
            return nullptr;
        }
        if (found->successor.empty()) {
            return &*found;
        }
        ownerIncarnation = found->successor;
    }
    return nullptr;
}

key_answer fleet::resolveKey(const key_question& question, deadline limit)
{
    auto parsed = dedup::parseKey(question.key);
    auto view = members();
    const auto* owner = parsed ? findKeyOwner(*view, std::string(parsed->incarnation)) : nullptr;
    if (!owner) {
        return {};
    }
    peer::key_lookup_request questionMessage { question.key, question.requestHash };
    if (owner->incarnation == m_options.incarnation) {
        return fromMessage(std::get<peer::key_lookup_reply>(answerKeyQuestion(questionMessage)));
    }
    auto until = std::min(limit, deadlineAfter(peerRequestTimeout));
    auto reply = m_peers.ask(owner->peerAddress, std::move(questionMessage), until);
    const auto* answer = reply ? std::get_if<peer::key_lookup_reply>(&*reply) : nullptr;
    return answer ? fromMessage(*answer) : key_answer {};
}

void fleet::announceSuspicion(const suspicion_notice& notice)
{
    if (notice.level == suspicion_level::quarantined) {
        m_dependencies.auditRecorder.add({ .kind = record::fact_kind::quarantined,
            .service = notice.service,
            .key = std::to_string(notice.fingerprint) });
    }
    auto announcement = toMessage(notice);
    m_controlThread.post([this, announcement] { m_membership.broadcast(announcement); });
    auto current = m_dependencies.snapshots.load();
    const auto* servicePlace = current->find(notice.service);
    if (!servicePlace || notice.level == suspicion_level::cleared) {
        return;
    }
    std::vector<std::string> servingAddresses;
    for (const auto& each : servicePlace->members) {
        if (each->incarnation != m_options.incarnation) {
            servingAddresses.push_back(each->peerAddress);
        }
    }
    m_peers.askAll(servingAddresses, announcement, deadlineAfter(suspicionAnnouncementTimeout));
}

void fleet::leave()
{
    m_isLeaving = true;
    m_controlThread.post([this] { m_membership.setOwnState(member_state::leaving); });
}

void fleet::handOverKeys(deadline limit)
{
    auto messages = toParts(m_options.incarnation, m_dependencies.ledger.close(), keysPerHandoverMessage);
    auto inherited = m_handoverStore.parts(keysPerHandoverMessage);
    messages.insert(messages.end(), inherited.begin(), inherited.end());
    auto view = members();
    for (const auto& successor : view->all) {
        bool isCandidate
            = successor.incarnation != m_options.incarnation && successor.state == member_state::alive;
        if (!isCandidate) {
            continue;
        }
        bool isHandedOver = std::all_of(messages.begin(), messages.end(), [&](const auto& handoverMessage) {
            return m_peers.ask(successor.peerAddress, handoverMessage, limit).has_value();
        });
        if (isHandedOver) {
            m_controlThread.post([this, name = successor.incarnation] {
                m_membership.setOwnState(member_state::leaving, name);
            });
            logEvent(event::outcomesHandedOver, { { "successor", successor.incarnation } });
            return;
        }
    }
}

fleet_status fleet::status() const
{
    return { m_dependencies.sharedTree.get()->head().generation, m_inForceEverywhere.load(), members()->all,
        m_isPlatformUnavailable.load(), m_isWatcher.load() };
}

std::vector<control::upstream_explanation> fleet::explainUpstreams(const std::string& name)
{
    auto explanationPromise = std::make_shared<std::promise<std::vector<control::upstream_explanation>>>();
    auto explanations = explanationPromise->get_future();
    m_controlThread.post([this, name, explanationPromise] {
        explanationPromise->set_value(m_detection.explain(name, steady_clock::now()));
    });
    bool isReady = explanations.wait_until(deadlineAfter(peerRequestTimeout)) == std::future_status::ready;
    return isReady ? explanations.get() : std::vector<control::upstream_explanation>();
}

std::string fleet::explainKey(const std::string& key)
{
    auto parsed = dedup::parseKey(key);
    if (!parsed) {
        return {};
    }
    if (parsed->incarnation == m_options.incarnation) {
        auto entry = m_dependencies.ledger.peek(key);
        return entry ? std::string(dedup::toText(entry->state()))
                     : std::string("not seen by the incarnation it names");
    }
    auto view = members();
    const auto* owner = findKeyOwner(*view, std::string(parsed->incarnation));
    return owner ? "kept by " + owner->name + " (" + owner->incarnation + ")" : std::string();
}

}
