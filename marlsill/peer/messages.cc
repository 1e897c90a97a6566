#include "marlsill/peer/messages.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace marlsill::peer {

namespace {

    using nlohmann::json;

    constexpr std::size_t maxTextBytes = 1536 * 1024;
    constexpr std::size_t maxListItems = 20'000;

    // Appends the fields of a message to a JSON array.
    class field_writer {
    public:
        explicit field_writer(json& out)
            : m_out(out)
        {
        }

        void operator()(const std::string& value)
        {
            m_out.push_back(json::binary({ value.begin(), value.end() }));
        }
        void operator()(bool value) { m_out.push_back(value); }
        void operator()(int value) { m_out.push_back(value); }
        void operator()(std::int64_t value) { m_out.push_back(value); }
        void operator()(std::uint64_t value) { m_out.push_back(value); }
        void operator()(double value) { m_out.push_back(value); }
        void operator()(member_state value) { m_out.push_back(static_cast<int>(value)); }

        template <typename Item> void operator()(const std::vector<Item>& items)
        {
            json list = json::array();
            for (const auto& each : items) {
                field_writer inner(list);
                inner(each);
            }
            m_out.push_back(std::move(list));
        }

        template <typename Struct> void operator()(const Struct& value)
        {
            json fields = json::array();
            field_writer inner(fields);
            visitFields(value, inner);
            m_out.push_back(std::move(fields));
        }

    private:
        json& m_out;
    };

    // Reads the fields of a message from a JSON array in order. After the first invalid field, the
    // remaining ones are left unchanged.
    class field_reader {
    public:
        explicit field_reader(const json& fields)
            : m_fields(fields)
            , m_isValid(fields.is_array())
        {
        }

        // Returns whether every field was present and valid and the array has no further elements.
        bool isComplete() const { return m_isValid && m_next == m_fields.size(); }

        void operator()(std::string& value)
        {
            const auto* field = next();
            if (check(field && field->is_binary() && field->get_binary().size() <= maxTextBytes)) {
                const auto& bytes = field->get_binary();
                value.assign(bytes.begin(), bytes.end());
            }
        }

        void operator()(bool& value)
        {
            const auto* field = next();
            if (check(field && field->is_boolean())) {
                value = field->get<bool>();
            }
        }

        void operator()(std::uint64_t& value)
        {
            const auto* field = next();
            if (check(field && field->is_number_unsigned())) {
                value = field->get<std::uint64_t>();
            }
        }

        void operator()(std::int64_t& value)
        {
            const auto* field = next();
            bool isSigned = field && field->is_number_integer() && !field->is_number_unsigned();
            bool isRepresentable = field && field->is_number_unsigned()
                && field->get<std::uint64_t>() <= std::uint64_t(std::numeric_limits<std::int64_t>::max());
            if (check(isSigned || isRepresentable)) {
                value = field->get<std::int64_t>();
            }
        }

        void operator()(int& value)
        {
            std::int64_t number64 = 0;
            (*this)(number64);
            if (check(number64 >= std::numeric_limits<int>::min()
                    && number64 <= std::numeric_limits<int>::max())) {
                value = static_cast<int>(number64);
            }
        }

        void operator()(double& value)
        {
            const auto* field = next();
            if (check(field && field->is_number())) {
                value = field->get<double>();
                check(std::isfinite(value));
            }
        }

        void operator()(member_state& value)
        {
            int number = 0;
            (*this)(number);
            if (check(number >= 0 && number <= static_cast<int>(member_state::gone))) {
                value = static_cast<member_state>(number);
            }
        }

        template <typename Item> void operator()(std::vector<Item>& items)
        {
            const auto* field = next();
            if (!check(field && field->is_array() && field->size() <= maxListItems)) {
                return;
            }
            field_reader inner(*field);
            items.resize(field->size());
            for (auto& each : items) {
                inner(each);
            }
            check(inner.isComplete());
        }

        template <typename Struct> void operator()(Struct& value)
        {
            const auto* field = next();
            if (!check(field && field->is_array())) {
                return;
            }
            field_reader inner(*field);
            visitFields(value, inner);
            check(inner.isComplete());
        }

    private:
        const json* next() { return m_isValid && m_next < m_fields.size() ? &m_fields[m_next++] : nullptr; }

        bool check(bool condition)
        {
            m_isValid = m_isValid && condition;
            return m_isValid;
        }

        const json& m_fields;
        std::size_t m_next = 0;
        bool m_isValid;
    };

