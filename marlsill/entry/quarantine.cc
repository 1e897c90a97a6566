#include "marlsill/entry/quarantine.h"

#include "marlsill/base/hash.h"
#include "marlsill/events/events.h"
#include "marlsill/http/field_names.h"

#include <algorithm>

namespace marlsill::entry {

request_fingerprint fingerprintOf(const http::request_message& request)
{
    auto seed = fastHash(request.head.getURI(), fastHash(request.head.getMethod()));
    return fastHash(request.body, seed);
}

request_fingerprint quarantineFingerprintOf(const http::request_message& request)
{
    auto fingerprint = fingerprintOf(request);
    auto account = request.head.get(http::field::clientAccount, "");
    return account.empty() ? fingerprint : fastHash(account, fingerprint);
}

quarantine_list::quarantine_list(quarantine_options options)
    : m_options(options)
{
}

quarantine_decision quarantine_list::admit(request_fingerprint fingerprint)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return quarantine_decision::allowed;
    }
    auto& listed = found->second;
    if (listed.level == suspicion_level::quarantined) {
        return quarantine_decision::quarantined;
    }
    if (hasPassed(listed.suspectedUntil, steady_clock::now())) {
        m_entries.erase(found);
        return quarantine_decision::allowed;
    }
    if (listed.level == suspicion_level::suspectedRemotely || listed.isProbing) {
        return quarantine_decision::suspected;
    }
    listed.isProbing = true;
    return quarantine_decision::probe;
}

void quarantine_list::reportCrash(
    request_fingerprint fingerprint, const std::string& service, const std::string& upstream, bool isProbe)
{
    suspicion_level level = suspicion_level::suspectedLocally;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            evictIfFull();
            auto until = deadlineAfter(m_options.suspicionDuration);
            m_entries[fingerprint]
                = { suspicion_level::suspectedLocally, service, {}, upstream, false, until };
        } else {
            bool isSameCrash = !isProbe && found->second.firstUpstream == upstream;
            if (isSameCrash || found->second.level == suspicion_level::quarantined) {
                return;
            }
            found->second.level = suspicion_level::quarantined;
            level = suspicion_level::quarantined;
        }
    }
    auto eventId
        = level == suspicion_level::quarantined ? event::requestQuarantined : event::requestSuspected;
    logEvent(eventId, { { "fingerprint", std::to_string(fingerprint) }, { "upstream", upstream } });
    announce({ fingerprint, level, service, {}, upstream });
}

void quarantine_list::endProbe(request_fingerprint fingerprint, bool receivedResponse)
{
    std::string service;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_entries.find(fingerprint);
        if (found == m_entries.end() || found->second.level == suspicion_level::quarantined) {
            return;
        }
        found->second.isProbing = false;
        if (!receivedResponse) {
            return;
        }
        service = found->second.service;
        m_entries.erase(found);
    }
    announce({ fingerprint, suspicion_level::cleared, service });
}

bool quarantine_list::applyNotice(const suspicion_notice& notice)
{
    std::lock_guard lock(m_mutex);
    auto found = m_entries.find(notice.fingerprint);
    bool isListed = found != m_entries.end();
    const auto& crashedUpstream = notice.upstream.empty() ? notice.reporter : notice.upstream;
    switch (notice.level) {
    case suspicion_level::cleared:
        if (!isListed || found->second.level != suspicion_level::suspectedRemotely) {
            return false;
        }
        m_entries.erase(found);
        return true;
    case suspicion_level::quarantined:
        if (isListed && found->second.level == suspicion_level::quarantined) {
            return false;
        }
        break;
    case suspicion_level::suspectedLocally:
    case suspicion_level::suspectedRemotely:
        if (isListed && found->second.level == suspicion_level::quarantined) {
            return false;
        }
        if (isListed && found->second.firstUpstream == crashedUpstream) {
            bool mustYield
                = found->second.level == suspicion_level::suspectedLocally && notice.reporter < m_incarnation;
            if (mustYield) {
                found->second.level = suspicion_level::suspectedRemotely;
                found->second.reporter = notice.reporter;
            }
            return mustYield;
        }
        break;
    }
    bool isSecondCrash = notice.level == suspicion_level::quarantined || isListed;
    if (!isListed) {
        evictIfFull();
    }
    auto level = isSecondCrash ? suspicion_level::quarantined : suspicion_level::suspectedRemotely;
    m_entries[notice.fingerprint] = { level, notice.service, notice.reporter, crashedUpstream, false,
        deadlineAfter(m_options.suspicionDuration) };
    return true;
}

std::vector<suspicion_notice> quarantine_list::quarantined() const
{
    std::lock_guard lock(m_mutex);
    std::vector<suspicion_notice> notices;
    for (const auto& [fingerprint, listed] : m_entries) {
        if (listed.level == suspicion_level::quarantined) {
            notices.push_back(
                { fingerprint, listed.level, listed.service, listed.reporter, listed.firstUpstream });
        }
    }
    return notices;
}

void quarantine_list::announce(const suspicion_notice& notice) const
{
    if (m_announce) {
        m_announce(notice);
    }
}

void quarantine_list::evictIfFull()
{
    if (m_entries.size() < m_options.maxEntries) {
        return;
    }
    auto evicted
        = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& left, const auto& right) {
              auto rank
                  = [](const entry& listed) { return listed.level == suspicion_level::quarantined ? 1 : 0; };
              return rank(left.second) < rank(right.second);
          });
    m_entries.erase(evicted);
}

}
