#pragma once

// Stand-ins for the review's scripts: the platform's store, backends, clients and the processes of a small
// deployment on loopback addresses. Each connection has a thread of its own; all waits have a limit.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
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
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the first call.
inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleepMs(std::int64_t length) { std::this_thread::sleep_for(std::chrono::milliseconds(length)); }

// Writes lines with the time in seconds to a file.
class record_file {
public:
    explicit record_file(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", static_cast<double>(nowMs()) / 1000.0, text);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file = nullptr;
    std::mutex m_mutex;
};

// ---------------------------------------------------------------------------------------------- sockets

struct endpoint {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toAddress(const endpoint& at)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

// Returns a listening socket; its port is chosen if `at.port` is 0. Returns -1 on failure.
inline int listenAt(endpoint& at, int receiveBuffer = 0)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    auto address = toAddress(at);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(descriptor, 1024) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t length = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    at.port = ntohs(address.sin_port);
    return descriptor;
}

// Returns a connected socket, or -1.
inline int connectTo(const endpoint& to, std::int64_t limitMs, int receiveBuffer = 0)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    auto address = toAddress(to);
    ::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    pollfd waiting { descriptor, POLLOUT, 0 };
    int error = ETIMEDOUT;
    socklen_t length = sizeof error;
    if (::poll(&waiting, 1, static_cast<int>(limitMs)) == 1) {
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    }
    if (error != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Appends what arrives to `buffer`. Returns the number of bytes; 0 at the end of the stream or after a
// reset; -1 if nothing arrives by `untilMs`.
inline int receiveSome(int descriptor, std::string& buffer, std::int64_t untilMs)
{
    pollfd waiting { descriptor, POLLIN, 0 };
    auto left = untilMs - nowMs();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
        return -1;
    }
    char chunk[16384];
    auto count = ::recv(descriptor, chunk, sizeof chunk, 0);
    if (count <= 0) {
        return 0;
    }
    buffer.append(chunk, static_cast<std::size_t>(count));
    return static_cast<int>(count);
}

// ------------------------------------------------------------------------------------------------- HTTP

inline std::string lower(std::string text)
{
    for (auto& each : text) {
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    }
    return text;
}

struct message {
    std::string startLine;
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;

    std::string field(const std::string& name) const
    {
        auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        auto start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
};

enum class read_result { complete, ended, timedOut };

// Parses the header block at the front of `buffer`. Returns false if it is incomplete.
inline bool takeHead(std::string& buffer, message& out)
{
    auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::istringstream lines(buffer.substr(0, end));
    std::getline(lines, out.startLine);
    if (!out.startLine.empty() && out.startLine.back() == '\r') {
        out.startLine.pop_back();
    }
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        auto colon = line.find(':');
        auto value = line.find_first_not_of(' ', colon + 1);
        out.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    buffer.erase(0, end + 4);
    return true;
}

// Reads one message with a Content-Length.
inline read_result readMessage(
    int descriptor, std::string& buffer, message& out, std::int64_t untilMs, bool isHeadOnly = false)
{
    out = {};
    while (!takeHead(buffer, out)) {
        int count = receiveSome(descriptor, buffer, untilMs);
        if (count <= 0) {
            return count == 0 ? read_result::ended : read_result::timedOut;
        }
    }
    auto length = static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
    while (!isHeadOnly && buffer.size() < length) {
        int count = receiveSome(descriptor, buffer, untilMs);
        if (count <= 0) {
            return count == 0 ? read_result::ended : read_result::timedOut;
        }
    }
    if (!isHeadOnly) {
        out.body = buffer.substr(0, length);
        buffer.erase(0, length);
    }
    return read_result::complete;
}

inline std::string makeResponse(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------------------------- threads

// Threads that are joined at the end.
class thread_group {
public:
    ~thread_group() { join(); }
    void start(std::function<void()> work)
    {
        std::lock_guard lock(m_mutex);
        m_threads.emplace_back(std::move(work));
    }
    void join()
    {
        while (true) {
            std::vector<std::thread> threads;
            {
                std::lock_guard lock(m_mutex);
                threads.swap(m_threads);
            }
            if (threads.empty()) {
                return;
            }
            for (auto& each : threads) {
                each.join();
            }
        }
    }

private:
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
};

// Accepts connections until stopped and serves each in a thread.
class acceptor {
public:
    acceptor(endpoint at, std::function<void(int descriptor)> serve, int receiveBuffer = 0)
        : m_at(std::move(at))
        , m_serve(std::move(serve))
    {
        m_descriptor = listenAt(m_at, receiveBuffer);
        if (m_descriptor < 0) {
            std::fprintf(stderr, "cannot listen at %s\n", m_at.text().c_str());
            std::exit(2);
        }
        m_thread = std::thread([this] { run(); });
    }
    ~acceptor() { stop(); }

    void stop()
    {
        if (!m_isStopping.exchange(true)) {
            m_thread.join();
            ::close(m_descriptor);
            m_connections.join();
        }
    }
    const endpoint& at() const { return m_at; }
    bool isStopping() const { return m_isStopping; }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd waiting { m_descriptor, POLLIN, 0 };
            if (::poll(&waiting, 1, 50) != 1) {
                continue;
            }
            int connection = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                continue;
            }
            int one = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            m_connections.start([this, connection] {
                m_serve(connection);
                ::close(connection);
            });
        }
    }

