#pragma once

// Stand-ins for the scripts of the review: the platform's store, backends, clients, and the entry daemons as
// separate processes. Plain sockets and one thread per connection, on loopback addresses only.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleepMs(int length) { std::this_thread::sleep_for(milliseconds(length)); }

// Exit statuses of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Writes record.txt, one line per event, with the seconds since the start.
class recorder {
public:
    explicit recorder(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    double seconds() const { return std::chrono::duration<double>(steady::now() - m_begin).count(); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        if (!m_file) {
            return;
        }
        std::fprintf(m_file, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    const steady::time_point m_begin = steady::now();
};

inline std::string lower(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

// A message as it came from a socket.
struct message {
    std::string startLine;
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;
    std::string raw; // The head as received.

    std::string field(const std::string& name) const
    {
        auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    std::string word(int index) const
    {
        std::istringstream words(startLine);
        std::string each;
        for (int position = 0; position <= index; ++position) {
            each.clear();
            words >> each;
        }
        return each;
    }

    int status() const { return std::atoi(word(1).c_str()); }
};

// A TCP connection with blocking calls.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { ::close(m_descriptor); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads one message with a Content-Length or without a body. Returns nothing if the connection ends
    // before, or `limit` has passed.
    std::optional<message> receive(steady::time_point limit)
    {
        message result;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(limit)) {
                return std::nullopt;
            }
        }
        result.raw = m_buffer.substr(0, end + 4);
        m_buffer.erase(0, end + 4);
        std::istringstream lines(result.raw);
        std::string line;
        bool isFirst = true;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (isFirst) {
                result.startLine = line;
                isFirst = false;
                continue;
            }
            auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                result.fields[lower(line.substr(0, colon))] = value;
            }
        }
        auto length = static_cast<std::size_t>(std::atoll(result.field("content-length").c_str()));
        while (m_buffer.size() < length) {
            if (!fill(limit)) {
                return std::nullopt;
            }
        }
        result.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return result;
    }

    // Returns whether the other side has closed or reset the connection.
    bool hasEnded() const
    {
        char byte = 0;
        auto count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void shutdown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

    // Makes the close reset the connection.
    void reset() const
    {
        linger abortive { 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        shutdown();
    }

    bool hasBufferedBytes() const { return !m_buffer.empty(); }

private:
    bool fill(steady::time_point limit)
    {
        auto left = std::chrono::duration_cast<milliseconds>(limit - steady::now()).count();
        pollfd wait { m_descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 600'000))) <= 0) {
            return false;
        }
        char chunk[16384];
        auto count = ::recv(m_descriptor, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
};

inline sockaddr_in toAddress(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline sockaddr_in toAddress(const std::string& hostAndPort)
{
    auto colon = hostAndPort.rfind(':');
    return toAddress(hostAndPort.substr(0, colon), std::atoi(hostAndPort.c_str() + colon + 1));
}

inline int portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

inline std::unique_ptr<connection> connectTo(const std::string& hostAndPort)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = toAddress(hostAndPort);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

// A listening socket whose connections are each served by a thread.
class listener {
public:
    listener(const std::string& host, int port, std::function<void(connection&)> serve)
        : m_host(host)
        , m_serve(std::move(serve))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = toAddress(host, port);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
            || ::listen(m_descriptor, 512) != 0) {
            std::perror("listen");
            std::_Exit(couldNotRun);
        }
        m_port = portOf(m_descriptor);
        m_acceptor = std::thread([this] { acceptLoop(); });
    }
    ~listener() { stop(); }

    std::string address() const { return m_host + ":" + std::to_string(m_port); }

    // Ends all open connections; later ones are accepted again.
    void resetConnections()
    {
        std::lock_guard lock(m_mutex);
        for (auto& each : m_open) {
            each->reset();
        }
    }

    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_descriptor);
        resetConnections();
        for (auto& each : m_threads) {
            each.join();
        }
    }

private:
    void acceptLoop()
    {
        while (!m_isStopped) {
            int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (m_isStopped || errno == EINVAL) {
                    return;
                }
                continue;
            }
            auto link = std::make_shared<connection>(accepted);
            std::lock_guard lock(m_mutex);
            m_open.insert(link);
            m_threads.emplace_back([this, link] {
                m_serve(*link);
                link->shutdown();
                std::lock_guard inner(m_mutex);
                m_open.erase(link);
            });
        }
    }

