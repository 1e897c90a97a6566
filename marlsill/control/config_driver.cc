#include "marlsill/control/config_driver.h"

#include <algorithm>

namespace marlsill::control {

namespace {

    constexpr std::chrono::milliseconds reportInterval { 2'000 };

}

void config_driver::applied(std::int64_t generation)
{
    if (generation <= m_generation) {
        return;
    }
    m_generation = generation;
    m_callbacks.broadcast(peer::config_announcement { generation }, {});
}

void config_driver::observePeerGeneration(const std::string& peerAddress, std::int64_t generation)
{
    if (generation > m_generation) {
        m_callbacks.fetch(peerAddress, generation);
    }
}

void config_driver::receive(const peer::session_identity& from, const peer::config_confirmation& confirmation)
{
    m_childGenerations[from.incarnation] = confirmation.generation;
}

void config_driver::receive(const peer::session_identity& from, const peer::config_confirmed& confirmed)
{
    if (confirmed.generation > m_confirmedGeneration) {
        m_confirmedGeneration = confirmed.generation;
        m_callbacks.broadcast(confirmed, from.peerAddress);
    }
    if (from.incarnation == m_parentIncarnation) {
        sendToChildren(confirmed);
    }
}

void config_driver::sendToChildren(const peer::config_confirmed& confirmed)
{
    for (const auto& address : m_childAddresses) {
        m_callbacks.send(address, confirmed);
    }
}

std::int64_t config_driver::lowestGenerationInSubtree(std::span<const membership::member_record> present)
{
    auto children = membership::childrenOf(m_ownIncarnation, present);
    std::erase_if(m_childGenerations, [&](const auto& item) {
        return std::find(children.begin(), children.end(), item.first) == children.end();
    });
    m_childAddresses.clear();
    for (const auto& record : present) {
        if (std::find(children.begin(), children.end(), record.incarnation) != children.end()) {
            m_childAddresses.push_back(record.peerAddress);
        }
    }
    auto lowest = m_generation;
    for (const auto& child : children) {
        auto found = m_childGenerations.find(child);
        lowest = std::min(lowest, found == m_childGenerations.end() ? 0 : found->second);
    }
    return lowest;
}

void config_driver::tick(std::span<const membership::member_record> present, steady_clock::time_point now)
{
    bool isPresent = std::any_of(present.begin(), present.end(),
        [this](const auto& record) { return record.incarnation == m_ownIncarnation; });
    if (!isPresent) {
        return;
    }
    auto lowest = lowestGenerationInSubtree(present);
    auto parent = membership::parentOf(m_ownIncarnation, present);
    m_parentIncarnation = parent ? parent->incarnation : std::string();
    if (!parent) {
        if (lowest > 0 && hasPassed(m_nextReportAt, now)) {
            sendToChildren(peer::config_confirmed { lowest });
            m_nextReportAt = now + reportInterval;
        }
        if (lowest > m_confirmedGeneration) {
            m_confirmedGeneration = lowest;
            m_callbacks.broadcast(peer::config_confirmed { lowest }, {});
        }
        return;
    }
    bool hasChanged = lowest != m_lastReportedGeneration || parent->incarnation != m_lastReportedParent;
    if (hasChanged || hasPassed(m_nextReportAt, now)) {
        m_callbacks.send(parent->peerAddress, peer::config_confirmation { lowest });
        m_lastReportedGeneration = lowest;
        m_lastReportedParent = parent->incarnation;
        m_nextReportAt = now + reportInterval;
    }
}

}
