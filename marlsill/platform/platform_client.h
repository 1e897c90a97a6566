#pragma once

// Client of the platform's object API.
//
//     platform_client platform({ .address = address });
//     reason why;
//     auto head = platform.read("config/head", limit, why);
//
// The API, as the stand-in in testing/ serves it: GET, PUT with If-Match or If-None-Match, and GET with
// ?after= and &wait_ms= for a watch, on /objects/NAME; X-Object-Version carries versions; GET /vms lists VMs.

#include "marlsill/http/channel.h"
#include "marlsill/platform/object_store.h"
#include "marlsill/platform/rate_limit.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>

namespace marlsill::platform {

// Options of a client; the rates are this VM's share of what the platform takes.
struct platform_options {
    Poco::Net::SocketAddress address;
    token_bucket_options reads { .perSecond = 20, .burst = 400 };
    token_bucket_options writes { .perSecond = 10, .burst = 200 };
};

// Calls made since the start, for metrics.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t heldBack = 0;
    std::uint64_t failures = 0;
};

// Satisfies object_store. Thread safe; every call blocks until its deadline at most.
class platform_client {
public:
    explicit platform_client(const platform_options& options);

    std::optional<stored_object> read(const std::string& name, deadline limit, reason& why);
    std::optional<object_version> write(const std::string& name, const std::string& value,
        object_version expected, deadline limit, reason& why);
    std::optional<stored_object> watch(
        const std::string& name, object_version after, deadline limit, reason& why);

    // Returns the platform's list of entry VMs.
    std::optional<std::vector<vm_entry>> listVms(deadline limit, reason& why);

    // Returns the names of the objects that begin with `prefix`.
    std::optional<std::vector<std::string>> list(const std::string& prefix, deadline limit, reason& why);

    // Ends the calls that are waiting and makes all later ones fail at once.
    void abort();

    // Returns the counts so far.
    platform_counts counts() const;

private:
    std::optional<stored_object> get(const std::string& target, deadline limit, reason& why);
    http::watched_socket watched() const;
    bool takeRead(reason& why);
    bool takeWrite(reason& why);

    platform_options m_options;
    Poco::Net::StreamSocket m_abortReader; // Readable, as closed, once abort() was called.
    Poco::Net::StreamSocket m_abortWriter;
    mutable std::mutex m_mutex; // Guards the buckets and the counts.
    token_bucket m_reads;
    token_bucket m_writes;
    platform_counts m_counts;
};

static_assert(object_store<platform_client>);

}
