#include "marlsill/load/caller.h"

#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

#include <nlohmann/json.hpp>

namespace marlsill::load {

namespace {

    constexpr std::chrono::milliseconds askLimit { 1000 };
    constexpr std::chrono::milliseconds askAgain { 200 };
    constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;

}

directory_view::directory_view(std::vector<Poco::Net::SocketAddress> seeds, std::string service)
    : m_seeds(std::move(seeds))
    , m_service(std::move(service))
{
}

std::vector<entry_address> directory_view::addresses()
{
    std::lock_guard lock(m_mutex);
    if (!hasPassed(m_expires, steady_clock::now())) {
        return m_addresses;
    }
    for (std::size_t attempt = 0; attempt < m_seeds.size(); ++attempt) {
        if (ask(m_seeds[m_nextSeed++ % m_seeds.size()])) {
            return m_addresses;
        }
    }
    m_expires = deadlineAfter(askAgain);
    return m_addresses;
}

bool directory_view::ask(const Poco::Net::SocketAddress& address)
{
    reason why;
    auto answer = http::exchange(address, http::makeRequest("GET", "/v1/addresses?service=" + m_service),
        deadlineAfter(askLimit), why);
    if (!answer || answer->head.getStatus() != 200) {
        return false;
    }
    auto value = nlohmann::json::parse(answer->body, nullptr, false);
    if (!value.is_object() || !value.contains("addresses")) {
        return false;
    }
    std::vector<entry_address> addresses;
    for (const auto& each : value["addresses"]) {
        auto parsed = http::parseAddress(each.value("address", ""));
        if (parsed) {
            addresses.push_back({ *parsed, each.value("key_prefix", "") });
        }
    }
    m_addresses = std::move(addresses);
    m_expires = deadlineAfter(std::chrono::milliseconds(value.value("ttl_ms", 1000)));
    return !m_addresses.empty();
}

call_result caller::send(
    const Poco::Net::SocketAddress& address, const http::request_message& request, deadline limit)
{
    call_result result;
    result.sentTo = address.toString();
    auto kept = m_connections.find(result.sentTo);
    if (kept != m_connections.end() && !kept->second.isIdleAndOpen()) {
        m_connections.erase(kept);
        kept = m_connections.end();
    }
    if (kept == m_connections.end()) {
        auto opened = http::channel::connect(address, limit);
        if (!opened) {
            return result;
        }
        kept = m_connections.emplace(result.sentTo, std::move(*opened)).first;
    }
    auto& connection = kept->second;
    auto status = http::read_status::failed;
    if (connection.write(http::serialize(request), limit) == http::io_status::ok) {
        status = http::readResponse(
            connection, result.answer, request.head.getMethod(), { .maxBodyBytes = maxAnswerBytes }, limit);
    }
    result.isWhole = status == http::read_status::complete;
    if (result.isWhole) {
        result.status = result.answer.head.getStatus();
        result.outcome = result.answer.head.get(http::field::outcome, "");
        result.outcomeReason = result.answer.head.get(http::field::outcomeReason, "");
    }
    if (!result.isWhole || !result.answer.head.getKeepAlive()) {
        m_connections.erase(result.sentTo);
    }
    return result;
}

}
