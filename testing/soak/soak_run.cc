#include "testing/soak/soak_run.h"

#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/store_objects.h"
#include "testing/raw_caller.h"

#include <Poco/Exception.h>
#include <csignal>

namespace marlsill::testing {

using platform_adapter::platformFields;
using platform_adapter::store_fault;
using std::chrono::milliseconds;

namespace {

    constexpr std::chrono::milliseconds limitLength { 10'000 };
    // The users' rule on limits.
    constexpr std::chrono::milliseconds limitSettleTime { 3'000 };
    constexpr std::chrono::milliseconds limitWindow { 4'000 };
    constexpr double limitExcessFactor = 1.5;
    constexpr int limitExcessRequests = 5;
    constexpr const char* service = "s";
    constexpr const char* host = "h.example";
    constexpr milliseconds workTime { 20 };
    constexpr milliseconds endlessPause { 5 }; // Between pieces of answers without end.
    constexpr std::size_t failedRequests = 20'000; // More than arrive while an upstream fails.
    constexpr milliseconds startLimit { 10'000 };
    constexpr milliseconds recoveryLimit { 15'000 }; // The users' bound after faults.
    constexpr milliseconds drainBound { 2'500 }; // The users' bound for news of a leaving upstream.
    constexpr milliseconds restorationSettleTime {
        3'000
    }; // After the store came back from a copy; the users' bound.
    constexpr milliseconds drainCheck { 1'000 }; // How long it is watched beyond the bound.
    constexpr int callsPerConnection = 20;
    constexpr int timeoutMs = 2'000;
    constexpr milliseconds pauseAfterRefusal { 50 };
    constexpr milliseconds turnAwayExcuse { 1'000 }; // After a pause or a trouble of a link.
    constexpr const char* earlierLabel = "/earlier";
    constexpr std::size_t minServing = 3; // Upstreams that do not drain.

    std::string versionPrefix(int version) { return "/version-" + std::to_string(version) + "/"; }

}

soak_run::soak_run(soak_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_limitRandom(m_options.seed + 1)
    , m_failureRandom(m_options.seed + 2)
    , m_leavingRandom(m_options.seed + 3)
    , m_turnAwayRandom(m_options.seed + 4)
    , m_upgradeRandom(m_options.seed + 5)
    , m_restoreRandom(m_options.seed + 6)
{
}

soak_run::~soak_run() = default;

milliseconds soak_run::drawLength(int shortestMs, int longestMs)
{
    return milliseconds(shortestMs + draw(longestMs - shortestMs + 1));
}

void soak_run::publishConfiguration() { writeConfiguration(++m_version); }

void soak_run::writeConfiguration(int version)
{
    m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
        platform_adapter::configurationObject(version, host, service,
            { { "once", "/once/", true }, { "repeat", "/repeat/" }, { "version", versionPrefix(version) } }));
}

void soak_run::publishUpstream(const upstream_place& place, const std::string& state)
{
    m_store.put(platform_adapter::upstreamKind, place.upstream->id(),
        platform_adapter::upstreamObject(service, place.link->address(), state, place.startedUnixMs));
}

void soak_run::startFleet()
{
    publishConfiguration();
    for (int index = 0; index < m_options.upstreams; ++index) {
        auto place = std::make_unique<upstream_place>();
        place->upstream = std::make_unique<scripted_upstream>("u" + std::to_string(index), platformFields());
        place->upstream->setWorkTime(workTime);
        place->upstream->setEndlessPause(endlessPause);
        place->upstream->setArrivalListener([this, id = place->upstream->id()](const std::string& request) {
            m_retryObserver.noteArrival(request, steady_clock::now());
            m_leavingObserver.noteArrival(request, id);
            m_checker.noteArrival(request, id, steady_clock::now());
        });
        place->upstream->setTurnAwayListener(
            [this, id = place->upstream->id()](const std::string& request, const std::string& retryAfter) {
                noteTurnedAway(request, id, retryAfter);
            });
        place->upstream->setRunListener([this, id = place->upstream->id()](const std::string& request) {
            m_checker.noteRun(request, id, steady_clock::now());
        });
        place->link = std::make_unique<loopback_proxy>(place->upstream->address());
        place->startedUnixMs = toUnixMilliseconds(wall_clock::now());
        publishUpstream(*place, "ready");
        m_upstreams.push_back(std::move(place));
    }
    for (auto& planned : planFleet(m_options.entries)) {
        auto place = std::make_unique<entry_place>();
        place->storeLink = std::make_unique<loopback_proxy>(m_store.address());
        planned.program = m_options.program;
        planned.folder = m_options.folder;
        planned.store = place->storeLink->address();
        place->process = std::make_unique<entry_process>(std::move(planned));
        m_entries.push_back(std::move(place));
    }
    if (!m_options.earlierProgram.empty()) {
        for (auto& entry : m_entries) {
            entry->process->setBuild(m_options.earlierProgram, earlierLabel);
        }
        m_upgrade = planUpgrade(m_entries.size(), m_upgradeRandom);
        std::reverse(m_upgrade.begin(), m_upgrade.end());
    }
    for (auto& entry : m_entries) {
        if (!entry->process->start()) {
            m_checker.noteBroken("an entry daemon cannot be started: " + m_options.program);
        }
    }
}

bool soak_run::awaitServing(entry_place& entry, milliseconds limit)
{
    auto until = deadlineAfter(limit);
    while (!hasPassed(until, steady_clock::now())) {
        try {
            raw_caller caller(entry.process->callerAddress(), platformFields());
            auto id = "serving-" + std::to_string(++m_probes);
            m_retryObserver.noteRequest(steady_clock::now());
            m_checker.noteCarrier(id, entry.process->life());
            caller.sendRequest("GET", "/repeat/" + id, id, timeoutMs);
            if (caller.receive().status == 200) {
                return true;
            }
        } catch (const Poco::Exception&) {
            // Nobody listens there yet.
        }
        std::this_thread::sleep_for(pauseAfterRefusal);
    }
    reportNotServing(*entry.process);
    return false;
}

std::string soak_run::lifeOf(std::size_t entry)
{
    std::lock_guard lock(m_entries[entry]->mutex);
    return m_entries[entry]->process->life();
}

void soak_run::callerLoop(int number)
{
    std::mt19937_64 random(m_options.seed * 1'000 + static_cast<std::uint64_t>(number));
    int count = 0;
    auto prefix = "c" + std::to_string(number) + "-";
    while (!m_isOver) {
        auto entry = random() % m_entries.size();
        try {
            callOn(entry, random, prefix, count);
        } catch (const Poco::Exception&) {
            std::this_thread::sleep_for(pauseAfterRefusal); // The process is away.
        }
    }
}

void soak_run::callOn(std::size_t entry, std::mt19937_64& random, const std::string& prefix, int& count)
{
    auto life = lifeOf(entry);
    raw_caller caller(m_entries[entry]->process->callerAddress(), platformFields());
    if (lifeOf(entry) != life) {
        return; // The connection may be to either life.
    }
    for (int call = 0; call < callsPerConnection && !m_isOver; ++call) {
        auto id = prefix + std::to_string(++count);
        bool isVersionCall = random() % 5 == 0;
        bool isAtMostOnce = !isVersionCall && random() % 2 == 0;
        int version = std::max(1, m_version.load() - static_cast<int>(random() % 3));
        auto path
            = isVersionCall ? versionPrefix(version) : std::string(isAtMostOnce ? "/once/" : "/repeat/");
        auto sentAt = steady_clock::now();
        m_checker.noteSent(id, isAtMostOnce);
        m_checker.noteCarrier(id, life);
        m_retryObserver.noteRequest(sentAt);
        m_leavingObserver.noteSent(id, life, sentAt);
        caller.sendRequest(
            isAtMostOnce ? "POST" : "GET", path + id, id, timeoutMs, isAtMostOnce ? "body " + id : "");
        auto answer = caller.receive();
        if (answer.status == 0) {
            m_checker.noteUnanswered(id, life);
            return;
        }
        auto fields = platformFields();
        if (answer.field(fields.leaving) == "1") {
            m_leavingObserver.notePassedOn(id, answer.field("X-Answered-By"), steady_clock::now());
        }
        m_checker.noteAnswer(id,
            { .status = answer.status,
                .request = answer.field(fields.requestId),
                .seal = answer.field(fields.seal),
                .isWhole = answer.isWhole,
                .isExpectedBody = answer.body == "the whole body" });
        if (isVersionCall && answer.status == 200 && lifeOf(entry) == life) {
            m_checker.noteConfiguration(life, version, sentAt, steady_clock::now());
        }
        if (answer.status == 503) {
            std::this_thread::sleep_for(pauseAfterRefusal);
        }
    }
}

bool soak_run::isKnowledgeTroubled() const
{
    auto now = steady_clock::now();
    bool isEntryTroubled = std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        return !hasPassed(each->pausedUntil, now) || !hasPassed(each->linkTroubleUntil, now);
    });
    return isEntryTroubled || !hasPassed(m_storeTroubleUntil, now);
}

// Drains whose news may come late because of a trouble are not checked.
void soak_run::spoilDrains()
{
    for (auto& each : m_upstreams) {
        if (each->isDraining && !hasPassed(each->drainBound, steady_clock::now())) {
            m_checker.forgetLeaving(each->upstream->id());
            each->isDrainChecked = false;
        }
    }
}

// Makes an upstream name a limit of requests per second for a while.
void soak_run::nameLimit()
{
    auto& place = *m_upstreams[m_limitRandom() % m_upstreams.size()];
    if (place.limit > 0 || place.isDraining) {
        return;
    }
    place.limit = static_cast<double>(1 + m_limitRandom() % 4);
    place.upstream->setRateLimit(place.limit);
    place.limitUntil = deadlineAfter(limitLength);
    place.limitCheckedFrom = deadlineAfter(limitSettleTime);
}

// Makes a third of the upstreams, or now and then all, fail every request for a while.
void soak_run::failUpstreams()
{
    bool areAll = m_failureRandom() % 3 == 0;
    auto until = deadlineAfter(milliseconds(1'000 + m_failureRandom() % 3'000));
    for (auto& each : m_upstreams) {
        if (areAll || m_failureRandom() % 3 == 0) {
            each->upstream->plan(std::vector(failedRequests, upstream_step::error));
            each->failsUntil = until;
        }
    }
}

// Makes a third of the upstreams, or now and then all, turn requests away for 1 to 4 s.
void soak_run::turnRequestsAway()
{
    constexpr const char* times[] = { "1", "1.5", "2", "3", "4" };
    bool areAll = m_turnAwayRandom() % 4 == 0;
    for (auto& each : m_upstreams) {
        const std::string time = times[m_turnAwayRandom() % std::size(times)];
        auto step = m_turnAwayRandom() % 4 == 0 ? upstream_step::turnAwayUnstated : upstream_step::turnAway;
        if (areAll || m_turnAwayRandom() % 3 == 0) {
            each->upstream->setRetryAfter(time);
            each->upstream->plan(std::vector(failedRequests, step));
            each->turnsAwayUntil = deadlineAfter(milliseconds(static_cast<int>(1'000 * std::stod(time))));
        }
    }
}

void soak_run::noteTurnedAway(
    const std::string& request, const std::string& upstream, const std::string& retryAfter)
{
    auto now = steady_clock::now();
    m_checker.noteTurnedAway(
        request, upstream, now, now + milliseconds(static_cast<int>(1'000 * std::stod(retryAfter))));
}

// Makes an upstream answer a few requests with bytes that are no answer and have no end.
void soak_run::answerWithoutEnd()
{
    constexpr upstream_step steps[] = { upstream_step::endlessHeadLine, upstream_step::endlessHead,
        upstream_step::endlessInformational, upstream_step::endlessStrangers, upstream_step::endlessBody,
        upstream_step::endlessExcess, upstream_step::endlessChunk, upstream_step::endlessExtensions,
        upstream_step::endlessTrailers, upstream_step::endlessNoise };
    auto& place = *m_upstreams[m_failureRandom() % m_upstreams.size()];
    std::vector<upstream_step> planned;
    for (auto step = m_failureRandom() % 4; step < 4; ++step) {
        planned.push_back(steps[m_failureRandom() % std::size(steps)]);
    }
    place.upstream->plan(planned);
}

// Ends the limits whose time is over, and checks that they were kept.
void soak_run::endLimits()
{
    for (auto& each : m_upstreams) {
        if (each->limit == 0 || !hasPassed(each->limitUntil, steady_clock::now())) {
            continue;
        }
        auto arrivals = each->upstream->arrivalTimes();
        std::erase_if(arrivals, [&](auto at) { return at < each->limitCheckedFrom; });
        auto allowed = static_cast<std::ptrdiff_t>(
            limitExcessFactor * each->limit * std::chrono::duration<double>(limitWindow).count()
            + limitExcessRequests);
        bool isBroken = std::any_of(arrivals.begin(), arrivals.end(), [&](auto at) {
            auto inWindow = std::count_if(arrivals.begin(), arrivals.end(),
                [&](auto other) { return other >= at && other < at + limitWindow; });
            return inWindow > allowed;
        });
        if (isBroken) {
            m_checker.noteBroken("limit: " + each->upstream->id() + " got more than "
                + std::to_string(allowed) + " requests in 4 s");
        }
        m_limitsChecked += arrivals.empty() ? 0 : 1;
        each->limit = 0;
        each->upstream->setRateLimit(0);
    }
}

// Leaves out the time until a trouble of VMs has been over for a while.
void soak_run::delayLimitChecks(steady_clock::time_point troubleUntil)
{
    for (auto& each : m_upstreams) {
        each->limitCheckedFrom = std::max(each->limitCheckedFrom, troubleUntil + limitSettleTime);
    }
}

void soak_run::killEntry(entry_place& entry)
{
    spoilDrains();
    std::lock_guard lock(entry.mutex);
    m_checker.noteDisturbed(entry.process->life());
    entry.process->kill();
    entry.process->start();
    delayLimitChecks(steady_clock::now());
}

void soak_run::stopEntry(entry_place& entry)
{
    if (entry.isPaused) {
        return;
    }
    spoilDrains();
    auto life = entry.process->life();
    m_checker.notePlannedStop(life);
    entry.process->signal(SIGTERM);
    if (!entry.process->awaitEnd()) {
        m_checker.noteDisturbed(life);
        m_checker.noteBroken("planned stop: " + life + " did not end within its grace time");
    }
    std::lock_guard lock(entry.mutex);
    entry.process->start();
    delayLimitChecks(steady_clock::now());
}

// Replaces the next daemons of an upgrade, or takes them back, if it is time. Their stops overlap.
void soak_run::upgradeEntries()
{
    auto now = steady_clock::now();
    if (m_upgrade.empty() || !hasPassed(m_nextUpgrade, now)) {
        return;
    }
    const auto& step = m_upgrade.back();
    if (std::any_of(step.entries.begin(), step.entries.end(),
            [&](auto entry) { return m_entries[entry]->isPaused; })) {
        return;
    }
    spoilDrains();
    std::vector<std::string> lives;
    for (auto each : step.entries) {
        lives.push_back(m_entries[each]->process->life());
        m_checker.notePlannedStop(lives.back());
        m_entries[each]->process->signal(SIGTERM);
    }
    for (std::size_t index = 0; index < step.entries.size(); ++index) {
        auto& entry = *m_entries[step.entries[index]];
        if (!entry.process->awaitEnd()) {
            m_checker.noteDisturbed(lives[index]);
            m_checker.noteBroken("planned stop: " + lives[index] + " did not end within its grace time");
        }
        std::lock_guard lock(entry.mutex);
        entry.process->setBuild(step.isNewBuild ? m_options.program : m_options.earlierProgram,
            step.isNewBuild ? "" : earlierLabel);
        entry.process->start();
        ++m_upgrades;
    }
    m_upgrade.pop_back();
    m_nextUpgrade = deadlineAfter(milliseconds(250 + m_upgradeRandom() % 1'750));
    delayLimitChecks(steady_clock::now());
}

void soak_run::pauseEntry(entry_place& entry)
{
    spoilDrains();
    m_checker.noteDisturbed(entry.process->life());
    m_checker.excuseTurnAways(entry.process->life(), steady_clock::time_point::max());
    entry.process->signal(SIGSTOP);
    entry.isPaused = true;
    entry.pausedUntil = deadlineAfter(drawLength(200, 2'000));
    delayLimitChecks(entry.pausedUntil);
}

void soak_run::cutStoreLink(entry_place& entry)
{
    constexpr link_trouble troubles[]
        = { link_trouble::delayed, link_trouble::silent, link_trouble::cutOneWay, link_trouble::reset };
    spoilDrains();
    entry.storeLink->setTrouble(troubles[draw(4)]);
    entry.linkTroubleUntil = deadlineAfter(drawLength(300, 3'000));
}

void soak_run::troubleStore()
{
    constexpr store_fault troubles[] = { store_fault::serviceUnavailable, store_fault::tooManyRequests,
        store_fault::reset, store_fault::unresponsive, store_fault::dropResponses };
    spoilDrains();
    if (draw(5) == 0) {
        m_store.dropHistory();
        return;
    }
    m_store.setFault(troubles[draw(5)]);
    m_storeTroubleUntil = deadlineAfter(drawLength(300, 4'000));
}

// Cuts the waiting watches off, or lets the store come back from a copy of a few moments ago. The upstreams
// and the operator write again, a little later, what the copy lacks.
void soak_run::restoreStore()
{
    if (m_restoreRandom() % 4 == 0) {
        m_store.cutWatches(); // No trouble of the store; drains are checked all the same.
    }
    if (m_restoreRandom() % 3 == 0) {
        m_store.takeCopy();
    }
    // The build in production does not know that the store can come back from a copy.
    if (m_restoreRandom() % 6 != 0 || !m_options.earlierProgram.empty()) {
        return;
    }
    spoilDrains();
    m_store.restore();
    std::this_thread::sleep_for(milliseconds(m_restoreRandom() % 1'500));
    for (const auto& each : m_upstreams) {
        publishUpstream(*each, each->isDraining ? "draining" : "ready");
    }
    writeConfiguration(m_version);
    m_storeTroubleUntil = std::max(m_storeTroubleUntil, deadlineAfter(restorationSettleTime));
}

void soak_run::troubleUpstream(upstream_place& place)
{
    constexpr upstream_step steps[]
        = { upstream_step::error, upstream_step::refuse, upstream_step::misdirect, upstream_step::reset,
              upstream_step::cut, upstream_step::garbage, upstream_step::unframed, upstream_step::lateExtra,
              upstream_step::unsealed, upstream_step::hang, upstream_step::lateReset, upstream_step::forget };
    std::vector<upstream_step> planned;
    for (int step = draw(4); step >= 0; --step) {
        planned.push_back(steps[draw(static_cast<int>(std::size(steps)))]);
    }
    place.upstream->plan(planned);
}

void soak_run::troubleUpstreamLink(upstream_place& place)
{
    constexpr link_trouble troubles[]
        = { link_trouble::delayed, link_trouble::silent, link_trouble::cutOneWay, link_trouble::reset };
    place.link->setTrouble(troubles[draw(4)]);
    place.troubleUntil = deadlineAfter(drawLength(200, 2'000));
    m_checker.excuseTurnAways(place.upstream->id(), steady_clock::time_point::max());
    // Requests may be held up and arrive together.
    place.limitCheckedFrom = std::max(place.limitCheckedFrom, place.troubleUntil + limitSettleTime);
}

// Returns whether enough upstreams serve without this one.
bool soak_run::mayLeave(const upstream_place& place) const
{
    auto others = std::count_if(m_upstreams.begin(), m_upstreams.end(),
        [&](const auto& each) { return each.get() != &place && !each->isDraining && !each->isLeaving; });
    return static_cast<std::size_t>(others) >= minServing;
}

// Ends an upstream that drains or leaves, and starts another process under its id.
void soak_run::replaceUpstream(upstream_place& place)
{
    place.isDraining = false;
    place.isLeaving = false;
    place.upstream->setLeavingField("");
    auto now = steady_clock::now();
    m_leavingObserver.noteReplaced(place.upstream->id(), now);
    // The VMs learn the limit of the new life, and may know the life before for a while, whose times of
    // turning away do not hold the new one back.
    place.limitCheckedFrom = now + limitSettleTime;
    m_checker.excuseTurnAways(place.upstream->id(), now + limitSettleTime);
    place.startedUnixMs = std::max(place.startedUnixMs + 1, toUnixMilliseconds(wall_clock::now()));
    m_store.remove(platform_adapter::upstreamKind, place.upstream->id());
    publishUpstream(place, "ready");
}

// Makes an upstream say in its answers that it leaves, while the store says that it is ready, or says so once
// more. It may drain as well.
void soak_run::sayLeaving()
{
    auto& place = *m_upstreams[m_leavingRandom() % m_upstreams.size()];
    if (place.isLeaving && !place.isDraining) {
        publishUpstream(place, "ready");
    }
    if (place.isLeaving || !mayLeave(place)) {
        return;
    }
    place.isLeaving = true;
    place.leavingUntil = deadlineAfter(milliseconds(4'000 + m_leavingRandom() % 4'000));
    place.upstream->setLeavingField("1");
}

void soak_run::endLeavings()
{
    for (auto& each : m_upstreams) {
        if (each->isLeaving && !each->isDraining && hasPassed(each->leavingUntil, steady_clock::now())) {
            replaceUpstream(*each);
        }
    }
}

void soak_run::drainUpstream(upstream_place& place)
{
    if (place.isDraining || !mayLeave(place)) {
        return;
    }
    publishUpstream(place, "draining");
    place.isDraining = true;
    place.drainBound = deadlineAfter(drainBound);
    place.isDrainChecked = !isKnowledgeTroubled();
    if (place.isDrainChecked) {
        m_checker.noteLeaving(place.upstream->id(), place.drainBound);
    }
}

void soak_run::endTroubles(bool isAll)
{
    endLimits();
    endLeavings();
    auto now = steady_clock::now();
    for (auto& each : m_entries) {
        if (isAll || hasPassed(each->pausedUntil, now)) {
            each->process->signal(SIGCONT);
            if (std::exchange(each->isPaused, false)) {
                m_checker.excuseTurnAways(each->process->life(), now + turnAwayExcuse);
            }
        }
        if (isAll || hasPassed(each->linkTroubleUntil, now)) {
            each->storeLink->setTrouble(link_trouble::none);
        }
    }
    if (isAll || hasPassed(m_storeTroubleUntil, now)) {
        m_store.setFault(store_fault::none);
    }
    for (auto& each : m_upstreams) {
        if (isAll || hasPassed(each->troubleUntil, now)) {
            each->link->setTrouble(link_trouble::none);
            if (std::exchange(each->troubleUntil, {}) != deadline()) {
                m_checker.excuseTurnAways(each->upstream->id(), now + turnAwayExcuse);
            }
        }
        if (each->turnsAwayUntil != deadline() && (isAll || hasPassed(each->turnsAwayUntil, now))) {
            each->turnsAwayUntil = {};
            each->upstream->plan({});
        }
        if (each->failsUntil != deadline() && (isAll || hasPassed(each->failsUntil, now))) {
            each->failsUntil = {};
            each->upstream->plan({});
        }
        bool isWatched = each->isDraining && hasPassed(each->drainBound + drainCheck, now);
        if (isWatched || (isAll && each->isDraining)) {
            m_drainsChecked += each->isDrainChecked && isWatched ? 1 : 0;
            m_checker.forgetLeaving(each->upstream->id());
            replaceUpstream(*each);
        }
    }
}

void soak_run::playFault()
{
    auto& entry = *m_entries[static_cast<std::size_t>(draw(m_options.entries))];
    auto& place = *m_upstreams[static_cast<std::size_t>(draw(m_options.upstreams))];
    ++m_faults;
    switch (draw(12)) {
    case 0:
        return killEntry(entry);
    case 1:
        return stopEntry(entry);
    case 2:
        return pauseEntry(entry);
    case 3:
        return entry.process->signal(SIGHUP);
    case 4:
        return cutStoreLink(entry);
    case 5:
        return troubleStore();
    case 6:
    case 7:
        return troubleUpstream(place);
    case 8:
        return troubleUpstreamLink(place);
    case 9:
        return drainUpstream(place);
    default:
        return publishConfiguration();
    }
}

// Faults come in series that overlap, with quiet times between them in which drains can be checked. They last
// until an upgrade is complete.
void soak_run::faultLoop()
{
    auto until = deadlineAfter(m_options.length);
    m_store.takeCopy();
    while (!hasPassed(until, steady_clock::now()) || !m_upgrade.empty()) {
        nameLimit();
        sayLeaving();
        if (m_failureRandom() % 2 == 0) {
            failUpstreams();
        }
        if (m_turnAwayRandom() % 2 == 0) {
            turnRequestsAway();
        }
        for (int left = draw(6); left >= 0; --left) {
            playFault();
            restoreStore();
            upgradeEntries();
            if (m_leavingRandom() % 4 == 0) {
                sayLeaving();
            }
            if (m_failureRandom() % 4 == 0) {
                answerWithoutEnd();
            }
            std::this_thread::sleep_for(drawLength(10, 400));
            endTroubles(false);
        }
        if (draw(2) == 0) {
            endTroubles(true);
            drainUpstream(*m_upstreams[static_cast<std::size_t>(draw(m_options.upstreams))]);
            std::this_thread::sleep_for(drainBound + drainCheck);
            endTroubles(false);
        }
    }
}

soak_report soak_run::run()
{
    startFleet();
    for (auto& each : m_entries) {
        if (!awaitServing(*each, startLimit)) {
            m_checker.noteBroken("start: " + each->process->life() + " does not serve");
        }
    }
    {
        std::vector<std::jthread> callers;
        for (int number = 0; number < m_options.callers; ++number) {
            callers.emplace_back([this, number] { callerLoop(number); });
        }
        faultLoop();
        endTroubles(true);
        for (auto& each : m_entries) {
            if (!awaitServing(*each, recoveryLimit)) {
                m_checker.noteBroken("recovery: " + each->process->life() + " does not serve");
            }
        }
        m_isOver = true;
    }
    if (auto beyond = m_retryObserver.mostBeyondRatio(); beyond > retrySlack) {
        m_checker.noteBroken("retries: " + std::to_string(beyond) + " beyond the ratio in a window, "
            + std::to_string(retrySlack) + " allowed");
    }
    for (auto& each : m_leavingObserver.broken()) {
        m_checker.noteBroken(std::move(each));
    }
    for (auto& each : m_entries) {
        each->process->signal(SIGTERM);
    }
    for (auto& each : m_entries) {
        if (!each->process->awaitEnd()) {
            m_checker.noteBroken("planned stop: " + each->process->life() + " did not end at the end");
        }
    }
    return { m_checker.broken(), m_checker.sent(), m_checker.answered(200), m_checker.answered(503), m_faults,
        m_drainsChecked, m_limitsChecked, static_cast<int>(m_leavingObserver.checked()),
        m_checker.turnAwaysWatched(), m_upgrades, static_cast<int>(m_retryObserver.repeats()) };
}

}
