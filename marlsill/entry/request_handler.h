#pragma once

// Serves the requests of callers: queries of the directory, and requests that are routed to a service.
//
//     request_handler handler(dependencies, options);
//     connection_server server(serverOptions, [&](http::channel& caller) { return handler.serve(caller); });

#include "marlsill/dedup/key_ledger.h"
#include "marlsill/entry/dispatcher.h"
#include "marlsill/entry/key_resolution.h"
#include "marlsill/entry/outcome_facts.h"
#include "marlsill/routing/snapshot.h"

#include <atomic>
#include <functional>

namespace marlsill::entry {

// Options of a request_handler.
struct handler_options {
    std::string incarnation; // Of this VM.
    http::read_limits requestLimits;
    std::chrono::milliseconds requestReadTimeout { 10'000 }; // For the header and the body of one request.
    std::chrono::milliseconds directoryTtl { 5'000 }; // How long callers may cache a directory response.
};

// Objects and functions that a request_handler uses. They must outlive it.
struct handler_dependencies {
    const routing::snapshot_holder& snapshots;
    dispatcher& requests;
    dedup::key_ledger& ledger;
    resolve_function resolve;
    claim_function claim;
    report_outcome_function report;
};

// Serves requests from any number of connections. Thread safe.
class request_handler {
public:
    request_handler(handler_dependencies dependencies, handler_options options);

    // Reads one request and responds to it. Returns whether the connection stays open.
    bool serve(http::channel& caller);

    // Closes each connection after its next response, which carries "Connection: Close".
    void closeAfterResponses() { m_closesAfterResponses = true; }

    // Ends the waits for what other VMs know of keys, and refuses all later requests as not run.
    void expireRequests() { m_isExpired = true; }

    // Sets whether requests can be routed. Until then they are rejected with status 503 as not run.
    void setReady(bool isReady) { m_isReady = isReady; }

    bool isReady() const { return m_isReady.load(); }

private:
    struct request_context;

    // Handles one request and returns the response. Sets `isResponseSent` if it was already streamed to the
    // caller, and `mustClose` if the connection is unusable.
    http::response_message handle(
        http::channel& caller, const http::request_message& request, bool& isResponseSent, bool& mustClose);
    http::response_message makeDirectoryResponse(const http::request_message& request) const;
    dispatch_result runWithoutKey(const request_context& context);
    dispatch_result runWithKey(const request_context& context, const std::string& key);
    dispatch_result runWithLocalKey(const request_context& context, const std::string& key);
    // Asks the incarnation that the key names for the outcome; never dispatches the request.
    dispatch_result runWithRemoteKey(const request_context& context, const std::string& key);
    // Claims a key that names no incarnation, and continues with the internal key that it maps to.
    dispatch_result runWithClaimedKey(const request_context& context, const std::string& key);
    dispatch_result dispatch(const request_context& context, dedup::key_entry* key);
    bool writeResponse(
        http::channel& caller, http::response_message message, const std::string& method, bool keepAlive);

    handler_dependencies m_dependencies;
    const handler_options m_options;
    std::atomic<bool> m_closesAfterResponses = false;
    std::atomic<bool> m_isExpired = false;
    std::atomic<bool> m_isReady = false;
};

// Returns the directory entry of one service as JSON: the VMs of its serving set, those in the failure domain
// `nearDomain` first.
std::string directoryJson(const routing::routed_service& service, std::string_view nearDomain,
    wall_deadline now, std::chrono::milliseconds ttl);

}