    std::string m_host;
    std::function<void(connection&)> m_serve;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

inline std::string httpAnswer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's metadata store.
class store {
public:
    explicit store(const std::string& host)
        : m_listener(host, 0, [this](connection& link) { serve(link); })
    {
    }
    ~store()
    {
        m_isOver = true;
        m_changed.notify_all();
        m_listener.stop();
    }

    std::string address() const { return m_listener.address(); }

    // Writes an object, as the operator or a backend does. A write that changes nothing leaves the revision
    // as it is. Returns the revision of the object, or 0 while the store is away.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& specification)
    {
        std::lock_guard lock(m_mutex);
        if (m_isAway) {
            return 0;
        }
        auto found = m_now.objects[kind].find(name);
        if (found != m_now.objects[kind].end() && found->second.specification == specification) {
            return found->second.revision;
        }
        m_now.objects[kind][name] = { specification, ++m_now.revision };
        m_now.history.push_back({ kind, name, m_now.revision, false, specification });
        m_changed.notify_all();
        return m_now.revision;
    }

    // Writes an object whose specification is the given text as it is, as another writer does.
    std::uint64_t putText(const std::string& kind, const std::string& name, const std::string& text)
    {
        {
            std::lock_guard lock(m_mutex);
            m_texts["text of " + name] = text;
        }
        return put(kind, name, "text of " + name);
    }

    bool remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        if (m_isAway || m_now.objects[kind].erase(name) == 0) {
            return false;
        }
        m_now.history.push_back({ kind, name, ++m_now.revision, true, {} });
        m_changed.notify_all();
        return true;
    }

    bool contains(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        return m_now.objects[kind].contains(name);
    }

    // Takes the copy that comeBack() restores.
    void copy()
    {
        std::lock_guard lock(m_mutex);
        m_copy = m_now;
    }

    // Is away: open connections are reset, and each later one at its first call.
    void goAway()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isAway = true;
            m_changed.notify_all();
        }
        m_listener.resetConnections();
    }

    // Comes back from the copy, with the next era.
    void comeBack()
    {
        std::lock_guard lock(m_mutex);
        m_now = m_copy;
        ++m_era;
        m_isAway = false;
    }

    // Cuts off the watches that are waiting: their connections are closed without an answer.
    void cutWatches()
    {
        std::lock_guard lock(m_mutex);
        ++m_watchCuts;
        m_changed.notify_all();
    }

    std::uint64_t revision()
    {
        std::lock_guard lock(m_mutex);
        return m_now.revision;
    }

    // Returns how many watches got 410 since the last call.
    int takeGoneAnswers() { return m_goneAnswers.exchange(0); }