    endpoint m_at;
    std::function<void(int)> m_serve;
    int m_descriptor = -1;
    std::atomic<bool> m_isStopping = false;
    thread_group m_connections;
    std::thread m_thread;
};

// ------------------------------------------------------------------------------------------- the store

// The platform's metadata store: objects by kind with revisions, lists and watches. It listens at one
// address for each machine, so that a case can tell the machines apart; all lead to the same objects.
class store {
public:
    // Adds an address and returns it.
    endpoint addAddress(const std::string& ip, int machine)
    {
        m_acceptors.push_back(std::make_unique<acceptor>(
            endpoint { ip, 0 }, [this, machine](int connection) { serve(connection, machine); }));
        return m_acceptors.back()->at();
    }
    ~store() { stop(); }

    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        for (auto& each : m_acceptors) {
            each->stop();
        }
    }

    // Writes an object as the operator or a backend does. Returns the new revision.
    std::uint64_t put(const std::string& kind, const std::string& name, const std::string& specification)
    {
        std::lock_guard lock(m_mutex);
        return change(kind, name, specification, false);
    }

    // Writes objects of several writers that arrive at the same moment.
    void putAll(const std::string& kind, const std::vector<std::pair<std::string, std::string>>& objects)
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, specification] : objects) {
            change(kind, name, specification, false);
        }
    }

    std::uint64_t remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        return change(kind, name, m_objects[kind][name].specification, true);
    }

    // Cuts a machine from the store, silently, or joins it again: what it has sent meanwhile is lost.
    void setCut(int machine, bool isCut)
    {
        std::lock_guard lock(m_mutex);
        isCut ? (void)m_cut.insert(machine) : (void)m_cut.erase(machine);
        ++m_cuts[machine];
    }

    // Returns when the store last answered a machine about servers.
    std::int64_t lastAnswerMs(int machine)
    {
        std::lock_guard lock(m_mutex);
        return m_answeredMs[machine];
    }

    // Returns how many watches of a kind a machine has made since the last call.
    int takeWatches(int machine)
    {
        std::lock_guard lock(m_mutex);
        return std::exchange(m_watches[machine], 0);
    }

