#pragma once

// Answers callers: the directory, and every request that a route leads to a service.
//
//     request_handler handler(parts, options);
//     connection_server server(serverOptions, [&](http::channel& caller) { return handler.serve(caller); });

#include "marlsill/dedup/key_ledger.h"
#include "marlsill/entry/dispatcher.h"
#include "marlsill/entry/key_resolution.h"
#include "marlsill/entry/outcome_facts.h"
#include "marlsill/routing/snapshot.h"

#include <atomic>
#include <functional>

namespace marlsill::entry {

// Options of a handler.
struct handler_options {
    std::string incarnation;
    http::read_limits requestLimits;
    std::chrono::milliseconds readLimit { 10'000 }; // For one request's header and body.
    std::chrono::milliseconds directoryTtl { 5'000 };
};

// What the handler works with; all of it outlives the handler.
struct handler_parts {
    const routing::snapshot_holder& snapshots;
    dispatcher& requests;
    dedup::key_ledger& ledger;
    resolve_function resolve;
    claim_function claim;
    report_outcome_function report;
};

// Thread safe.
class request_handler {
public:
    request_handler(handler_parts parts, handler_options options);

    // Reads and answers one request. Returns whether the connection stays open.
    bool serve(http::channel& caller);

    // Makes every later answer ask its caller to close the connection.
    void askToClose() { m_asksToClose = true; }

    // Sets whether requests can be routed; before that they are refused as not run.
    void setReady(bool isReady) { m_isReady = isReady; }

    bool isReady() const { return m_isReady.load(); }

private:
    struct request_view;

    http::response_message answer(
        http::channel& caller, const http::request_message& request, bool& isDone, bool& isBroken);
    http::response_message answerDirectory(const http::request_message& request) const;
    dispatch_result runOnce(const request_view& view);
    dispatch_result runWithKey(const request_view& view, const std::string& key);
    dispatch_result runWithOwnKey(const request_view& view, const std::string& key);
    dispatch_result runWithForeignKey(const request_view& view, const std::string& key);
    dispatch_result runWithClaim(const request_view& view, const std::string& key);
    dispatch_result run(const request_view& view, dedup::key_entry* key);
    bool write(
        http::channel& caller, http::response_message message, const std::string& method, bool keepAlive);

    handler_parts m_parts;
    const handler_options m_options;
    std::atomic<bool> m_asksToClose = false;
    std::atomic<bool> m_isReady = false;
};

// Returns the directory's answer for one service: the serving set, those in `nearDomain` first.
std::string directoryJson(const routing::routed_service& service, std::string_view nearDomain,
    wall_deadline now, std::chrono::milliseconds ttl);

}
