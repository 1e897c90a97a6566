#include "marlsill/entry/key_resolution.h"

namespace marlsill::entry {

key_answer answerFromLedger(dedup::key_ledger& ledger, const key_question& question)
{
    auto entry = ledger.resolve(question.key, steady_clock::now());
    if (!entry) {
        return { key_answer_status::undetermined, nullptr };
    }
    bool isSameRequest = entry->requestHash() == 0 || entry->requestHash() == question.requestHash;
    if (!isSameRequest) {
        return { key_answer_status::otherRequest, nullptr };
    }
    switch (entry->state()) {
    case dedup::key_state::queued:
    case dedup::key_state::dispatched:
        return { key_answer_status::inProgress, nullptr };
    case dedup::key_state::cancelled:
        return { key_answer_status::cancelled, nullptr };
    case dedup::key_state::finished:
        return { key_answer_status::finished, entry->response() };
    case dedup::key_state::undetermined:
        break;
    }
    return { key_answer_status::undetermined, nullptr };
}

}
