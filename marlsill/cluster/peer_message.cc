#include "marlsill/cluster/peer_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marlsill::cluster {

namespace {

    using nlohmann::json;

    constexpr int protocolVersion = 1;

    // Field names are short to save bandwidth between failure domains.
    constexpr const char* versionField = "v";
    constexpr const char* senderField = "s";
    constexpr const char* pingField = "p";
    constexpr const char* pongField = "q";
    constexpr const char* digestField = "d";
    constexpr const char* wantsMembersField = "w";
    constexpr const char* memberDigestsField = "md"; // 4 bytes each, the lowest first.
    constexpr const char* wantedBucketsField = "mw";
    constexpr const char* membersField = "m";
    constexpr const char* unreachableField = "l";
    constexpr const char* evidenceField = "e";
    constexpr const char* loadsField = "u";
    constexpr const char* crashesField = "c";
    constexpr const char* crashDigestField = "i";
    constexpr const char* crashRequestField = "f";
    constexpr const char* crashAnswerField = "j"; // Request, number of the part, number of parts.
    constexpr const char* limitsField = "o";
    constexpr const char* permitRequestsField = "t";
    constexpr const char* permitsField = "z";
    constexpr const char* summaryField = "k";
    constexpr const char* beaconField = "b";
    constexpr const char* wantsConfigurationField = "x";
    constexpr const char* wantsUpstreamsField = "y";
    constexpr const char* configurationField = "gp"; // A part; see configuration_part.
    constexpr const char* upstreamsField = "n";
    constexpr const char* removedField = "r";
    constexpr const char* baseDigestField = "a";

    json encodeConfiguration(const configuration_part& part)
    {
        return json::array({ part.version, part.textDigest, part.baseDigest, part.part, part.parts,
            json::binary({ part.bytes.begin(), part.bytes.end() }) });
    }

    configuration_part decodeConfiguration(const json& item)
    {
        const auto& bytes = item.at(5).get_binary();
        return { item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint64_t>(),
            item.at(2).get<std::uint64_t>(), item.at(3).get<int>(), item.at(4).get<int>(),
            { bytes.begin(), bytes.end() } };
    }

    json encodeUpstream(const placement::upstream_entry& entry)
    {
        auto warmupMs = millisecondsUntil(entry.warmUpUntil, steady_clock::now());
        return json::array({ entry.id, entry.service, entry.address, entry.failureDomain, entry.slots,
            entry.isLeaving, entry.warmUpUntil == deadline() ? 0 : warmupMs, entry.startedUnixMs,
            entry.version, entry.isUnconfirmed });
    }

    placement::upstream_entry decodeUpstream(const json& item)
    {
        placement::upstream_entry entry { .id = item.at(0).get<std::string>(),
            .service = item.at(1).get<std::string>(),
            .address = item.at(2).get<std::string>(),
            .failureDomain = item.at(3).get<std::string>(),
            .slots = item.at(4).get<int>(),
            .isLeaving = item.at(5).get<bool>() };
        if (auto warmupMs = item.at(6).get<std::int64_t>(); warmupMs > 0) {
            entry.warmUpUntil = deadlineAfter(std::chrono::milliseconds(warmupMs));
        }
        entry.startedUnixMs = item.at(7).get<std::int64_t>();
        entry.version = item.at(8).get<std::uint64_t>();
        entry.isUnconfirmed = item.at(9).get<bool>();
        return entry;
    }

    json encodeCrash(const placement::crash_record& record)
    {
        return json::array({ record.fingerprint, record.crashes, record.upstream, record.cleared,
            millisecondsUntil(record.expiresAt, steady_clock::now()) });
    }

    // Decodes a crash record. Earlier versions send a total that names no upstream.
    placement::crash_record decodeCrash(const json& item)
    {
        constexpr auto retention = placement::crash_quarantine_options().retention;
        auto left = std::int64_t { retention.count() };
        std::string upstream;
        int cleared = 0;
        if (item.size() > 2) {
            upstream = item.at(2).get<std::string>();
            cleared = item.at(3).get<int>();
            left = std::clamp<std::int64_t>(item.at(4).get<std::int64_t>(), 0, left);
        }
        return { item.at(0).get<std::uint64_t>(), std::move(upstream), item.at(1).get<int>(), cleared,
            deadlineAfter(std::chrono::milliseconds(left)) };
    }

