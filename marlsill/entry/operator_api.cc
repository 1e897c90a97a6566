#include "marlsill/entry/operator_api.h"

#include "marlsill/base/hash.h"
#include "marlsill/base/random.h"
#include "marlsill/http/message_writer.h"

#include <nlohmann/json.hpp>

namespace marlsill::entry {

namespace {

    using config::document_kind;
    using config::submit_status;

    constexpr std::chrono::milliseconds ioTimeout { 30'000 };
    constexpr std::chrono::milliseconds submitTimeout { 60'000 };
    constexpr std::size_t maxDocumentBytes = 64 * 1024 * 1024;

    std::string_view toText(submit_status status)
    {
        switch (status) {
        case submit_status::accepted:
            return "accepted";
        case submit_status::refused:
            return "refused";
        case submit_status::conflict:
            return "conflict";
        case submit_status::notAccepted:
            return "not-accepted";
        case submit_status::unknown:
            break;
        }
        return "unknown";
    }

    int toHttpStatus(submit_status status)
    {
        switch (status) {
        case submit_status::accepted:
            return 200;
        case submit_status::refused:
            return 400;
        case submit_status::conflict:
            return 409;
        case submit_status::notAccepted:
            return 503;
        case submit_status::unknown:
            break;
        }
        return 504;
    }

    http::response_message jsonResponse(int status, const nlohmann::json& value)
    {
        return http::makeResponse(status, "application/json", value.dump() + "\n");
    }

    http::response_message errorResponse(int status, const std::string& text)
    {
        return jsonResponse(status, { { "status", "failed" }, { "text", text } });
    }

}

bool operator_api::serve(http::channel& connection)
{
    http::request_message request;
    auto limit = deadlineAfter(ioTimeout);
    auto status = http::readRequest(connection, request, { .maxBodyBytes = maxDocumentBytes }, limit);
    if (status == http::read_status::closedBeforeStart) {
        return false;
    }
    bool isComplete = status == http::read_status::complete;
    auto message = isComplete ? handleRequest(request) : errorResponse(400, "malformed request");
    message.head.set("Connection", "Close");
    connection.write(http::serialize(message, request.head.getMethod()), deadlineAfter(ioTimeout));
    return false;
}

bool operator_api::isAuthorized(const http::request_message& request) const
{
    return equalInConstantTime(request.head.get("Authorization", ""), "Bearer " + m_dependencies.operatorKey);
}

http::response_message operator_api::handleRequest(const http::request_message& request)
{
    const auto& method = request.head.getMethod();
    const auto& target = request.head.getURI();
    if (target == "/metrics" && method == "GET") {
        return http::makeResponse(200, "text/plain; version=0.0.4", m_dependencies.metricsText());
    }
    if (!isAuthorized(request)) {
        return errorResponse(401, "the operator key is missing or wrong");
    }
    if (target == "/v1/config/inventory" || target == "/v1/config/rules") {
        auto kind = target == "/v1/config/inventory" ? document_kind::inventory : document_kind::rules;
        if (method == "POST") {
            return submit(kind, request);
        }
        return getDocument(kind);
    }
    if (target == "/v1/status") {
        return http::makeResponse(200, "application/json", m_dependencies.statusJson());
    }
    constexpr std::string_view explainPrefix = "/v1/explain/";
    if (target.starts_with(explainPrefix)) {
        auto rest = target.substr(explainPrefix.size());
        auto slash = rest.find('/');
        auto explanation = slash == std::string::npos
            ? std::string()
            : m_dependencies.explainJson(rest.substr(0, slash), rest.substr(slash + 1));
        return explanation.empty() ? errorResponse(404, "nothing is known of " + rest)
                                   : http::makeResponse(200, "application/json", explanation);
    }
    return errorResponse(404, "no such resource");
}

http::response_message operator_api::getDocument(document_kind kind) const
{
    auto tree = m_dependencies.tree.get();
    reason why;
    if (kind == document_kind::inventory) {
        auto services = config::inventoryOf(*tree, why);
        return services ? http::makeResponse(200, "application/json",
                   toJson(inventory_document { tree->head().inventoryGeneration, std::move(*services) }))
                        : errorResponse(500, why.text);
    }
    auto services = config::rulesOf(*tree, why);
    return services ? http::makeResponse(200, "application/json",
               toJson(rules_document { tree->head().rulesGeneration, std::move(*services) }))
                    : errorResponse(500, why.text);
}

http::response_message operator_api::submit(document_kind kind, const http::request_message& request)
{
    auto operation = request.head.get("X-Operation-Id", "");
    if (operation.empty() || operation.size() > 64) {
        return errorResponse(400, "X-Operation-Id must hold 1 to 64 characters");
    }
    auto outcome = m_dependencies.submit({ kind, request.body, operation }, deadlineAfter(submitTimeout));
    return jsonResponse(toHttpStatus(outcome.status),
        { { "status", toText(outcome.status) }, { "generation", outcome.generation },
            { "text", outcome.text }, { "operation", operation } });
}

}