private:
    struct object {
        json specification;
        std::uint64_t revision = 0;
    };
    struct change {
        std::string kind;
        std::string name;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        json specification;
    };
    struct state {
        std::map<std::string, std::map<std::string, object>> objects;
        std::vector<change> history;
        std::uint64_t revision = 100;
    };

    static json wrap(const std::string& name, std::uint64_t revision, const json& specification)
    {
        return { { "metadata",
                     { { "name", name }, { "revision", revision }, { "created", 1 },
                         { "finalizers", json::array() }, { "deleting", false } } },
            { "specification", specification }, { "status", json::object() } };
    }

    void serve(connection& link)
    {
        while (!m_isOver) {
            auto call = link.receive(steady::now() + std::chrono::minutes(5));
            if (!call) {
                return;
            }
            {
                std::lock_guard lock(m_mutex);
                if (m_isAway) {
                    link.reset();
                    return;
                }
            }
            auto [status, body] = answer(*call);
            std::string era;
            std::map<std::string, std::string> texts;
            {
                std::lock_guard lock(m_mutex);
                if (m_isAway) {
                    link.reset();
                }
                if (m_isAway || status == 0) {
                    return;
                }
                era = std::to_string(m_era);
                texts = m_texts;
            }
            auto bytes = body.dump();
            for (const auto& [placeholder, text] : texts) {
                auto quoted = '"' + placeholder + '"';
                for (auto at = bytes.find(quoted); at != std::string::npos;
                     at = bytes.find(quoted, at + text.size())) {
                    bytes.replace(at, quoted.size(), text);
                }
            }
            if (!link.send(httpAnswer(
                    status, "Content-Type: application/json\r\nStore-Era: " + era + "\r\n", bytes))) {
                return;
            }
        }
    }

    std::pair<int, json> answer(const message& call)
    {
        auto method = call.word(0);
        auto target = call.word(1);
        auto mark = target.find('?');
        auto path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
        for (std::string each; std::getline(parts, each, '&');) {
            query[each.substr(0, each.find('='))] = each.substr(each.find('=') + 1);
        }
        constexpr std::string_view prefix = "/objects/";
        if (!path.starts_with(prefix)) {
            return { 404, json::object() };
        }
        auto rest = path.substr(prefix.size());
        auto slash = rest.find('/');
        auto kind = rest.substr(0, slash);
        auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        if (method == "GET" && query.contains("watch")) {
            return watch(kind, std::stoull(query["watch"]),
                std::stoi(query.contains("waitMs") ? query["waitMs"] : "0"));
        }
        std::lock_guard lock(m_mutex);
        if (m_isAway) {
            return { 0, {} };
        }
        auto& objects = m_now.objects[kind];
        if (method == "GET" && name.empty()) {
            json items = json::array();
            bool hasMore = false;
            for (auto each = objects.upper_bound(query["after"]); each != objects.end(); ++each) {
                if (items.size() == 500) {
                    hasMore = true;
                    break;
                }
                items.push_back(wrap(each->first, each->second.revision, each->second.specification));
            }
            return { 200, { { "items", items }, { "hasMore", hasMore }, { "at", m_now.revision } } };
        }
        auto content = json::parse(call.body, nullptr, false);
        if (method == "POST") {
            name = content["metadata"]["name"].get<std::string>();
            if (auto found = objects.find(name); found != objects.end()) {
                return { 409, wrap(name, found->second.revision, found->second.specification) };
            }
        }
        if (method == "POST" || (method == "PUT" && objects.contains(name))) {
            const auto& specification = content["specification"];
            auto& current = objects[name];
            if (method == "POST" || current.specification != specification) {
                current = { specification, ++m_now.revision };
                m_now.history.push_back({ kind, name, m_now.revision, false, specification });
                m_changed.notify_all();
            }
            return { 200, wrap(name, current.revision, current.specification) };
        }
        auto found = objects.find(name);
        if (found == objects.end()) {
            return { 404, json::object() };
        }
        if (method == "GET") {
            return { 200, wrap(name, found->second.revision, found->second.specification) };
        }
        if (query.contains("revision") && std::stoull(query["revision"]) != found->second.revision) {
            return { 409, wrap(name, found->second.revision, found->second.specification) };
        }
        objects.erase(found);
        m_now.history.push_back({ kind, name, ++m_now.revision, true, {} });
        m_changed.notify_all();
        return { 200, json::object() };
    }

    std::pair<int, json> watch(const std::string& kind, std::uint64_t from, int waitMs)
    {
        auto until = steady::now() + milliseconds(std::min(waitMs, 30'000));
        std::unique_lock lock(m_mutex);
        auto era = m_era;
        auto watchCuts = m_watchCuts;
        json events = json::array();
        while (!m_isOver) {
            if (m_isAway || m_era != era || m_watchCuts != watchCuts) {
                return { 0, {} };
            }
            if (from > m_now.revision) {
                ++m_goneAnswers;
                return { 410, json::object() };
            }
            for (const auto& each : m_now.history) {
                if (each.kind == kind && each.revision > from) {
                    auto wrapped = wrap(each.name, each.revision, each.specification);
                    events.push_back({ { "object", wrapped }, { "deleted", each.isDeleted } });
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return { 200, { { "events", events }, { "at", m_now.revision } } };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    state m_now;
    state m_copy;
    std::uint64_t m_era = 1;
    int m_watchCuts = 0;
    std::map<std::string, std::string> m_texts; // By the placeholder in the objects.
    bool m_isAway = false;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_goneAnswers = 0;
    listener m_listener;
};

// What a backend is told of a request when it begins to run it, and when it has ended.
struct backend_listener {
    std::function<void(const std::string& backend, const message& request)> arrived;
    std::function<void(const std::string& backend, const message& request, bool isAnswered)> ended;
};

// A backend of one service. It runs `slots` requests at a time and queues the others. It drops a request
// whose connection closes.
class backend {
public:
    backend(std::string id, std::string service, std::string zone, const std::string& host, int slots,
        int workMs, backend_listener events)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_workMs(workMs)
        , m_events(std::move(events))
        , m_bornMs(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count())
        , m_listener(host, 0, [this](connection& link) { serve(link); })
    {
    }

    ~backend() { end(); }

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    std::string address() const { return m_listener.address(); }
    bool isDraining() const { return m_isDraining; }
    bool hasEnded() const { return m_hasEnded; }

    // Returns its entry in the store.
    json entry(int warmupRemainingMs = 0) const
    {
        return { { "service", m_service }, { "address", address() }, { "zone", m_zone }, { "version", "1" },
            { "slots", m_slots }, { "state", m_isDraining ? "draining" : "ready" },
            { "warmupRemainingMs", warmupRemainingMs }, { "sequence", 1 }, { "born", m_bornMs } };
    }

    // Sets further fields of all answers.
    void setFields(const std::string& fields) { m_fields = fields; }

    // From now on all answers say that it leaves.
    void drain() { m_isDraining = true; }

    // Exits: open connections are reset.
    void end()
    {
        m_hasEnded = true;
        m_listener.stop();
    }

private:
    void serve(connection& link)
    {
        while (!m_hasEnded) {
            auto request = link.receive(steady::now() + std::chrono::seconds(10));
            if (!request || !serveOne(link, *request)) {
                return;
            }
        }
    }

    bool serveOne(connection& link, const message& request)
    {
        auto attempt = request.field("attempt-id");
        std::string fields = "Attempt-Id: " + attempt + "\r\n";
        if (m_isDraining) {
            fields += "Server-Leaving: 1\r\nConnection: close\r\n";
        }
        auto expected = request.field("expected-instance");
        if (!expected.empty() && expected != m_id) {
            link.send(httpAnswer(421, fields + "Instance-Id: " + m_id + "\r\n", ""));
            return true;
        }
        if (request.word(1) == "/health") {
            return link.send(httpAnswer(m_isDraining ? 503 : 200, "Instance-Id: " + m_id + "\r\n", ""));
        }
        if (attempt.empty()) {
            return link.send(httpAnswer(400, "Not-Executed: 1\r\n", ""));
        }
        while (m_running.fetch_add(1) >= m_slots) {
            --m_running;
            if (m_hasEnded || link.hasEnded()) {
                return false;
            }
            sleepMs(2);
        }
        m_events.arrived(m_id, request);
        auto until = steady::now() + milliseconds(m_workMs);
        bool isDropped = false;
        while (!isDropped && steady::now() < until) {
            sleepMs(2);
            isDropped = m_hasEnded || (!link.hasBufferedBytes() && link.hasEnded());
        }
        --m_running;
        std::string body = "done " + attempt;
        bool isAnswered = !isDropped
            && link.send(httpAnswer(200,
                fields + "Response-Seal: 1." + attempt + "\r\nX-Backend: " + m_id + "\r\n" + m_fields, body));
        m_events.ended(m_id, request, isAnswered);
        return isAnswered;
    }

    const std::string m_id;
    const std::string m_service;
    const std::string m_zone;
    const int m_slots;
    const int m_workMs;
    const backend_listener m_events;
    const std::int64_t m_bornMs;
    std::string m_fields; // Set before the first request.
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_hasEnded = false;
    listener m_listener;
};

// One route of a configuration.
struct route {
    std::string name;
    std::string pathPrefix;
    std::string kind;
    std::string service;
    int timeoutMs = 6000;
    int attempts = 2;
};

inline json configuration(int version, const std::string& host, const std::vector<route>& routes)
{
    auto rows = json::array();
    std::set<std::string> services;
    for (const auto& each : routes) {
        rows.push_back({ each.name, host, each.pathPrefix, each.kind, each.timeoutMs, 2000, 1, each.attempts,
            each.service });
        services.insert(each.service);
    }
    auto serviceRows = json::array();
    for (const auto& each : services) {
        serviceRows.push_back({ each, "/health" });
    }
    return { { "version", version },
        { "routes",
            { { "columns",
                  { "name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority",
                      "attempts", "service" } },
                { "rows", rows } } },
        { "services", { { "columns", { "name", "healthCheckPath" } }, { "rows", serviceRows } } },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
}

// A machine with one entry daemon.
class machine {
public:
    machine(std::string name, std::string host, std::string zone)
        : m_name(std::move(name))
        , m_host(std::move(host))
        , m_zone(std::move(zone))
    {
    }
    ~machine() { kill(); }

    const std::string& name() const { return m_name; }
    const std::string& host() const { return m_host; }
    std::string clientAddress() const { return m_host + ":" + std::to_string(m_ports[0]); }
    std::string readyAddress() const { return m_host + ":" + std::to_string(m_ports[1]); }
    std::string directoryAddress() const { return m_host + ":" + std::to_string(m_ports[3]); }
    std::string controlAddress() const { return m_host + ":" + std::to_string(m_ports[2]); }

    // Writes the settings from the template of the deploy file.
    void writeSettings(const std::string& folder, const std::string& templatePath,
        const std::vector<int>& ports, const std::string& seeds, const std::string& store)
    {
        m_ports = ports;
        std::map<std::string, std::string> values { { "nodeName", m_name }, { "region", "ebro" },
            { "zone", m_zone }, { "limits.linkMbps", "1000.0" }, { "limits.cpuShare", "0.2" },
            { "ipAddress", m_host }, { "listenAddresses.frontend", clientAddress() },
            { "listenAddresses.ready", readyAddress() }, { "listenAddresses.controlPlane", controlAddress() },
            { "listenAddresses.directory", directoryAddress() },
            { "internalPorts.0", std::to_string(ports[4]) }, { "internalPorts.1", std::to_string(ports[5]) },
            { "seedNodes", seeds }, { "platform.address", store }, { "bounds.graceS", "6" },
            { "bounds.drainMs", "2000" }, { "bounds.ttl_max_s", "5" }, { "bounds.retryBudgetRatio", "0.2" },
            { "bounds.retryBudgetSlack", "58" }, { "bounds.budgetWindowS", "10" },
            { "bounds.floorShare", "0.7" } };
        std::ifstream in(templatePath);
        m_settings = folder + "/" + m_name + ".conf";
        m_log = folder + "/" + m_name + ".log";
        std::ofstream out(m_settings);
        for (std::string line; std::getline(in, line);) {
            for (auto begin = line.find("{{"); begin != std::string::npos; begin = line.find("{{")) {
                auto end = line.find("}}", begin);
                line.replace(begin, end + 2 - begin, values[line.substr(begin + 2, end - begin - 2)]);
            }
            out << line << '\n';
        }
    }

    void start(const std::string& program)
    {
        auto variable = "MARLSILL_NODE_FILE=" + m_settings;
        char path[] = "PATH=/usr/bin:/bin";
        char* environment[] = { variable.data(), path, nullptr };
        std::string command = program;
        char* arguments[] = { command.data(), nullptr };
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int output = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execve(command.c_str(), arguments, environment);
            ::_exit(1);
        }
    }

    void signal(int number) const
    {
        if (m_process > 0) {
            ::kill(m_process, number);
        }
    }

    void kill()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = 0;
        }
    }

    // Returns whether the process has ended by itself, and how in `status`.
    bool hasEnded(int& status)
    {
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            m_process = 0;
            return true;
        }
        return false;
    }

    bool isReady() const
    {
        auto link = connectTo(readyAddress());
        if (!link || !link->send("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")) {
            return false;
        }
        auto answer = link->receive(steady::now() + std::chrono::seconds(1));
        return answer && answer->status() == 200;
    }

private:
    std::string m_name;
    std::string m_host;
    std::string m_zone;
    std::vector<int> m_ports;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = 0;
};

// Ports that are free for TCP and UDP on an address of no machine. The same ports are used on all machines.
inline std::vector<int> freePorts(int count)
{
    std::vector<int> ports;
    std::vector<int> held;
    while (static_cast<int>(ports.size()) < count) {
        int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto any = toAddress("0.0.0.0", 0);
        ::bind(tcp, reinterpret_cast<sockaddr*>(&any), sizeof any);
        int port = portOf(tcp);
        auto same = toAddress("0.0.0.0", port);
        if (::bind(udp, reinterpret_cast<sockaddr*>(&same), sizeof same) == 0) {
            ports.push_back(port);
        }
        held.push_back(tcp);
        held.push_back(udp);
    }
    for (int each : held) {
        ::close(each);
    }
    return ports;
}

// The answer to a request; status 0 if the connection ended without one.
struct client_answer {
    int status = 0;
    std::string seal;
    std::string backend;
    std::string body;
};

inline std::string requestBytes(const std::string& method, const std::string& host, const std::string& path,
    const std::string& attempt, int deadlineMs, const std::string& extraFields, const std::string& body)
{
    auto bytes = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
        + "\r\nDeadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n" + extraFields;
    if (method == "POST") {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return bytes + "\r\n" + body;
}

inline client_answer toAnswer(const std::optional<message>& received)
{
    if (!received) {
        return {};
    }
    return { received->status(), received->field("response-seal"), received->field("x-backend"),
        received->body };
}

// Sends one request on a new connection.
inline client_answer call(const std::string& address, const std::string& method, const std::string& host,
    const std::string& path, const std::string& attempt, int deadlineMs, const std::string& extraFields = {},
    const std::string& body = {})
{
    auto link = connectTo(address);
    if (!link || !link->send(requestBytes(method, host, path, attempt, deadlineMs, extraFields, body))) {
        return {};
    }
    return toAnswer(link->receive(steady::now() + milliseconds(deadlineMs + 500)));
}

// What a script gets from its run.sh: the folder for temporary files, its own folder, the daemon's command,
// the template of its settings, and whether the disruption takes place.
struct script {
    std::string temporary;
    std::string folder;
    std::string program;
    std::string settingsTemplate;
    bool hasTrouble = true;
    std::uint32_t network = 0; // Second and third byte of the loopback addresses.

    static script fromArguments(int argc, char** argv)
    {
        if (argc != 5) {
            std::fprintf(stderr, "usage: %s TEMPORARY FOLDER PROGRAM TEMPLATE\n", argv[0]);
            std::_Exit(couldNotRun);
        }
        std::signal(SIGPIPE, SIG_IGN);
        script result { argv[1], argv[2], argv[3], argv[4] };
        const char* trouble = std::getenv("TROUBLE");
        result.hasTrouble = !trouble || std::string(trouble) != "0";
        result.network = static_cast<std::uint32_t>(::getpid());
        return result;
    }

    // Returns a loopback address of this run.
    std::string hostAt(int index) const
    {
        return "127." + std::to_string(1 + (network >> 8U) % 250) + "." + std::to_string(network % 256) + "."
            + std::to_string(index);
    }
};

constexpr const char* zones[] = { "lleida", "calatayud", "rioja-baja" };

// Starts `count` machines in three zones and waits until all are ready. Returns false if they don't become
// it.
inline bool startMachines(const script& run, int count, const std::function<std::string(int)>& storeOf,
    std::vector<std::unique_ptr<machine>>& machines)
{
    auto ports = freePorts(6);
    std::string seeds;
    for (int index = 0; index < count; ++index) {
        machines.push_back(std::make_unique<machine>(
            "frontend-" + std::string(zones[index % 3]) + "-" + std::to_string(index / 3 + 1),
            run.hostAt(index + 1), zones[index % 3]));
        if (index < 3) {
            seeds += (index ? "," : "") + machines.back()->host() + ":" + std::to_string(ports[2]);
        }
    }
    for (int index = 0; index < count; ++index) {
        auto& each = *machines[static_cast<std::size_t>(index)];
        each.writeSettings(run.temporary, run.settingsTemplate, ports, seeds, storeOf(index));
        each.start(run.program);
    }
    auto limit = steady::now() + std::chrono::seconds(15);
    while (steady::now() < limit) {
        if (std::all_of(machines.begin(), machines.end(), [](const auto& each) { return each->isReady(); })) {
            return true;
        }
        sleepMs(100);
    }
    return false;
}

}