    // A limit that has ended is sent as null.
    json encodeLimit(const placement::rate_limit_notice& notice)
    {
        auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - notice.observedAt);
        return json::array({ notice.upstream,
            notice.requestsPerSecond ? json(*notice.requestsPerSecond) : json(), age.count() });
    }

    placement::rate_limit_notice decodeLimit(const json& item)
    {
        auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, item.at(2).get<std::int64_t>()));
        return { item.at(0).get<std::string>(),
            item.at(1).is_null() ? std::nullopt : std::optional(item.at(1).get<double>()),
            steady_clock::now() - age };
    }

    std::vector<std::uint8_t> toBytes(std::span<const std::uint32_t> digests)
    {
        std::vector<std::uint8_t> bytes;
        bytes.reserve(digests.size() * sizeof(std::uint32_t));
        for (auto each : digests) {
            for (std::size_t shift = 0; shift < 32; shift += 8) {
                bytes.push_back(static_cast<std::uint8_t>(each >> shift));
            }
        }
        return bytes;
    }

    std::vector<std::uint32_t> toDigests(std::span<const std::uint8_t> bytes)
    {
        std::vector<std::uint32_t> digests(bytes.size() / sizeof(std::uint32_t));
        for (std::size_t index = 0; index < digests.size() * sizeof(std::uint32_t); ++index) {
            digests[index / sizeof(std::uint32_t)] |= std::uint32_t { bytes[index] }
                << (8 * (index % sizeof(std::uint32_t)));
        }
        return digests;
    }

    template <typename Items, typename Encode>
    void putList(json& value, const char* name, const Items& items, Encode encodeItem)
    {
        if (items.empty()) {
            return;
        }
        auto list = json::array();
        for (const auto& each : items) {
            list.push_back(encodeItem(each));
        }
        value[name] = std::move(list);
    }

    // Calls `decodeItem` for each element of the list `name`, if it is present.
    template <typename Decode> void forEachItem(const json& value, const char* name, Decode decodeItem)
    {
        if (auto found = value.find(name); found != value.end()) {
            for (const auto& item : *found) {
                decodeItem(item);
            }
        }
    }

}

std::vector<std::uint8_t> encode(const peer_message& message)
{
    json value { { versionField, protocolVersion }, { senderField, message.sender } };
    if (message.ping) {
        value[pingField] = message.ping;
    }
    if (message.pong) {
        value[pongField] = message.pong;
    }
    if (message.digest) {
        value[digestField] = message.digest;
    }
    if (message.wantsMembers) {
        value[wantsMembersField] = true;
    }
    if (!message.memberDigests.empty()) {
        value[memberDigestsField] = json::binary(toBytes(message.memberDigests));
    }
    putList(value, wantedBucketsField, message.wantedBuckets, [](std::size_t entry) { return json(entry); });
    putList(value, membersField, message.members, [](const member& entry) {
        return json::array({ entry.host, entry.failureDomain, entry.callerAddress, entry.incarnation,
            entry.version, static_cast<int>(entry.state), entry.capacity });
    });
    putList(value, unreachableField, message.unreachableHosts,
        [](const std::string& entry) { return json(entry); });
    putList(value, evidenceField, message.evidence, [](const placement::upstream_evidence& entry) {
        return json::array({ entry.upstream, static_cast<int>(entry.kind) });
    });
    putList(value, loadsField, message.loads, [](const placement::upstream_load& entry) {
        return json::array({ entry.upstream, entry.inFlight, entry.latencyMs });
    });
    if (message.crashDigest) {
        value[crashDigestField] = message.crashDigest;
    }
    putList(value, crashesField, message.crashes, encodeCrash);
    if (message.crashRequest) {
        value[crashRequestField] = message.crashRequest;
    }
    if (message.crashAnswer) {
        value[crashAnswerField] = json::array({ message.crashAnswer, message.crashPart, message.crashParts });
    }
    putList(value, limitsField, message.limits, encodeLimit);
    putList(value, permitRequestsField, message.permitRequests, [](const permit_request& entry) {
        return json::array({ entry.upstream, entry.maxDelay.count() });
    });
    putList(value, permitsField, message.permits, [](const issued_permit& entry) {
        return json::array({ entry.upstream, entry.answer.isGranted, entry.answer.delay.count() });
    });
    if (message.summary) {
        const auto& entry = *message.summary;
        value[summaryField] = json::array(
            { entry.configurationVersion, entry.storeVersion, entry.upstreamDigest, entry.contactAgeMs });
    }
    if (message.isBeacon) {
        value[beaconField] = true;
    }
    if (message.wantsConfiguration) {
        value[wantsConfigurationField] = true;
    }
    if (message.wantsUpstreams) {
        value[wantsUpstreamsField] = true;
    }
    if (message.configuration) {
        value[configurationField] = encodeConfiguration(*message.configuration);
    }
    putList(value, upstreamsField, message.upstreams, encodeUpstream);
    putList(value, removedField, message.removed, [](const std::string& entry) { return json(entry); });
    if (message.isDelta) {
        value[baseDigestField] = message.baseDigest;
    }
    return json::to_cbor(value);
}

