#include "marlsill/entry/fleet.h"

#include "marlsill/base/random.h"
#include "marlsill/events/events.h"

#include <algorithm>
#include <thread>

namespace marlsill::entry {

namespace {

    using membership::member_record;
    using membership::member_state;

    constexpr std::chrono::milliseconds controlTick { 100 };
    constexpr std::chrono::milliseconds detectionPause { 250 };
    constexpr std::chrono::milliseconds callLength { 3'000 };
    constexpr std::chrono::milliseconds askLength { 1'000 };
    constexpr std::chrono::milliseconds suspicionLength { 250 };
    constexpr std::size_t blobReplyBytes = 1024 * 1024;
    constexpr std::size_t keysPerPart = 500;
    constexpr std::size_t maxAnswerBytes = 1024 * 1024;
    constexpr std::size_t blockingTaskLimit = 256;
    constexpr int blockingThreads = 3;
    constexpr int mostSuccessions = 16;

    record::fact toFact(
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

fleet::fleet(fleet_options options, fleet_parts parts)
    : m_options(std::move(options))
    , m_parts(std::move(parts))
    , m_repository(m_parts.platform)
    , m_agreement(m_parts.platform, { .clockSkew = m_options.clockSkew })
    , m_blockingTasks(blockingTaskLimit)
    , m_peers(
          { .listen = m_options.peerAddress,
              .fleetKey = m_options.fleetKey,
              .incarnation = m_options.incarnation,
              .heartbeat = m_options.heartbeat },
          [this](const auto& from, const auto& received) { return receive(from, received); },
          [this](const auto& remote, bool isUp) {
              m_control.post([this, remote, isUp] { linkChanged(remote, isUp); });
          })
    , m_self(makeSelf(m_options, m_peers.address()))
    , m_membership(m_self, {},
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](std::vector<std::string> addresses) { m_peers.keepLinks(std::move(addresses)); },
              [this] { m_isPublishDue = true; }, [this] { return m_tree.head().generation; } },
          steady_clock::now())
    , m_configuration(m_options.incarnation,
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](const peer::message& body, const std::string& except) {
                  m_membership.broadcast(body, except);
              },
              [this](const std::string& address, std::int64_t generation) {
                  fetchFromPeer(address, generation);
              } })
    , m_detection({ m_options.incarnation, m_options.failureDomain, m_options.clockSkew },
          { [this](
                const std::string& address, peer::message body) { m_peers.send(address, std::move(body)); },
              [this](const ejection::ejection_proposal& proposal) { propose(proposal); },
              [this] { m_parts.requests.refreshGates(); } })
    , m_builder(m_options.incarnation)
{
}

void fleet::addParts(supervisor& root)
{
    root.add("control",
        [this](const std::stop_token& stop) { m_control.run(stop, controlTick, [this] { tick(); }); });
    root.add("peers", [this](const std::stop_token& stop) { m_peers.run(stop); });
    root.add("bootstrap", [this](const std::stop_token& stop) { bootstrap(stop); });
    root.add("watcher", [this](const std::stop_token& stop) { watchPlatform(stop); });
    for (int index = 0; index < blockingThreads; ++index) {
        root.add("tasks", [this](const std::stop_token& stop) { m_blockingTasks.run(stop); });
    }
}

peer::suspicion_report fleet::toMessage(const suspicion_notice& notice) const
{
    auto level = notice.level == suspicion_level::suspectedLocally ? suspicion_level::suspectedRemotely : notice.level;
    const auto& reporter = notice.reporter.empty() ? m_options.incarnation : notice.reporter;
    return { notice.fingerprint, static_cast<int>(level), notice.service, reporter };
}

std::optional<peer::message> fleet::receive(const peer::session_identity& from, const peer::message& received)
{
    if (auto reply = answerAtOnce(received)) {
        return reply;
    }
    m_control.post([this, from, received] { receiveOnControl(from, received); });
    return std::nullopt;
}

std::optional<peer::message> fleet::answerAtOnce(const peer::message& received)
{
    if (std::holds_alternative<peer::config_head_request>(received)) {
        auto tree = m_parts.tree.get();
        return peer::config_head_reply { toText(tree->head()) };
    }
    if (const auto* wanted = std::get_if<peer::config_blob_request>(&received)) {
        auto tree = m_parts.tree.get();
        peer::config_blob_reply reply;
        std::size_t bytes = 0;
        for (const auto& hash : wanted->hashes) {
            auto blob = tree->blob(hash);
            if (blob && bytes + blob->size() <= blobReplyBytes) {
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
        m_handovers.add(*handover);
        return peer::acknowledgement {};
    }
    if (const auto* notice = std::get_if<peer::suspicion_report>(&received)) {
        bool isValid = notice->level >= 0 && notice->level <= static_cast<int>(suspicion_level::cleared)
            && notice->reporter != m_options.incarnation;
        suspicion_notice learnt { notice->fingerprint, static_cast<suspicion_level>(notice->level), notice->service,
            notice->reporter };
        if (isValid && m_parts.quarantine.applyNotice(learnt)) {
            m_control.post([this, told = *notice] { m_membership.broadcast(told); });
        }
        return peer::acknowledgement {};
    }
    return std::nullopt;
}

peer::message fleet::answerKeyQuestion(const peer::key_lookup_request& question)
{
    key_question asked { question.key, question.requestHash };
    auto parsed = dedup::parseKey(question.key);
    if (!parsed) {
        return entry::toMessage({ key_answer_status::undetermined, nullptr }, maxAnswerBytes);
    }
    if (parsed->incarnation == m_options.incarnation) {
        return entry::toMessage(answerFromLedger(m_parts.ledger, asked), maxAnswerBytes);
    }
    auto known = m_handovers.answer(std::string(parsed->incarnation), asked);
    return entry::toMessage(
        known.value_or(key_answer { key_answer_status::undetermined, nullptr }), maxAnswerBytes);
}

void fleet::linkChanged(const peer::session_identity& remote, bool isUp)
{
    m_membership.linkChanged(remote, isUp, steady_clock::now());
    if (!isUp) {
        return;
    }
    for (const auto& each : m_parts.quarantine.quarantined()) {
        m_peers.send(remote.peerAddress, toMessage(each));
    }
}

void fleet::receiveOnControl(const peer::session_identity& from, const peer::message& received)
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
        m_detection.receive(*verdicts, *m_parts.snapshots.load(), now, wall_clock::now());
    }
}

config::submit_outcome fleet::submit(const config::submission& submitted, deadline limit)
{
    auto outcome = m_repository.submit(*m_parts.tree.get(), submitted, limit);
    auto generation = std::to_string(outcome.generation);
    if (outcome.status == config::submit_status::accepted) {
        logEvent(event::configurationAccepted,
            { { "generation", generation }, { "operation", submitted.operation } });
        if (outcome.tree) {
            m_control.post([this, tree = *outcome.tree]() mutable { applyTree(std::move(tree)); });
        }
    } else {
        logEvent(
            event::configurationRefused, { { "operation", submitted.operation }, { "cause", outcome.text } });
    }
    return outcome;
}

// Rule G1: a generation that is not newer changes nothing.
void fleet::applyTree(config::config_tree tree)
{
    auto generation = tree.head().generation;
    if (generation <= m_tree.head().generation) {
        return;
    }
    m_tree = std::move(tree);
    m_parts.tree.set(std::make_shared<config::config_tree>(m_tree));
    publishSnapshot();
    m_detection.configurationChanged(*m_parts.snapshots.load(), steady_clock::now(), wall_clock::now());
    m_configuration.applied(generation);
    if (m_isReady) {
        m_parts.setReady(true);
    }
    logEvent(event::configurationInForce, { { "generation", std::to_string(generation) } });
    m_parts.facts.add({ .kind = record::fact_kind::inForce, .generation = generation });
}

void fleet::publishSnapshot()
{
    m_isPublishDue = false;
    m_present = m_membership.table().present();
    auto view = std::make_shared<member_view>();
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
    auto next = m_builder.build(m_tree, std::move(directory), why);
    if (!next) {
        logEvent(event::configurationFetchFailed, { { "cause", why.text } });
        return;
    }
    m_parts.snapshots.publish(std::move(next));
    m_parts.requests.refreshGates();
}

void fleet::tick()
{
    auto now = steady_clock::now();
    m_membership.tick(now);
    if (m_isPublishDue) {
        publishSnapshot();
    }
    m_configuration.tick(m_present, now);
    auto confirmed = m_configuration.inForceEverywhere();
    if (m_inForceEverywhere.exchange(confirmed) != confirmed) {
        m_parts.facts.add({ .kind = record::fact_kind::inForceEverywhere, .generation = confirmed });
    }
    if (hasPassed(m_nextDetection, now)) {
        m_nextDetection = now + detectionPause;
        auto current = m_parts.snapshots.load();
        m_detection.collect(*current, m_parts.requests.takeActiveServices());
        m_detection.tick(*current, now, wall_clock::now());
        m_parts.ledger.dropExpired(now);
    }
}

void fleet::propose(const ejection::ejection_proposal& proposal)
{
    auto ended
        = [this](const ejection::ejection_proposal& proposed, const ejection::proposal_outcome& outcome) {
              m_control.post([this, proposed, outcome] {
                  m_detection.proposalEnded(proposed, outcome, steady_clock::now(), wall_clock::now());
              });
          };
    bool isPosted = m_blockingTasks.post([this, proposal, ended] {
        ended(proposal, m_agreement.propose(proposal, wall_clock::now(), deadlineAfter(callLength)));
    });
    if (!isPosted) {
        ended(proposal, { .text = "too many proposals wait" });
    }
}

std::shared_ptr<const fleet::member_view> fleet::members() const
{
    std::lock_guard lock(m_mutex);
    return m_members;
}

// Returns who can tell of an incarnation's keys: itself, or the last of its successors.
const member_record* fleet::keeperOf(const member_view& view, const std::string& incarnation) const
{
    auto wanted = incarnation;
    for (int hop = 0; hop < mostSuccessions; ++hop) {
        auto found = std::find_if(view.all.begin(), view.all.end(),
            [&](const auto& record) { return record.incarnation == wanted; });
        if (found == view.all.end()) {
            return nullptr;
        }
        if (found->successor.empty()) {
            return &*found;
        }
        wanted = found->successor;
    }
    return nullptr;
}

key_answer fleet::resolveKey(const key_question& question, deadline limit)
{
    auto parsed = dedup::parseKey(question.key);
    auto view = members();
    const auto* keeper = parsed ? keeperOf(*view, std::string(parsed->incarnation)) : nullptr;
    if (!keeper) {
        return {};
    }
    peer::key_lookup_request asked { question.key, question.requestHash };
    if (keeper->incarnation == m_options.incarnation) {
        return fromMessage(std::get<peer::key_lookup_reply>(answerKeyQuestion(asked)));
    }
    auto until = std::min(limit, deadlineAfter(askLength));
    auto reply = m_peers.ask(keeper->peerAddress, std::move(asked), until);
    const auto* answer = reply ? std::get_if<peer::key_lookup_reply>(&*reply) : nullptr;
    return answer ? fromMessage(*answer) : key_answer {};
}

void fleet::announceSuspicion(const suspicion_notice& notice)
{
    if (notice.level == suspicion_level::quarantined) {
        m_parts.facts.add({ .kind = record::fact_kind::quarantined,
            .service = notice.service,
            .key = std::to_string(notice.fingerprint) });
    }
    auto told = toMessage(notice);
    m_control.post([this, told] { m_membership.broadcast(told); });
    auto current = m_parts.snapshots.load();
    const auto* place = current->find(notice.service);
    if (!place || notice.level == suspicion_level::cleared) {
        return;
    }
    std::vector<std::string> members;
    for (const auto& each : place->members) {
        if (each->incarnation != m_options.incarnation) {
            members.push_back(each->peerAddress);
        }
    }
    m_peers.askAll(members, told, deadlineAfter(suspicionLength));
}

void fleet::leave()
{
    m_isLeaving = true;
    m_control.post([this] { m_membership.setOwnState(member_state::leaving); });
}

void fleet::handOverKeys(deadline limit)
{
    auto parts = toParts(m_options.incarnation, m_parts.ledger.close(), keysPerPart);
    auto inherited = m_handovers.parts(keysPerPart);
    parts.insert(parts.end(), inherited.begin(), inherited.end());
    auto view = members();
    for (const auto& successor : view->all) {
        bool isFit = successor.incarnation != m_options.incarnation && successor.state == member_state::alive;
        if (!isFit) {
            continue;
        }
        bool isTaken = std::all_of(parts.begin(), parts.end(),
            [&](const auto& part) { return m_peers.ask(successor.peerAddress, part, limit).has_value(); });
        if (isTaken) {
            m_control.post([this, name = successor.incarnation] {
                m_membership.setOwnState(member_state::leaving, name);
            });
            logEvent(event::outcomesHandedOver, { { "successor", successor.incarnation } });
            return;
        }
    }
}

fleet_status fleet::status() const
{
    return { m_parts.tree.get()->head().generation, m_inForceEverywhere.load(), members()->all,
        m_isPlatformAway.load(), m_isWatcher.load() };
}

std::vector<control::upstream_explanation> fleet::explain(const std::string& name)
{
    auto result = std::make_shared<std::promise<std::vector<control::upstream_explanation>>>();
    auto found = result->get_future();
    m_control.post(
        [this, name, result] { result->set_value(m_detection.explain(name, steady_clock::now())); });
    bool isReady = found.wait_until(deadlineAfter(askLength)) == std::future_status::ready;
    return isReady ? found.get() : std::vector<control::upstream_explanation>();
}

std::string fleet::explainKey(const std::string& key)
{
    auto parsed = dedup::parseKey(key);
    if (!parsed) {
        return {};
    }
    if (parsed->incarnation == m_options.incarnation) {
        auto entry = m_parts.ledger.peek(key);
        return entry ? std::string(dedup::toText(entry->state()))
                     : std::string("not seen by the incarnation it names");
    }
    auto view = members();
    const auto* keeper = keeperOf(*view, std::string(parsed->incarnation));
    return keeper ? "kept by " + keeper->name + " (" + keeper->incarnation + ")" : std::string();
}

}
