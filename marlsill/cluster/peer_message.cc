#include "marlsill/cluster/peer_message.h"

#include "marlsill/cluster/cbor_document.h"

#include <algorithm>
#include <cmath>
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
    constexpr const char* buildField = "bd";
    constexpr const char* digestField = "d";
    constexpr const char* wantsMembersField = "w";
    constexpr const char* memberDigestsField = "md"; // 4 bytes each, the lowest first.
    constexpr const char* wantedBucketsField = "mw";
    constexpr const char* membersField = "m";
    constexpr const char* unreachableField = "l";
    constexpr const char* evidenceField = "e";
    constexpr const char* loadsField = "u";
    constexpr const char* wantsEvidenceField = "h";
    constexpr const char* crashesField = "c";
    constexpr const char* crashDigestField = "i";
    constexpr const char* crashRequestField = "f";
    constexpr const char* crashAnswerField = "j"; // Request, number of the part, number of parts.
    constexpr const char* limitsField = "o";
    constexpr const char* leavingField = "lv";
    constexpr const char* permitRequestsField = "t";
    constexpr const char* permitsField = "z";
    constexpr const char* tokenRequestsField = "ar";
    constexpr const char* tokenAnswersField = "as";
    constexpr const char* shareRequestsField = "aq";
    constexpr const char* shareAnswersField = "ag";
    constexpr const char* freshnessQueryField = "fq";
    constexpr const char* freshnessAnswerField = "fa"; // Query, version of the configuration, age in ms.
    constexpr const char* summaryField = "k";
    constexpr const char* beaconField = "b";
    constexpr const char* availabilityField = "sa"; // Age and span in ms; see availability_report.
    constexpr const char* readingField = "sr"; // Age in ms and host; see store_reading.
    constexpr const char* wantsConfigurationField = "x";
    constexpr const char* wantsUpstreamsField = "y";
    constexpr const char* configurationField = "gp"; // A part; see configuration_part.
    constexpr const char* upstreamsField = "n";
    constexpr const char* removedField = "r";
    constexpr const char* baseDigestField = "a";

    constexpr std::size_t maxLoggedBuild = 24; // Characters.
    constexpr std::chrono::milliseconds maxNoticeAge { 60'000 }; // Longer than any datagram takes.

    json encodeConfiguration(const configuration_part& part)
    {
        return json::array({ part.version, part.textDigest, part.baseDigest, part.part, part.parts,
            json::binary({ part.bytes.begin(), part.bytes.end() }) });
    }

    configuration_part decodeConfiguration(cbor_items item)
    {
        configuration_part part { .version = item.integer<std::uint64_t>(),
            .textDigest = item.integer<std::uint64_t>(),
            .baseDigest = item.integer<std::uint64_t>(),
            .part = item.integer<int>(),
            .parts = item.integer<int>() };
        auto bytes = item.bytes();
        part.bytes.assign(bytes.begin(), bytes.end());
        return part;
    }

    json encodeUpstream(const placement::upstream_entry& entry)
    {
        auto warmupMs = millisecondsUntil(entry.warmUpUntil, steady_clock::now());
        return json::array({ entry.id, entry.service, entry.address, entry.failureDomain, entry.slots,
            entry.isLeaving, entry.warmUpUntil == deadline() ? 0 : warmupMs, entry.startedUnixMs,
            entry.version, entry.isUnconfirmed });
    }

    placement::upstream_entry decodeUpstream(cbor_items item)
    {
        placement::upstream_entry entry { .id = item.text(),
            .service = item.text(),
            .address = item.text(),
            .failureDomain = item.text(),
            .slots = item.integer<int>(),
            .isLeaving = item.boolean() };
        if (auto warmupMs = item.integer<std::int64_t>(); warmupMs > 0) {
            entry.warmUpUntil = deadlineAfter(std::chrono::milliseconds(warmupMs));
        }
        entry.startedUnixMs = item.integer<std::int64_t>();
        entry.version = item.integer<std::uint64_t>();
        entry.isUnconfirmed = item.boolean();
        return entry;
    }

    json encodeCrash(const placement::crash_record& record)
    {
        return json::array({ record.fingerprint, record.crashes, record.upstream, record.cleared,
            millisecondsUntil(record.expiresAt, steady_clock::now()) });
    }

    // Decodes a crash record. Earlier versions send a total that names no upstream.
    placement::crash_record decodeCrash(cbor_items item)
    {
        constexpr auto retention = placement::crash_quarantine_options().retention;
        placement::crash_record record { .fingerprint = item.integer<std::uint64_t>() };
        record.crashes = item.integer<int>();
        auto left = std::int64_t { retention.count() };
        if (item.hasNext()) {
            record.upstream = item.text();
            record.cleared = item.integer<int>();
            left = std::clamp<std::int64_t>(item.integer<std::int64_t>(), 0, left);
        }
        record.expiresAt = deadlineAfter(std::chrono::milliseconds(left));
        return record;
    }

    // A limit that has ended is sent as null.
    json encodeLimit(const placement::rate_limit_notice& notice)
    {
        auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - notice.observedAt);
        return json::array({ notice.upstream,
            notice.requestsPerSecond ? json(*notice.requestsPerSecond) : json(), age.count() });
    }

    placement::rate_limit_notice decodeLimit(cbor_items item)
    {
        placement::rate_limit_notice notice { .upstream = item.text() };
        if (!item.skipNull()) {
            notice.requestsPerSecond = item.number();
        }
        auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, item.integer<std::int64_t>()));
        notice.observedAt = steady_clock::now() - age;
        return notice;
    }

    json encodeLeaving(const placement::leaving_notice& notice)
    {
        auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - notice.observedAt);
        return json::array({ notice.upstream, notice.startedUnixMs, std::min(age, maxNoticeAge).count() });
    }

    placement::leaving_notice decodeLeaving(cbor_items item)
    {
        placement::leaving_notice notice { .upstream = item.text(),
            .startedUnixMs = item.integer<std::int64_t>() };
        auto age = std::clamp<std::int64_t>(item.integer<std::int64_t>(), 0, maxNoticeAge.count());
        notice.observedAt = steady_clock::now() - std::chrono::milliseconds(age);
        return notice;
    }

    constexpr int maxTokens = 1'000'000; // More than any burst lends at once.
    constexpr std::int64_t maxTokenDelayMs = 60'000;

    // Returns a number of tokens or requests; 0 for what is none.
    double boundedNumber(double value)
    {
        constexpr double most = 1e9;
        return std::isfinite(value) ? std::clamp(value, 0.0, most) : 0.0;
    }

    json limitItem(const std::string& account, std::uint64_t number, const accounts::account_limit& limit)
    {
        return json::array({ account, number, limit.version, limit.requestsPerSecond, limit.burst });
    }

    accounts::account_limit decodeAccountLimit(cbor_items& item)
    {
        accounts::account_limit limit { .version = item.integer<std::uint64_t>() };
        limit.requestsPerSecond = boundedNumber(item.number());
        limit.burst = boundedNumber(item.number());
        return limit;
    }

    void encodeAccountLimits(json& value, const accounts::limit_message& message)
    {
        auto put = [&](const char* name, const auto& items, auto encodeItem) {
            auto list = json::array();
            for (const auto& each : items) {
                list.push_back(encodeItem(each));
            }
            if (!list.empty()) {
                value[name] = std::move(list);
            }
        };
        put(tokenRequestsField, message.tokenRequests, [](const auto& entry) {
            auto item = limitItem(entry.account, entry.number, entry.limit);
            item.push_back(entry.wanted);
            return item;
        });
        put(tokenAnswersField, message.tokenAnswers, [](const auto& entry) {
            return json::array(
                { entry.account, entry.number, entry.tokens, entry.delay.count(), entry.isLending });
        });
        put(shareRequestsField, message.shareRequests, [](const auto& entry) {
            auto item = limitItem(entry.account, entry.number, entry.limit);
            if (entry.isRelease) {
                item.push_back(entry.tokens);
            }
            return item;
        });
        put(shareAnswersField, message.shareAnswers, [](const auto& entry) {
            return json::array({ entry.account, entry.number, entry.isGranted, entry.tokens });
        });
    }

    accounts::limit_message decodeAccountLimits(const cbor_fields& fields)
    {
        accounts::limit_message message;
        fields.forEachItem(tokenRequestsField, [&](auto item) {
            accounts::token_request entry { .account = item.text(),
                .number = item.template integer<std::uint64_t>() };
            entry.limit = decodeAccountLimit(item);
            entry.wanted = std::clamp(item.template integer<int>(), 0, maxTokens);
            message.tokenRequests.push_back(std::move(entry));
        });
        fields.forEachItem(tokenAnswersField, [&](auto item) {
            accounts::token_answer entry { .account = item.text(),
                .number = item.template integer<std::uint64_t>(),
                .tokens = std::clamp(item.template integer<int>(), 0, maxTokens) };
            entry.delay = std::chrono::milliseconds(
                std::clamp<std::int64_t>(item.template integer<std::int64_t>(), 0, maxTokenDelayMs));
            entry.isLending = item.boolean();
            message.tokenAnswers.push_back(std::move(entry));
        });
        fields.forEachItem(shareRequestsField, [&](auto item) {
            accounts::share_request entry { .account = item.text(),
                .number = item.template integer<std::uint64_t>() };
            entry.limit = decodeAccountLimit(item);
            entry.isRelease = item.hasNext();
            entry.tokens = entry.isRelease ? boundedNumber(item.number()) : 0;
            message.shareRequests.push_back(std::move(entry));
        });
        fields.forEachItem(shareAnswersField, [&](auto item) {
            accounts::share_answer entry { .account = item.text(),
                .number = item.template integer<std::uint64_t>(),
                .isGranted = item.boolean() };
            entry.tokens = boundedNumber(item.number());
            message.shareAnswers.push_back(std::move(entry));
        });
        return message;
    }

    // Returns std::nullopt if an element is missing: without its age, an answer would seem fresher than it
    // is.
    std::optional<freshness_answer> decodeFreshnessAnswer(cbor_items item)
    {
        freshness_answer answer { .query = item.integer<std::uint64_t>(),
            .configurationVersion = item.integer<std::uint64_t>() };
        if (!item.hasNext()) {
            return std::nullopt;
        }
        answer.ageMs = item.integer<std::uint64_t>();
        return answer;
    }

    // Returns std::nullopt if an element is missing: without its age, a report would seem fresher than it is.
    std::optional<availability_report> decodeAvailability(cbor_items item)
    {
        availability_report report { .ageMs = item.integer<std::uint64_t>() };
        if (!item.hasNext()) {
            return std::nullopt;
        }
        report.spanMs = item.integer<std::uint64_t>();
        return report;
    }

    // Returns std::nullopt if an element is missing: nobody would know who has read the store.
    std::optional<store_reading> decodeReading(cbor_items item)
    {
        store_reading reading { .ageMs = item.integer<std::uint64_t>() };
        if (!item.hasNext()) {
            return std::nullopt;
        }
        reading.reader = item.text();
        return reading;
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
    if (!message.build.empty()) {
        value[buildField] = message.build;
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
        auto record = json::array({ entry.host, entry.failureDomain, entry.callerAddress, entry.incarnation,
            entry.version, static_cast<int>(entry.state), entry.capacity });
        // Earlier versions ignore either of these.
        if (entry.isCutOff || entry.hasStaleKeys) {
            record.push_back(entry.isCutOff);
        }
        if (entry.hasStaleKeys) {
            record.push_back(true);
        }
        return record;
    });
    putList(value, unreachableField, message.unreachableHosts,
        [](const std::string& entry) { return json(entry); });
    putList(value, evidenceField, message.evidence, [](const placement::upstream_evidence& entry) {
        return json::array({ entry.upstream, static_cast<int>(entry.kind) });
    });
    putList(value, loadsField, message.loads, [](const placement::upstream_load& entry) {
        return json::array({ entry.upstream, entry.inFlight, entry.latencyMs });
    });
    if (message.wantsEvidence) {
        value[wantsEvidenceField] = true;
    }
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
    putList(value, leavingField, message.leaving, encodeLeaving);
    putList(value, permitRequestsField, message.permitRequests, [](const permit_request& entry) {
        return json::array({ entry.upstream, entry.maxDelay.count() });
    });
    putList(value, permitsField, message.permits, [](const issued_permit& entry) {
        return json::array({ entry.upstream, entry.answer.isGranted, entry.answer.delay.count() });
    });
    encodeAccountLimits(value, message.accountLimits);
    if (message.freshnessQuery) {
        value[freshnessQueryField] = message.freshnessQuery;
    }
    if (message.freshnessAnswer) {
        const auto& entry = *message.freshnessAnswer;
        value[freshnessAnswerField] = json::array({ entry.query, entry.configurationVersion, entry.ageMs });
    }
    if (message.summary) {
        const auto& entry = *message.summary;
        value[summaryField] = json::array({ entry.configurationVersion, entry.storePosition.version,
            entry.upstreamDigest, entry.contactAgeMs });
        if (entry.storePosition.era != 0) {
            value[summaryField].push_back(entry.storePosition.era); // Earlier builds ignore it.
        }
    }
    if (message.isBeacon) {
        value[beaconField] = true;
    }
    if (message.availability) {
        value[availabilityField] = json::array({ message.availability->ageMs, message.availability->spanMs });
    }
    if (message.reading) {
        value[readingField] = json::array({ message.reading->ageMs, message.reading->reader });
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
    auto document = cbor_document::parse(bytes, why);
    if (!document) {
        return std::nullopt;
    }
    auto fields = document->fields();
    if (fields.integer<int>(versionField) != protocolVersion) {
        return fail(why, reason_code::invalid, "unsupported peer protocol version");
    }
    if (!fields.contains(senderField)) {
        return fail(why, reason_code::invalid, "no sender");
    }
    peer_message message;
    message.sender = fields.text(senderField);
    message.ping = fields.integer<std::uint64_t>(pingField);
    message.pong = fields.integer<std::uint64_t>(pongField);
    message.build = fields.text(buildField);
    message.digest = fields.integer<std::uint64_t>(digestField);
    message.wantsMembers = fields.boolean(wantsMembersField);
    message.memberDigests = toDigests(fields.bytes(memberDigestsField));
    fields.forEachValue(wantedBucketsField,
        [&](auto item) { message.wantedBuckets.push_back(item.template integer<std::size_t>()); });
    fields.forEachItem(membersField, [&](auto item) {
        member record { .host = item.text(),
            .failureDomain = item.text(),
            .callerAddress = item.text(),
            .incarnation = item.template integer<std::uint64_t>(),
            .version = item.template integer<std::uint64_t>() };
        auto state = item.template integer<unsigned>();
        record.state = static_cast<member_state>(state);
        record.capacity = item.number();
        record.isCutOff = item.hasNext() && item.boolean();
        record.hasStaleKeys = item.hasNext() && item.boolean();
        if (state <= static_cast<unsigned>(member_state::leaving)) {
            message.members.push_back(std::move(record));
        }
    });
    fields.forEachValue(
        unreachableField, [&](auto item) { message.unreachableHosts.push_back(item.text()); });
    fields.forEachItem(evidenceField, [&](auto item) {
        auto upstream = item.text();
        auto kind = item.template integer<int>();
        if (kind >= 0 && kind <= static_cast<int>(placement::lastEvidenceKind)) {
            message.evidence.push_back({ std::move(upstream), static_cast<placement::evidence_kind>(kind) });
        }
    });
    fields.forEachItem(loadsField, [&](auto item) {
        message.loads.push_back({ .upstream = item.text(),
            .inFlight = item.template integer<int>(),
            .latencyMs = item.template integer<int>() });
    });
    message.wantsEvidence = fields.boolean(wantsEvidenceField);
    message.crashDigest = fields.integer<std::uint64_t>(crashDigestField);
    fields.forEachItem(crashesField, [&](auto item) { message.crashes.push_back(decodeCrash(item)); });
    message.crashRequest = fields.integer<std::uint64_t>(crashRequestField);
    if (auto answer = fields.items(crashAnswerField)) {
        message.crashAnswer = answer->integer<std::uint64_t>();
        message.crashPart = answer->integer<int>();
        message.crashParts = answer->integer<int>();
    }
    fields.forEachItem(limitsField, [&](auto item) { message.limits.push_back(decodeLimit(item)); });
    fields.forEachItem(leavingField, [&](auto item) { message.leaving.push_back(decodeLeaving(item)); });
    fields.forEachItem(permitRequestsField, [&](auto item) {
        message.permitRequests.push_back({ .upstream = item.text(),
            .maxDelay = std::chrono::milliseconds(item.template integer<std::int64_t>()) });
    });
    fields.forEachItem(permitsField, [&](auto item) {
        issued_permit permit { .upstream = item.text() };
        permit.answer.isGranted = item.boolean();
        permit.answer.delay = std::chrono::milliseconds(item.template integer<std::int64_t>());
        message.permits.push_back(std::move(permit));
    });
    message.accountLimits = decodeAccountLimits(fields);
    message.freshnessQuery = fields.integer<std::uint64_t>(freshnessQueryField);
    if (auto answer = fields.items(freshnessAnswerField)) {
        message.freshnessAnswer = decodeFreshnessAnswer(*answer);
    }
    if (auto summary = fields.items(summaryField)) {
        message.summary = store_summary { .configurationVersion = summary->integer<std::uint64_t>(),
            .storePosition = { .version = summary->integer<std::uint64_t>() },
            .upstreamDigest = summary->integer<std::uint64_t>(),
            .contactAgeMs = summary->integer<std::uint64_t>() };
        if (summary->hasNext()) {
            message.summary->storePosition.era = summary->integer<std::uint64_t>();
        }
    }
    message.isBeacon = fields.boolean(beaconField);
    if (auto report = fields.items(availabilityField)) {
        message.availability = decodeAvailability(*report);
    }
    if (auto reading = fields.items(readingField)) {
        message.reading = decodeReading(*reading);
    }
    message.wantsConfiguration = fields.boolean(wantsConfigurationField);
    message.wantsUpstreams = fields.boolean(wantsUpstreamsField);
    if (auto part = fields.items(configurationField)) {
        message.configuration = decodeConfiguration(*part);
    }
    fields.forEachItem(upstreamsField, [&](auto item) { message.upstreams.push_back(decodeUpstream(item)); });
    fields.forEachValue(removedField, [&](auto item) { message.removed.push_back(item.text()); });
    message.isDelta = fields.contains(baseDigestField);
    message.baseDigest = fields.integer<std::uint64_t>(baseDigestField);
    if (document->isMismatched()) {
        return fail(why, reason_code::invalid,
            "a field of another type than expected, from build '" + message.build.substr(0, maxLoggedBuild)
                + "'");
    }
    return message;
}

}
