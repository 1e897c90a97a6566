#include "marlsill/record/record_file.h"

#include "marlsill/base/hash.h"

#include <nlohmann/json.hpp>

namespace marlsill::record {

namespace {

    using nlohmann::json;

    json toValue(const fact& one)
    {
        json value { { "kind", static_cast<int>(one.kind) }, { "at", one.at } };
        auto setText = [&](const char* name, const std::string& text) {
            if (!text.empty()) {
                value[name] = text;
            }
        };
        auto setNumber = [&](const char* name, std::int64_t number) {
            if (number != 0) {
                value[name] = number;
            }
        };
        setText("name", one.name);
        setText("service", one.service);
        setText("upstream", one.upstream);
        setText("key", one.key);
        setText("told", one.told);
        setText("why", one.why);
        setText("operation", one.operation);
        setNumber("generation", one.generation);
        setNumber("count", one.count);
        setNumber("bad", one.bad);
        setNumber("slow", one.slow);
        setNumber("until", one.until);
        for (const auto& each : one.capacity) {
            value["capacity"].push_back({ each.upstream, each.slots, each.counts });
        }
        return value;
    }

    fact toFact(const json& value)
    {
        fact one;
        one.kind = static_cast<fact_kind>(value.at("kind").get<int>());
        one.at = value.at("at").get<std::int64_t>();
        one.name = value.value("name", "");
        one.service = value.value("service", "");
        one.upstream = value.value("upstream", "");
        one.key = value.value("key", "");
        one.told = value.value("told", "");
        one.why = value.value("why", "");
        one.operation = value.value("operation", "");
        one.generation = value.value("generation", std::int64_t(0));
        one.count = value.value("count", std::int64_t(0));
        one.bad = value.value("bad", std::int64_t(0));
        one.slow = value.value("slow", std::int64_t(0));
        one.until = value.value("until", std::int64_t(0));
        for (const auto& each : value.value("capacity", json::array())) {
            one.capacity.push_back(
                { each.at(0).get<std::string>(), each.at(1).get<std::int64_t>(), each.at(2).get<bool>() });
        }
        return one;
    }

}

std::string toText(read_segment& segment, std::string_view key)
{
    json facts = json::array();
    for (const auto& each : segment.facts) {
        facts.push_back(toValue(each));
    }
    json body { { "incarnation", segment.incarnation }, { "number", segment.number },
        { "previous", segment.previousTag }, { "facts", std::move(facts) } };
    auto text = body.dump();
    segment.tag = hmacSha256Hex(key, text);
    return segment.tag + "\n" + text + "\n";
}

std::optional<read_segment> parseSegment(std::string_view text, std::string_view key, reason& why)
{
    auto lineEnd = text.find('\n');
    if (lineEnd == std::string_view::npos || !text.ends_with('\n')) {
        return fail(why, reason_code::invalid, "malformed segment");
    }
    auto body = text.substr(lineEnd + 1, text.size() - lineEnd - 2);
    if (!equalInConstantTime(text.substr(0, lineEnd), hmacSha256Hex(key, body))) {
        return fail(why, reason_code::invalid, "segment was changed or forged");
    }
    try {
        auto value = json::parse(body);
        read_segment segment { value.at("incarnation").get<std::string>(),
            value.at("number").get<std::int64_t>(), value.at("previous").get<std::string>(),
            std::string(text.substr(0, lineEnd)), {} };
        for (const auto& each : value.at("facts")) {
            segment.facts.push_back(toFact(each));
        }
        return segment;
    } catch (const json::exception&) {
        return fail(why, reason_code::invalid, "malformed segment");
    }
}

}