std::optional<peer_message> decodePeerMessage(std::span<const std::uint8_t> bytes, reason& why)
{
    try {
        auto value = json::from_cbor(bytes.begin(), bytes.end());
        if (value.at(versionField) != protocolVersion) {
            return fail(why, reason_code::invalid, "unsupported peer protocol version");
        }
        peer_message message;
        message.sender = value.at(senderField).get<std::string>();
        message.ping = value.value(pingField, std::uint64_t { 0 });
        message.pong = value.value(pongField, std::uint64_t { 0 });
        message.digest = value.value(digestField, std::uint64_t { 0 });
        message.wantsMembers = value.value(wantsMembersField, false);
        if (auto found = value.find(memberDigestsField); found != value.end()) {
            message.memberDigests = toDigests(found->get_binary());
        }
        forEachItem(value, wantedBucketsField,
            [&](const json& item) { message.wantedBuckets.push_back(item.get<std::size_t>()); });
        forEachItem(value, membersField, [&](const json& item) {
            int state = item.at(5).get<int>();
            if (state < 0 || state > static_cast<int>(member_state::leaving)) {
                throw json::other_error::create(599, "unknown member state", &item);
            }
            message.members.push_back(
                { item.at(0).get<std::string>(), item.at(1).get<std::string>(), item.at(2).get<std::string>(),
                    item.at(3).get<std::uint64_t>(), item.at(4).get<std::uint64_t>(),
                    static_cast<member_state>(state), item.at(6).get<double>() });
        });
        forEachItem(value, unreachableField,
            [&](const json& item) { message.unreachableHosts.push_back(item.get<std::string>()); });
        forEachItem(value, evidenceField, [&](const json& item) {
            int kind = item.at(1).get<int>();
            if (kind >= 0 && kind <= static_cast<int>(placement::lastEvidenceKind)) {
                message.evidence.push_back(
                    { item.at(0).get<std::string>(), static_cast<placement::evidence_kind>(kind) });
            }
        });
        forEachItem(value, loadsField, [&](const json& item) {
            message.loads.push_back(
                { item.at(0).get<std::string>(), item.at(1).get<int>(), item.at(2).get<int>() });
        });
        message.crashDigest = value.value(crashDigestField, std::uint64_t { 0 });
        forEachItem(
            value, crashesField, [&](const json& item) { message.crashes.push_back(decodeCrash(item)); });
        message.crashRequest = value.value(crashRequestField, std::uint64_t { 0 });
        if (auto found = value.find(crashAnswerField); found != value.end()) {
            message.crashAnswer = found->at(0).get<std::uint64_t>();
            message.crashPart = found->at(1).get<int>();
            message.crashParts = found->at(2).get<int>();
        }
        forEachItem(
            value, limitsField, [&](const json& item) { message.limits.push_back(decodeLimit(item)); });
        forEachItem(value, permitRequestsField, [&](const json& item) {
            message.permitRequests.push_back(
                { item.at(0).get<std::string>(), std::chrono::milliseconds(item.at(1).get<std::int64_t>()) });
        });
        forEachItem(value, permitsField, [&](const json& item) {
            message.permits.push_back({ item.at(0).get<std::string>(),
                { item.at(1).get<bool>(), std::chrono::milliseconds(item.at(2).get<std::int64_t>()) } });
        });
        if (auto found = value.find(summaryField); found != value.end()) {
            message.summary
                = store_summary { found->at(0).get<std::uint64_t>(), found->at(1).get<std::uint64_t>(),
                      found->at(2).get<std::uint64_t>(), found->at(3).get<std::uint64_t>() };
        }
        message.isBeacon = value.value(beaconField, false);
        message.wantsConfiguration = value.value(wantsConfigurationField, false);
        message.wantsUpstreams = value.value(wantsUpstreamsField, false);
        if (auto found = value.find(configurationField); found != value.end()) {
            message.configuration = decodeConfiguration(*found);
        }
        forEachItem(value, upstreamsField,
            [&](const json& item) { message.upstreams.push_back(decodeUpstream(item)); });
        forEachItem(value, removedField,
            [&](const json& item) { message.removed.push_back(item.get<std::string>()); });
        message.isDelta = value.contains(baseDigestField);
        message.baseDigest = value.value(baseDigestField, std::uint64_t { 0 });
        return message;
    } catch (const json::exception& error) {
        return fail(why, reason_code::invalid, error.what());
    }
}

}
