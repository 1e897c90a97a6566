#include "marlsill/platform/platform_client.h"

#include "marlsill/http/client.h"

#include <Poco/Net/ServerSocket.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marlsill::platform {

namespace {

    constexpr const char* versionField = "X-Object-Version";
    constexpr std::chrono::milliseconds watchMargin { 500 };

    object_version versionOf(const http::response_message& answer)
    {
        const auto& text = answer.head.get(versionField, "0");
        object_version version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    // Returns a text member of an object; empty if it is missing, std::nullopt if it or `value` has another
    // type.
    std::optional<std::string> stringOf(const nlohmann::json& value, const char* name)
    {
        if (!value.is_object()) {
            return std::nullopt;
        }
        auto found = value.find(name);
        if (found == value.end()) {
            return std::string();
        }
        return found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
    }

    std::nullopt_t failStatus(reason& why, int status)
    {
        switch (status) {
        case 204:
            return fail(why, reason_code::timeout, "nothing newer");
        case 404:
            return fail(why, reason_code::notFound, "no such object");
        case 409:
        case 412:
            return fail(why, reason_code::conflict, "the object has another version");
        case 413:
            return fail(why, reason_code::tooLarge, "the value is above the platform's bound");
        case 429:
        case 503:
            return fail(why, reason_code::unavailable, "platform answers " + std::to_string(status));
        default:
            return fail(why, reason_code::uncertain, "platform answers " + std::to_string(status));
        }
    }

}

platform_client::platform_client(const platform_options& options)
    : m_options(options)
    , m_reads(options.reads, steady_clock::now())
    , m_writes(options.writes, steady_clock::now())
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_abortWriter.connect(listener.address());
    m_abortReader = listener.acceptConnection();
}

void platform_client::abort() { m_abortWriter.shutdown(); }

http::watched_socket platform_client::watched() const { return { m_abortReader.impl()->sockfd() }; }

bool platform_client::takeRead(reason& why)
{
    std::lock_guard lock(m_mutex);
    if (!m_reads.tryTake(steady_clock::now())) {
        ++m_counts.heldBack;
        why = { reason_code::unavailable, "this VM's own read rate is used up" };
        return false;
    }
    ++m_counts.reads;
    return true;
}

bool platform_client::takeWrite(reason& why)
{
    std::lock_guard lock(m_mutex);
    if (!m_writes.tryTake(steady_clock::now())) {
        ++m_counts.heldBack;
        why = { reason_code::unavailable, "this VM's own write rate is used up" };
        return false;
    }
    ++m_counts.writes;
    return true;
}

std::optional<stored_object> platform_client::get(const std::string& target, deadline limit, reason& why)
{
    auto answer = http::exchange(m_options.address, http::makeRequest("GET", target), limit, why, watched());
    if (!answer) {
        std::lock_guard lock(m_mutex);
        ++m_counts.failures;
        why.code = reason_code::unavailable;
        return std::nullopt;
    }
    if (answer->head.getStatus() != 200) {
        return failStatus(why, answer->head.getStatus());
    }
    return stored_object { std::move(answer->body), versionOf(*answer) };
}

std::optional<stored_object> platform_client::read(const std::string& name, deadline limit, reason& why)
{
    if (!takeRead(why)) {
        return std::nullopt;
    }
    return get("/objects/" + name, limit, why);
}

std::optional<object_version> platform_client::write(
    const std::string& name, const std::string& value, object_version expected, deadline limit, reason& why)
{
    if (!takeWrite(why)) {
        return std::nullopt;
    }
    auto request = http::makeRequest("PUT", "/objects/" + name, value);
    if (expected == noVersion) {
        request.head.set("If-None-Match", "*");
    } else {
        request.head.set("If-Match", std::to_string(expected));
    }
    auto answer = http::exchange(m_options.address, std::move(request), limit, why, watched());
    if (!answer) {
        std::lock_guard lock(m_mutex);
        ++m_counts.failures;
        return std::nullopt;
    }
    if (answer->head.getStatus() != 200) {
        return failStatus(why, answer->head.getStatus());
    }
    return versionOf(*answer);
}

std::optional<stored_object> platform_client::watch(
    const std::string& name, object_version after, deadline limit, reason& why)
{
    {
        std::lock_guard lock(m_mutex);
        ++m_counts.watches;
    }
    auto wait = millisecondsUntil(limit, steady_clock::now());
    auto target = "/objects/" + name + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait);
    return get(target, limit + watchMargin, why);
}

std::optional<std::vector<vm_entry>> platform_client::listVms(deadline limit, reason& why)
{
    if (!takeRead(why)) {
        return std::nullopt;
    }
    auto listed = get("/vms", limit, why);
    if (!listed) {
        return std::nullopt;
    }
    auto value = nlohmann::json::parse(listed->value, nullptr, false);
    if (!value.is_array()) {
        return fail(why, reason_code::invalid, "the platform's VM list is malformed");
    }
    std::vector<vm_entry> vms;
    for (const auto& each : value) {
        auto name = stringOf(each, "name");
        auto peerAddress = stringOf(each, "peer_address");
        if (!name || !peerAddress) {
            return fail(why, reason_code::invalid, "the platform's VM list is malformed");
        }
        vms.push_back({ *name, *peerAddress, each.value("leaving", nlohmann::json()) == true });
    }
    return vms;
}

std::optional<std::vector<std::string>> platform_client::list(
    const std::string& prefix, deadline limit, reason& why)
{
    if (!takeRead(why)) {
        return std::nullopt;
    }
    auto listed = get("/objects?prefix=" + prefix, limit, why);
    if (!listed) {
        return std::nullopt;
    }
    auto value = nlohmann::json::parse(listed->value, nullptr, false);
    if (!value.is_array()) {
        return fail(why, reason_code::invalid, "the platform's object list is malformed");
    }
    std::vector<std::string> names;
    for (const auto& each : value) {
        if (each.is_string()) {
            names.push_back(each.get<std::string>());
        }
    }
    return names;
}

platform_counts platform_client::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

}
