#include "marlsill/membership/member_table.h"

#include "marlsill/base/hash.h"

#include <algorithm>

namespace marlsill::membership {

namespace {

    std::size_t bucketOf(std::string_view incarnation) { return fastHash(incarnation) % digestBucketCount; }

    std::uint64_t recordHash(const member_record& record)
    {
        auto text = record.incarnation + '|' + std::to_string(record.counter) + '|'
            + std::to_string(static_cast<int>(record.state)) + '|' + record.successor;
        return fastHash(text);
    }

    bool isServing(const member_record& record)
    {
        return record.state == member_state::alive || record.state == member_state::suspected;
    }

}

bool supersedes(const member_record& left, const member_record& right)
{
    return left.counter != right.counter ? left.counter > right.counter : left.state > right.state;
}

member_table::member_table(member_record self, member_options options, steady_clock::time_point now)
    : m_ownIncarnation(self.incarnation)
    , m_options(options)
{
    m_entries[m_ownIncarnation] = { std::move(self), now };
}

deadline member_table::expiryOf(const member_record& record, steady_clock::time_point now) const
{
    switch (record.state) {
    case member_state::suspected:
        return now + m_options.suspicionTimeout;
    case member_state::leaving:
        return now + m_options.leavingTimeout;
    case member_state::gone:
        return now + m_options.goneRetention;
    default:
        return deadline::max();
    }
}

bool member_table::applyIfNewer(const member_record& record, steady_clock::time_point now)
{
    auto found = m_entries.find(record.incarnation);
    if (found != m_entries.end() && !supersedes(record, found->second.record)) {
        return false;
    }
    m_entries[record.incarnation] = { record, expiryOf(record, now) };
    return true;
}

std::vector<member_record> member_table::merge(
    const std::vector<member_record>& records, steady_clock::time_point now)
{
    std::vector<member_record> changes;
    for (const auto& each : records) {
        if (each.incarnation == m_ownIncarnation) {
            if (supersedes(each, self())) {
                auto& own = m_entries[m_ownIncarnation].record;
                own.counter = std::max(own.counter, each.counter) + 1;
                changes.push_back(own);
            }
            continue;
        }
        if (applyIfNewer(each, now)) {
            changes.push_back(each);
            auto retired = markOlderIncarnationsGone(each, now);
            changes.insert(changes.end(), retired.begin(), retired.end());
        }
    }
    return changes;
}

std::vector<member_record> member_table::markOlderIncarnationsGone(
    const member_record& record, steady_clock::time_point now)
{
    std::vector<member_record> changes;
    for (auto& [incarnation, known] : m_entries) {
        bool isOther = incarnation != record.incarnation && incarnation != m_ownIncarnation;
        bool isSameVm = known.record.name == record.name && known.record.peerAddress == record.peerAddress;
        bool isOlder = known.record.startedAt < record.startedAt && known.record.state != member_state::gone;
        if (isOther && isSameVm && isOlder) {
            known.record.state = member_state::gone;
            known.expiresAt = expiryOf(known.record, now);
            changes.push_back(known.record);
        }
    }
    return changes;
}

std::vector<member_record> member_table::suspect(std::string_view incarnation, steady_clock::time_point now)
{
    auto found = m_entries.find(incarnation);
    bool canSuspect = found != m_entries.end() && incarnation != m_ownIncarnation
        && (found->second.record.state == member_state::alive
            || found->second.record.state == member_state::joining);
    if (!canSuspect) {
        return {};
    }
    auto record = found->second.record;
    record.state = member_state::suspected;
    applyIfNewer(record, now);
    return { record };
}

std::vector<member_record> member_table::expire(steady_clock::time_point now)
{
    std::vector<member_record> changes;
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        auto& known = each->second;
        if (!hasPassed(known.expiresAt, now) || each->first == m_ownIncarnation) {
            ++each;
            continue;
        }
        if (known.record.state == member_state::gone) {
            each = m_entries.erase(each);
            continue;
        }
        known.record.state = member_state::gone;
        known.expiresAt = expiryOf(known.record, now);
        changes.push_back(known.record);
        ++each;
    }
    return changes;
}

std::vector<member_record> member_table::setOwnState(member_state state, std::string successor)
{
    auto& own = m_entries[m_ownIncarnation].record;
    own.state = state;
    own.successor = std::move(successor);
    ++own.counter;
    return { own };
}

const member_record* member_table::find(std::string_view incarnation) const
{
    auto found = m_entries.find(incarnation);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<member_record> member_table::all() const
{
    std::vector<member_record> records;
    for (const auto& [incarnation, known] : m_entries) {
        records.push_back(known.record);
    }
    return records;
}

std::vector<member_record> member_table::serving() const
{
    auto records = all();
    std::erase_if(records, [](const auto& record) { return !isServing(record); });
    return records;
}

std::vector<member_record> member_table::present() const
{
    auto records = all();
    std::erase_if(records,
        [](const auto& record) { return !isServing(record) && record.state != member_state::leaving; });
    return records;
}

std::vector<std::uint64_t> member_table::digest() const
{
    std::vector<std::uint64_t> buckets(digestBucketCount, 0);
    for (const auto& [incarnation, known] : m_entries) {
        buckets[bucketOf(incarnation)] ^= recordHash(known.record);
    }
    return buckets;
}

std::vector<member_record> member_table::recordsDifferingFrom(const std::vector<std::uint64_t>& other) const
{
    std::vector<member_record> records;
    if (other.size() != digestBucketCount) {
        return records;
    }
    auto own = digest();
    for (const auto& [incarnation, known] : m_entries) {
        auto bucket = bucketOf(incarnation);
        if (own[bucket] != other[bucket]) {
            records.push_back(known.record);
        }
    }
    return records;
}

}