private:
    struct object {
        std::string specification;
        std::uint64_t revision = 0;
    };
    struct event {
        std::string kind;
        std::uint64_t revision = 0;
        std::string text;
        std::int64_t atMs = 0;
    };

    static constexpr std::size_t maxPageBytes = 1'048'576;
    static constexpr std::int64_t historyMs = 20'000;

    static std::string objectText(const std::string& name, const object& each)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(each.revision)
            + R"(,"created":1,"finalizers":[],"deleting":false},"specification":)" + each.specification
            + R"(,"status":null})";
    }

    std::uint64_t change(
        const std::string& kind, const std::string& name, const std::string& specification, bool isDeleted)
    {
        object each { specification, ++m_revision };
        m_history.push_back({ kind, m_revision,
            std::string(R"({"deleted":)") + (isDeleted ? "true" : "false") + R"(,"object":)"
                + objectText(name, each) + "}",
            nowMs() });
        if (isDeleted) {
            m_objects[kind].erase(name);
        } else {
            m_objects[kind][name] = each;
        }
        m_changed.notify_all();
        return m_revision;
    }

    void serve(int connection, int machine)
    {
        std::string buffer;
        message request;
        auto cuts = cutsOf(machine);
        while (readMessage(connection, buffer, request, nowMs() + 30'000) == read_result::complete) {
            auto response = answer(request, machine);
            if (cutsOf(machine) != cuts || isCut(machine)) {
                waitForEnd(connection);
                return;
            }
            if (!sendAll(connection, response)) {
                return;
            }
            if (request.target().find("/servers") != std::string::npos) {
                std::lock_guard lock(m_mutex);
                m_answeredMs[machine] = nowMs();
            }
        }
    }

    int cutsOf(int machine)
    {
        std::lock_guard lock(m_mutex);
        return m_cuts[machine];
    }
    bool isCut(int machine)
    {
        std::lock_guard lock(m_mutex);
        return m_cut.contains(machine);
    }
    // Keeps a connection silent until the other side gives it up.
    void waitForEnd(int connection)
    {
        std::string ignored;
        auto until = nowMs() + 10'000;
        while (receiveSome(connection, ignored, until) > 0) { }
    }

    std::string answer(const message& request, int machine)
    {
        auto target = request.target();
        auto query = target.find('?');
        auto path = target.substr(0, query);
        std::map<std::string, std::string> parameters;
        if (query != std::string::npos) {
            std::istringstream parts(target.substr(query + 1));
            for (std::string part; std::getline(parts, part, '&');) {
                parameters[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
            }
        }
        const std::string prefix = "/objects/";
        auto rest = path.substr(std::min(path.size(), prefix.size()));
        auto kind = rest.substr(0, rest.find('/'));
        auto name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        const std::string json = "Content-Type: application/json\r\n";
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && parameters.contains("watch")) {
            ++m_watches[machine];
            auto since = std::strtoull(parameters["watch"].c_str(), nullptr, 10);
            while (!m_history.empty() && m_history.front().atMs + historyMs < nowMs()) {
                m_droppedUpTo = m_history.front().revision;
                m_history.erase(m_history.begin());
            }
            if (since < m_droppedUpTo) {
                return makeResponse(410, json, "{}");
            }
            auto until = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(std::atoi(parameters["waitMs"].c_str()));
            std::string events;
            while (true) {
                for (const auto& each : m_history) {
                    if (each.kind == kind && each.revision > since) {
                        events += (events.empty() ? "" : ",") + each.text;
                    }
                }
                if (!events.empty() || m_isStopping
                    || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    break;
                }
            }
            return makeResponse(
                200, json, R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}");
        }
        if (request.method() == "GET" && name.empty()) {
            std::string items;
            bool hasMore = false;
            for (const auto& [id, each] : m_objects[kind]) {
                if (id <= parameters["after"]) {
                    continue;
                }
                auto text = objectText(id, each);
                hasMore = !items.empty() && items.size() + text.size() > maxPageBytes;
                if (hasMore) {
                    break;
                }
                items += (items.empty() ? "" : ",") + text;
            }
            return makeResponse(200, json,
                R"({"items":[)" + items + R"(],"hasMore":)" + (hasMore ? "true" : "false") + R"(,"at":)"
                    + std::to_string(m_revision) + "}");
        }
        return write(request, kind, name);
    }

    // Handles the system's own objects, whose names and contents are taken as they come.
    std::string write(const message& request, const std::string& kind, std::string name)
    {
        auto textAfter = [&](const std::string& label) {
            auto start = request.body.find(label);
            return start == std::string::npos ? std::string() : request.body.substr(start + label.size());
        };
        if (name.empty()) {
            auto found = textAfter(R"("name":")");
            name = found.substr(0, found.find('"'));
            if (m_objects[kind].contains(name)) {
                return makeResponse(409, "", objectText(name, m_objects[kind][name]));
            }
        }
        if (request.method() == "DELETE") {
            change(kind, name, m_objects[kind][name].specification, true);
            return makeResponse(200, "", "{}");
        }
        auto specification = textAfter(R"("specification":)");
        specification.resize(specification.empty() ? 0 : specification.size() - 1);
        change(kind, name, specification, false);
        return makeResponse(200, "", objectText(name, m_objects[kind][name]));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<event> m_history;
    std::uint64_t m_droppedUpTo = 0;
    std::map<int, int> m_watches;
    std::set<int> m_cut;
    std::map<int, int> m_cuts; // How often each machine was cut or joined.
    std::map<int, std::int64_t> m_answeredMs;
    std::vector<std::unique_ptr<acceptor>> m_acceptors;
};

// ------------------------------------------------------------------------------------------- processes

// One machine's process, started with the run command and the settings of the deploy file.
struct machine_options {
    std::string name;
    std::string zone;
    std::string ip;
    int callerPort = 0;
    int readyPort = 0;
    int directoryPort = 0;
    int peerPort = 0;
    int metricsPort = 0;
    std::string seeds;
    endpoint storeAddress;
    int drainMs = 2'000;
    std::string folder;
};

class machine {
public:
    explicit machine(machine_options options)
        : m_options(std::move(options))
    {
    }
    ~machine() { kill(); }

    void start()
    {
        auto path = m_options.folder + "/" + m_options.name + ".conf";
        auto at = [&](int port) { return m_options.ip + ":" + std::to_string(port); };
        std::ofstream(path) << "name = " << m_options.name
                            << "\nregion = south-wales\nfailure-domain = " << m_options.zone
                            << "\nlink-mbps = 1000.0\ncpu-share = 0.2\nhost = " << m_options.ip
                            << "\ncaller-address = " << at(m_options.callerPort)
                            << "\nreadiness-address = " << at(m_options.readyPort)
                            << "\ndirectory-address = " << at(m_options.directoryPort)
                            << "\npeer-port = " << m_options.peerPort
                            << "\nmetrics-port = " << m_options.metricsPort << "\nseeds = " << m_options.seeds
                            << "\nstore-address = " << m_options.storeAddress.text()
                            << "\nstop-grace-s = 6\ndrain-ms = " << m_options.drainMs
                            << "\ndirectory-ttl-max-s = 5\nretry-ratio = 0.2\nretry-slack = 56"
                               "\nretry-window-s = 10\ncapacity-floor = 0.7\nend-of-settings = yes\n";
        auto log = m_options.folder + "/" + m_options.name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("MARLSILL_NODE_FILE", path.c_str(), 1);
            const char* program = "target/platform/marlsill-platform-entry";
            ::execl(program, program, static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    void signal(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    // Returns whether the process runs.
    bool isRunning()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            exitStatus = status;
        }
        return m_pid > 0;
    }
    void kill()
    {
        if (isRunning()) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    pid_t process() const { return m_pid; }
    endpoint caller() const { return { m_options.ip, m_options.callerPort }; }
    endpoint ready() const { return { m_options.ip, m_options.readyPort }; }
    const machine_options& options() const { return m_options; }

    int exitStatus = 0;

private:
    machine_options m_options;
    pid_t m_pid = -1;
};

// Returns a port that is free on all of these addresses for TCP and UDP.
inline int freePort(const std::vector<std::string>& ips)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        endpoint first { ips.front(), 0 };
        int descriptor = listenAt(first);
        bool isFree = descriptor >= 0;
        ::close(descriptor);
        for (const auto& ip : ips) {
            endpoint other { ip, first.port };
            int probe = listenAt(other);
            isFree = isFree && probe >= 0;
            if (probe >= 0) {
                ::close(probe);
            }
            int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            auto address = toAddress(other);
            isFree = isFree && ::bind(datagram, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
            ::close(datagram);
        }
        if (isFree) {
            return first.port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

// Plans machines on 127.NET.0.1 and up, with zones in turn; the store gets one address for each.
inline std::vector<std::unique_ptr<machine>> planMachines(
    int count, const std::vector<std::string>& zones, store& platform, const std::string& folder, int drainMs)
{
    auto net = "127." + std::to_string(20 + ::getpid() % 200) + ".";
    std::vector<std::string> ips;
    for (int index = 0; index < count; ++index) {
        ips.push_back(net + "0." + std::to_string(index + 1));
    }
    std::set<int> ports;
    while (ports.size() < 5) {
        ports.insert(freePort(ips));
    }
    std::vector<int> chosen(ports.begin(), ports.end());
    std::string seeds;
    for (int index = 0; index < std::min(count, 3); ++index) {
        seeds += (seeds.empty() ? "" : ",") + ips[static_cast<std::size_t>(index)] + ":"
            + std::to_string(chosen[3]);
    }
    std::vector<std::unique_ptr<machine>> machines;
    for (int index = 0; index < count; ++index) {
        auto zone = zones[static_cast<std::size_t>(index) % zones.size()];
        machines.push_back(std::make_unique<machine>(
            machine_options { .name = "frontend-" + zone + "-" + std::to_string(index + 1),
                .zone = zone,
                .ip = ips[static_cast<std::size_t>(index)],
                .callerPort = chosen[0],
                .readyPort = chosen[1],
                .directoryPort = chosen[2],
                .peerPort = chosen[3],
                .metricsPort = chosen[4],
                .seeds = seeds,
                .storeAddress = platform.addAddress(net + "1." + std::to_string(index + 1), index),
                .drainMs = drainMs,
                .folder = folder }));
    }
    return machines;
}

// Asks a machine whether it is ready.
inline bool isReady(const machine& each)
{
    int connection = connectTo(each.ready(), 500);
    if (connection < 0) {
        return false;
    }
    std::string buffer;
    message response;
    sendAll(connection, "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    bool isRead = readMessage(connection, buffer, response, nowMs() + 500) == read_result::complete;
    ::close(connection);
    return isRead && response.status() == 200;
}

inline bool awaitReady(const std::vector<std::unique_ptr<machine>>& machines, std::int64_t limitMs)
{
    auto until = nowMs() + limitMs;
    for (const auto& each : machines) {
        while (!isReady(*each)) {
            if (nowMs() > until) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

// A folder for logs and settings, which is removed at the end.
class temporary_folder {
public:
    temporary_folder()
    {
        auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
