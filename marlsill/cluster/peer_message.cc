#include "marlsill/cluster/peer_message.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marlsill::cluster {

namespace {

    using nlohmann::json;

    constexpr int protocolVersion = 1;
    constexpr std::size_t maxConfigurationBytes = 1024 * 1024; // As the store holds at most.

    // Short names, as every byte between failure domains counts.
    constexpr const char* versionField = "v";
    constexpr const char* senderField = "s";
    constexpr const char* pingField = "p";
    constexpr const char* pongField = "q";
    constexpr const char* digestField = "d";
    constexpr const char* wantsField = "w";
    constexpr const char* membersField = "m";
    constexpr const char* lostField = "l";
    constexpr const char* evidenceField = "e";
    constexpr const char* loadsField = "u";
    constexpr const char* crashesField = "c";
    constexpr const char* stampField = "k";
    constexpr const char* beaconField = "b";
    constexpr const char* wantsConfigurationField = "x";
    constexpr const char* wantsUpstreamsField = "y";
    constexpr const char* configurationField = "g";
    constexpr const char* configurationVersionField = "h";
    constexpr const char* upstreamsField = "n";
    constexpr const char* removedField = "r";
    constexpr const char* baseField = "a";

    std::vector<std::uint8_t> deflate(const std::string& text)
    {
        std::ostringstream out;
        Poco::DeflatingOutputStream stream(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
        stream << text;
        stream.close();
        auto bytes = std::move(out).str();
        return { bytes.begin(), bytes.end() };
    }

    std::optional<std::string> inflate(const std::vector<std::uint8_t>& bytes)
    {
        std::istringstream in(std::string(bytes.begin(), bytes.end()));
        Poco::InflatingInputStream stream(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string text;
        char chunk[4096];
        try {
            while (text.size() < maxConfigurationBytes && stream.good()) {
                stream.read(chunk, sizeof chunk);
                text.append(chunk, static_cast<std::size_t>(stream.gcount()));
            }
        } catch (const std::exception&) {
            return std::nullopt;
        }
        bool isWhole = !stream.bad() && !text.empty() && text.size() < maxConfigurationBytes;
        return isWhole ? std::optional(std::move(text)) : std::nullopt;
    }

    json encodeUpstream(const placement::upstream_entry& one)
    {
        auto warmupMs = millisecondsUntil(one.warmUpUntil, steady_clock::now());
        return json::array({ one.id, one.service, one.address, one.failureDomain, one.slots, one.isLeaving,
            one.warmUpUntil == deadline() ? 0 : warmupMs, one.startedUnixMs, one.version,
            one.isUnconfirmed });
    }

    placement::upstream_entry decodeUpstream(const json& item)
    {
        placement::upstream_entry one { .id = item.at(0).get<std::string>(),
            .service = item.at(1).get<std::string>(),
            .address = item.at(2).get<std::string>(),
            .failureDomain = item.at(3).get<std::string>(),
            .slots = item.at(4).get<int>(),
            .isLeaving = item.at(5).get<bool>() };
        if (auto warmupMs = item.at(6).get<std::int64_t>(); warmupMs > 0) {
            one.warmUpUntil = deadlineAfter(std::chrono::milliseconds(warmupMs));
        }
        one.startedUnixMs = item.at(7).get<std::int64_t>();
        one.version = item.at(8).get<std::uint64_t>();
        one.isUnconfirmed = item.at(9).get<bool>();
        return one;
    }

    template <typename Items, typename Encode>
    void put(json& value, const char* name, const Items& items, Encode encodeOne)
    {
        if (items.empty()) {
            return;
        }
        auto list = json::array();
        for (const auto& each : items) {
            list.push_back(encodeOne(each));
        }
        value[name] = std::move(list);
    }

    // Calls `decodeOne` for each element of a list that may be absent.
    template <typename Decode> void each(const json& value, const char* name, Decode decodeOne)
    {
        if (auto found = value.find(name); found != value.end()) {
            for (const auto& item : *found) {
                decodeOne(item);
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
        value[wantsField] = true;
    }
    put(value, membersField, message.members, [](const member& one) {
        return json::array({ one.host, one.failureDomain, one.callerAddress, one.incarnation, one.version,
            static_cast<int>(one.state), one.capacity });
    });
    put(value, lostField, message.lost, [](const std::string& one) { return json(one); });
    put(value, evidenceField, message.evidence, [](const placement::upstream_evidence& one) {
        return json::array({ one.upstream, static_cast<int>(one.kind) });
    });
    put(value, loadsField, message.loads, [](const placement::upstream_load& one) {
        return json::array({ one.upstream, one.inFlight, one.latencyMs });
    });
    put(value, crashesField, message.crashes, [](const crash_notice& one) {
        return json::array({ one.print, one.crashes });
    });
    if (message.stamp) {
        const auto& one = *message.stamp;
        value[stampField] = json::array(
            { one.configurationVersion, one.storeVersion, one.upstreamDigest, one.contactAgeMs });
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
    if (!message.configuration.empty()) {
        value[configurationField] = json::binary(deflate(message.configuration));
        value[configurationVersionField] = message.configurationVersion;
    }
    put(value, upstreamsField, message.upstreams, encodeUpstream);
    put(value, removedField, message.removed, [](const std::string& one) { return json(one); });
    if (message.isChange) {
        value[baseField] = message.baseDigest;
    }
    return json::to_cbor(value);
}

std::optional<peer_message> decodePeerMessage(std::span<const std::uint8_t> bytes, reason& why)
{
    try {
        auto value = json::from_cbor(bytes.begin(), bytes.end());
        if (value.at(versionField) != protocolVersion) {
            return fail(why, reason_code::invalid, "unknown version of the peer protocol");
        }
        peer_message message;
        message.sender = value.at(senderField).get<std::string>();
        message.ping = value.value(pingField, std::uint64_t { 0 });
        message.pong = value.value(pongField, std::uint64_t { 0 });
        message.digest = value.value(digestField, std::uint64_t { 0 });
        message.wantsMembers = value.value(wantsField, false);
        each(value, membersField, [&](const json& item) {
            int state = item.at(5).get<int>();
            if (state < 0 || state > static_cast<int>(member_state::leaving)) {
                throw json::other_error::create(599, "unknown member state", &item);
            }
            message.members.push_back(
                { item.at(0).get<std::string>(), item.at(1).get<std::string>(), item.at(2).get<std::string>(),
                    item.at(3).get<std::uint64_t>(), item.at(4).get<std::uint64_t>(),
                    static_cast<member_state>(state), item.at(6).get<double>() });
        });
        each(value, lostField, [&](const json& item) { message.lost.push_back(item.get<std::string>()); });
        each(value, evidenceField, [&](const json& item) {
            int kind = item.at(1).get<int>();
            if (kind >= 0 && kind <= static_cast<int>(placement::lastEvidenceKind)) {
                message.evidence.push_back(
                    { item.at(0).get<std::string>(), static_cast<placement::evidence_kind>(kind) });
            }
        });
        each(value, loadsField, [&](const json& item) {
            message.loads.push_back(
                { item.at(0).get<std::string>(), item.at(1).get<int>(), item.at(2).get<int>() });
        });
        each(value, crashesField, [&](const json& item) {
            message.crashes.push_back({ item.at(0).get<std::uint64_t>(), item.at(1).get<int>() });
        });
        if (auto found = value.find(stampField); found != value.end()) {
            message.stamp
                = knowledge_stamp { found->at(0).get<std::uint64_t>(), found->at(1).get<std::uint64_t>(),
                      found->at(2).get<std::uint64_t>(), found->at(3).get<std::uint64_t>() };
        }
        message.isBeacon = value.value(beaconField, false);
        message.wantsConfiguration = value.value(wantsConfigurationField, false);
        message.wantsUpstreams = value.value(wantsUpstreamsField, false);
        if (auto found = value.find(configurationField); found != value.end()) {
            auto text = inflate(found->get_binary());
            if (!text) {
                return fail(why, reason_code::invalid, "a configuration cannot be decompressed");
            }
            message.configuration = std::move(*text);
        }
        message.configurationVersion = value.value(configurationVersionField, std::uint64_t { 0 });
        each(value, upstreamsField,
            [&](const json& item) { message.upstreams.push_back(decodeUpstream(item)); });
        each(value, removedField,
            [&](const json& item) { message.removed.push_back(item.get<std::string>()); });
        message.isChange = value.contains(baseField);
        message.baseDigest = value.value(baseField, std::uint64_t { 0 });
        return message;
    } catch (const json::exception& error) {
        return fail(why, reason_code::invalid, error.what());
    }
}

}
