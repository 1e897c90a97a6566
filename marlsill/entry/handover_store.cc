#include "marlsill/entry/handover_store.h"

#include "marlsill/http/message_writer.h"

#include <algorithm>

namespace marlsill::entry {

namespace {

    constexpr std::size_t maxHandoverBodyBytes = 64 * 1024;

    key_answer_status toAnswerStatus(dedup::key_state state)
    {
        switch (state) {
        case dedup::key_state::cancelled:
            return key_answer_status::cancelled;
        case dedup::key_state::finished:
            return key_answer_status::finished;
        default:
            return key_answer_status::undetermined;
        }
    }

}

peer::key_lookup_reply toMessage(const key_answer& known, std::size_t maxBodyBytes)
{
    peer::key_lookup_reply sent { static_cast<int>(known.status) };
    if (known.response && known.response->body.size() <= maxBodyBytes) {
        sent.httpStatus = known.response->head.getStatus();
        sent.contentType = known.response->head.getContentType();
        sent.body = known.response->body;
    }
    return sent;
}

key_answer fromMessage(const peer::key_lookup_reply& received)
{
    bool isValidStatus
        = received.status >= 0 && received.status <= static_cast<int>(key_answer_status::otherRequest);
    key_answer known;
    known.status
        = isValidStatus ? static_cast<key_answer_status>(received.status) : key_answer_status::undetermined;
    if (known.status == key_answer_status::finished && received.httpStatus != 0) {
        auto message = http::makeResponse(received.httpStatus, received.contentType, received.body);
        known.response = std::make_shared<http::response_message>(std::move(message));
    }
    return known;
}

handover_store::handover_store(handover_options options)
    : m_options(options)
{
}

void handover_store::add(const peer::key_handover& part)
{
    std::lock_guard lock(m_mutex);
    auto [found, isNew] = m_byIncarnation.try_emplace(part.incarnation);
    auto& handover = found->second;
    if (isNew) {
        handover.sequence = m_nextSequence++;
    }
    for (const auto& each : part.keys) {
        m_keyCount += handover.keys.insert_or_assign(each.key, each).second ? 1 : 0;
    }
    handover.isComplete = handover.isComplete || part.isLast;
    evictOldest();
}

void handover_store::evictOldest()
{
    while (m_keyCount > m_options.maxKeys && m_byIncarnation.size() > 1) {
        auto oldest = std::min_element(m_byIncarnation.begin(), m_byIncarnation.end(),
            [](const auto& left, const auto& right) { return left.second.sequence < right.second.sequence; });
        m_keyCount -= oldest->second.keys.size();
        m_byIncarnation.erase(oldest);
    }
}

std::optional<key_answer> handover_store::answer(
    const std::string& incarnation, const key_question& question) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_byIncarnation.find(incarnation);
    if (found == m_byIncarnation.end()) {
        return std::nullopt;
    }
    const auto& handover = found->second;
    auto key = handover.keys.find(question.key);
    if (key == handover.keys.end()) {
        return key_answer {
            handover.isComplete ? key_answer_status::cancelled : key_answer_status::undetermined, nullptr
        };
    }
    bool isSameRequest = key->second.requestHash == 0 || key->second.requestHash == question.requestHash;
    return isSameRequest ? fromMessage(key->second.answer)
                         : key_answer { key_answer_status::otherRequest, nullptr };
}

std::vector<peer::key_handover> handover_store::parts(std::size_t partSize) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peer::key_handover> all;
    for (const auto& [incarnation, handover] : m_byIncarnation) {
        peer::key_handover part { incarnation, {}, false };
        for (const auto& [key, outcome] : handover.keys) {
            part.keys.push_back(outcome);
            if (part.keys.size() == partSize) {
                all.push_back(part);
                part.keys.clear();
            }
        }
        part.isLast = handover.isComplete;
        all.push_back(std::move(part));
    }
    return all;
}

std::vector<peer::key_handover> toParts(
    const std::string& incarnation, const std::vector<dedup::settled_key>& keys, std::size_t partSize)
{
    std::vector<peer::key_handover> all;
    peer::key_handover part { incarnation, {}, false };
    for (const auto& each : keys) {
        auto answer = toMessage({ toAnswerStatus(each.state), each.response }, maxHandoverBodyBytes);
        part.keys.push_back({ each.key, static_cast<int>(each.state), each.requestHash, std::move(answer) });
        if (part.keys.size() == partSize) {
            all.push_back(part);
            part.keys.clear();
        }
    }
    part.isLast = true;
    all.push_back(std::move(part));
    return all;
}

}