    // Calls `visit` with each field of a message in wire order. `Value` may be const.
    template <typename Value, typename Visit> void visitFields(Value& value, Visit& visit)
    {
        using type = std::remove_const_t<Value>;
        auto visitAll = [&](auto&... fields) { (visit(fields), ...); };
        if constexpr (std::is_same_v<type, hello>) {
            visitAll(value.version, value.incarnation, value.peerAddress, value.nonce);
        } else if constexpr (std::is_same_v<type, hello_reply>) {
            visitAll(value.incarnation, value.peerAddress, value.nonce, value.proof);
        } else if constexpr (std::is_same_v<type, hello_confirm>) {
            visitAll(value.proof);
        } else if constexpr (std::is_same_v<type, heartbeat> || std::is_same_v<type, heartbeat_echo>) {
            visitAll(value.number);
        } else if constexpr (std::is_same_v<type, member_record>) {
            visitAll(value.incarnation, value.name, value.failureDomain, value.region, value.callerAddress,
                value.peerAddress, value.startedAt, value.counter, value.state, value.successor);
        } else if constexpr (std::is_same_v<type, member_update>) {
            visitAll(value.records);
        } else if constexpr (std::is_same_v<type, member_digest>) {
            visitAll(value.buckets, value.generation, value.wantsReply);
        } else if constexpr (std::is_same_v<type,
                                 config_head_request> || std::is_same_v<type, acknowledgement>) {
            visitAll();
        } else if constexpr (std::is_same_v<type, config_head_reply>) {
            visitAll(value.head);
        } else if constexpr (std::is_same_v<type, config_blob_request>) {
            visitAll(value.hashes);
        } else if constexpr (std::is_same_v<type, config_blob_reply>) {
            visitAll(value.blobs);
        } else if constexpr (std::is_same_v<type, key_lookup_request>) {
            visitAll(value.key, value.requestHash);
        } else if constexpr (std::is_same_v<type, key_lookup_reply>) {
            visitAll(value.status, value.httpStatus, value.contentType, value.body);
        } else if constexpr (std::is_same_v<type, handed_over_key>) {
            visitAll(value.key, value.state, value.requestHash, value.answer);
        } else if constexpr (std::is_same_v<type, key_handover>) {
            visitAll(value.incarnation, value.keys, value.isLast);
        } else if constexpr (std::is_same_v<type, suspicion_report>) {
            visitAll(value.fingerprint, value.level, value.service, value.reporter);
        } else if constexpr (std::is_same_v<type, upstream_counts>) {
            visitAll(value.upstream, value.runs, value.failures, value.connectionLosses, value.refusals,
                value.latencies, value.logLatencySum, value.logLatencySquareSum);
        } else if constexpr (std::is_same_v<type, evidence_report>) {
            visitAll(value.service, value.failureDomain, value.counts);
        } else if constexpr (std::is_same_v<type, upstream_decision>) {
            visitAll(value.upstream, value.weight, value.ejectedUntil);
        } else if constexpr (std::is_same_v<type, service_decisions>) {
            visitAll(value.service, value.sentAt, value.decisions);
        } else {
            visitAll(value.generation); // config_announcement, config_confirmation and config_confirmed.
        }
    }

    // Returns an empty message of the type with this number, or std::nullopt if there is none.
    template <std::size_t Index = 0> std::optional<message> makeEmptyMessage(std::size_t number)
    {
        if constexpr (Index < std::variant_size_v<message>) {
            return number == Index ? std::optional<message>(std::in_place, std::in_place_index<Index>)
                                   : makeEmptyMessage<Index + 1>(number);
        } else {
            return std::nullopt;
        }
    }

}

std::string encode(const envelope& sent)
{
    json array = json::array({ sent.body.index(), sent.request, sent.isReply });
    field_writer writer(array);
    std::visit([&](const auto& body) { writer(body); }, sent.body);
    std::string bytes;
    json::to_cbor(array, bytes);
    return bytes;
}

std::optional<envelope> decode(std::string_view bytes, reason& why)
{
    auto value = json::from_cbor(bytes, true, false);
    bool hasHeader = value.is_array() && value.size() == 4 && value[0].is_number_unsigned()
        && value[1].is_number_unsigned() && value[2].is_boolean() && value[3].is_array();
    if (!hasHeader) {
        return fail(why, reason_code::invalid, "malformed message");
    }
    auto body = makeEmptyMessage(value[0].get<std::size_t>());
    if (!body) {
        return fail(why, reason_code::invalid, "unknown message type");
    }
    envelope received { value[1].get<std::uint64_t>(), value[2].get<bool>(), std::move(*body) };
    field_reader reader(value[3]);
    std::visit([&](auto& fields) { visitFields(fields, reader); }, received.body);
    if (!reader.isComplete()) {
        return fail(why, reason_code::invalid, "malformed message fields");
    }
    return received;
}

}
