#pragma once

// The HTTP API for operators, which marlsillctl uses. It also serves the daemon's metrics.
//
//     operator_api api(dependencies);
//     connection_server server(options, [&](http::channel& connection) { return api.serve(connection); });

#include "marlsill/config/config_repository.h"
#include "marlsill/http/channel.h"
#include "marlsill/http/message_reader.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace marlsill::entry {

// Shares the configuration in force on this VM with threads other than the control thread. Thread safe.
class shared_config_tree {
public:
    void set(std::shared_ptr<const config::config_tree> tree)
    {
        std::lock_guard lock(m_mutex);
        m_tree = std::move(tree);
    }

    std::shared_ptr<const config::config_tree> get() const
    {
        std::lock_guard lock(m_mutex);
        return m_tree;
    }

private:
    mutable std::mutex m_mutex; // Guards m_tree.
    std::shared_ptr<const config::config_tree> m_tree = std::make_shared<config::config_tree>();
};

// Objects and callbacks that the API uses. The callbacks run on the threads that call serve(), several at a
// time.
struct operator_api_dependencies {
    std::string operatorKey;
    const shared_config_tree& tree;
    std::function<config::submit_outcome(const config::submission& submitted, deadline limit)> submit;
    std::function<std::string()> statusJson;

    // Returns an empty string if nothing is known about `name`.
    std::function<std::string(std::string_view kind, const std::string& name)> explainJson;

    std::function<std::string()> metricsText;
};

// Serves the operator API. All of it but /metrics requires the operator key as a bearer token. Thread safe.
class operator_api {
public:
    explicit operator_api(operator_api_dependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    // Reads one request and writes its response. Always returns false: each connection serves one request.
    bool serve(http::channel& connection);

private:
    http::response_message handleRequest(const http::request_message& request);
    http::response_message getDocument(config::document_kind kind) const;
    http::response_message submit(config::document_kind kind, const http::request_message& request);
    bool isAuthorized(const http::request_message& request) const;

    operator_api_dependencies m_dependencies;
};

}
