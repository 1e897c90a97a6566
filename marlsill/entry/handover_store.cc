#include "marlsill/entry/handover_store.h"

#include "marlsill/http/message_writer.h"

#include <algorithm>

namespace marlsill::entry {

namespace {

    constexpr std::size_t maxHandedOverBody = 64 * 1024;

    key_answer_status statusOf(dedup::key_state state)
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
    if (known.answer && known.answer->body.size() <= maxBodyBytes) {
        sent.httpStatus = known.answer->head.getStatus();
        sent.contentType = known.answer->head.getContentType();
        sent.body = known.answer->body;
    }
    return sent;
}

key_answer fromMessage(const peer::key_lookup_reply& received)
{
    bool isKnown
        = received.status >= 0 && received.status <= static_cast<int>(key_answer_status::otherRequest);
    key_answer known;
    known.status
        = isKnown ? static_cast<key_answer_status>(received.status) : key_answer_status::undetermined;
    if (known.status == key_answer_status::finished && received.httpStatus != 0) {
        auto message = http::makeResponse(received.httpStatus, received.contentType, received.body);
        known.answer = std::make_shared<http::response_message>(std::move(message));
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
    auto& kept = found->second;
    if (isNew) {
        kept.order = m_nextOrder++;
    }
    for (const auto& each : part.keys) {
        m_keys += kept.keys.insert_or_assign(each.key, each).second ? 1 : 0;
    }
    kept.isComplete = kept.isComplete || part.isLast;
    makeRoom();
}

void handover_store::makeRoom()
{
    while (m_keys > m_options.maxKeys && m_byIncarnation.size() > 1) {
        auto eldest = std::min_element(m_byIncarnation.begin(), m_byIncarnation.end(),
            [](const auto& left, const auto& right) { return left.second.order < right.second.order; });
        m_keys -= eldest->second.keys.size();
        m_byIncarnation.erase(eldest);
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
    const auto& kept = found->second;
    auto key = kept.keys.find(question.key);
    if (key == kept.keys.end()) {
        return key_answer { kept.isComplete ? key_answer_status::cancelled : key_answer_status::undetermined,
            nullptr };
    }
    bool isSame = key->second.requestHash == 0 || key->second.requestHash == question.requestHash;
    return isSame ? fromMessage(key->second.answer) : key_answer { key_answer_status::otherRequest, nullptr };
}

std::vector<peer::key_handover> handover_store::parts(std::size_t partSize) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peer::key_handover> all;
    for (const auto& [incarnation, kept] : m_byIncarnation) {
        peer::key_handover part { incarnation, {}, false };
        for (const auto& [key, outcome] : kept.keys) {
            part.keys.push_back(outcome);
            if (part.keys.size() == partSize) {
                all.push_back(part);
                part.keys.clear();
            }
        }
        part.isLast = kept.isComplete;
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
        auto answer = toMessage({ statusOf(each.state), each.response }, maxHandedOverBody);
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
