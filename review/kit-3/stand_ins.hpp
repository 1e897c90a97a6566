// Stand-ins of the platform's store, of backends and of clients, and the start of entry daemons, for the
// cases of the third review. Plain sockets and threads; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
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
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const steady::time_point startOfRun = steady::now();
inline double seconds() { return std::chrono::duration<double>(steady::now() - startOfRun).count(); }
inline void sleepMs(int length) { std::this_thread::sleep_for(ms(length)); }

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// Returns a port that is free for the socket type on the host now.
inline int freePort(const std::string& host, int type = SOCK_STREAM)
{
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    auto address = addressOf(host, 0);
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    close(fd);
    return ntohs(address.sin_port);
}

// A connection that reads HTTP/1.1 messages with a length.
class connection {
public:
    connection() = default;
    explicit connection(int fd)
        : m_fd(fd)
    {
    }
    ~connection() { end(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Connects within the time limit.
    bool open(const std::string& host, int port, int timeoutMs = 1000)
    {
        end();
        m_buffer.clear();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto address = addressOf(host, port);
        int result = ::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        if (result != 0 && errno == EINPROGRESS) {
            pollfd waiting { m_fd, POLLOUT, 0 };
            int error = 0;
            socklen_t length = sizeof error;
            if (poll(&waiting, 1, timeoutMs) == 1) {
                getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
                result = error == 0 ? 0 : -1;
            }
        }
        if (result != 0) {
            end();
            return false;
        }
        fcntl(m_fd, F_SETFL, 0);
        int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }

    void end()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
        m_fd = -1;
    }

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads one message: a head, and a body of its Content-Length. False: the connection ended, or the time.
    bool receive(std::string& head, std::string& body, int timeoutMs)
    {
        auto until = steady::now() + ms(timeoutMs);
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        auto length = field(head, "Content-Length");
        std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    // Returns the value of a header field, or an empty text.
    static std::string field(const std::string& head, const std::string& name)
    {
        std::size_t at = head.find("\r\n");
        while (at != std::string::npos && at + 2 < head.size()) {
            auto start = at + 2;
            at = head.find("\r\n", start);
            auto line = head.substr(start, at == std::string::npos ? at : at - start);
            if (line.size() > name.size() && line[name.size()] == ':'
                && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
                auto value = line.find_first_not_of(' ', name.size() + 1);
                return value == std::string::npos ? "" : line.substr(value);
            }
        }
        return {};
    }

private:
    bool fill(steady::time_point until)
    {
        auto left = std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd waiting { m_fd, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16384];
        auto count = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd = -1;
    std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own until the process ends.
class server {
public:
    server(const std::string& host, int port, std::function<void(connection&)> serve)
        : m_serve(std::move(serve))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = addressOf(host, port);
        if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(m_fd, 1024) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        socklen_t length = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }

private:
    void accept()
    {
        while (true) {
            int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                connection accepted(fd);
                m_serve(accepted);
            }).detach();
        }
    }

    std::function<void(connection&)> m_serve;
    int m_fd = -1;
    int m_port = 0;
};

// The platform's store: lists, watches and writes of objects by kind, as PROTOCOL.md tells.
class store {
public:
    explicit store(const std::string& host = "127.0.0.1")
        : m_host(host)
        , m_server(host, 0, [this](connection& each) { serve(each); })
    {
    }

    std::string address() const { return m_host + ":" + std::to_string(m_server.port()); }

    // Returns the address of a way of its own to the store, which cut() can take from a machine.
    std::string addWay()
    {
        auto added = std::make_shared<way>();
        m_wayStates.push_back(added);
        m_ways.push_back(
            std::make_unique<server>(m_host, 0, [this, added](connection& each) { serve(each, added.get()); }));
        return m_host + ":" + std::to_string(m_ways.back()->port());
    }

    // Cuts a way without a word, or heals it: while it is cut, nothing passes in either direction.
    void cut(std::size_t number, bool isCut) { m_wayStates[number]->isCut = isCut; }

    // Returns how many calls came on a way so far.
    long calls(std::size_t number) const { return m_wayStates[number]->calls; }

    // Creates or replaces an object; `content` is its specification, as JSON.
    void put(const std::string& kind, const std::string& name, const std::string& content)
    {
        std::lock_guard lock(m_mutex);
        m_objects[kind][name] = { ++m_revision, content };
        m_history.push_back({ kind, name, m_revision, false, content });
        m_changed.notify_all();
    }

    // Replaces several objects at the same moment.
    void putAll(const std::string& kind, const std::vector<std::pair<std::string, std::string>>& contents)
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [name, content] : contents) {
            m_objects[kind][name] = { ++m_revision, content };
            m_history.push_back({ kind, name, m_revision, false, content });
        }
        m_changed.notify_all();
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        m_objects[kind].erase(name);
        m_history.push_back({ kind, name, ++m_revision, true, "null" });
        m_changed.notify_all();
    }

    // While it is away the store answers nothing.
    void setAway(bool isAway) { m_isAway = isAway; }

    // Keeps a copy of all objects, for restore().
    void takeCopy()
    {
        std::lock_guard lock(m_mutex);
        m_copy = m_objects;
        m_copyRevision = m_revision;
    }

    // Comes back from the copy: what was written since is gone, revisions are given out again, and the era
    // rises by one.
    void restore()
    {
        std::lock_guard lock(m_mutex);
        m_objects = m_copy;
        m_revision = m_copyRevision;
        std::erase_if(m_history, [this](const auto& each) { return each.revision > m_copyRevision; });
        ++m_era;
        m_isAway = false;
        m_changed.notify_all();
    }

private:
    struct way {
        std::atomic<bool> isCut = false;
        std::atomic<long> calls = 0;
    };
    struct object {
        long revision = 0;
        std::string content;
    };
    struct change {
        std::string kind;
        std::string name;
        long revision = 0;
        bool isDeleted = false;
        std::string content;
    };

    static std::string wrap(const std::string& name, long revision, const std::string& content)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision)
            + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"specification\":" + content
            + ",\"status\":null}";
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto query = target.find('?');
        if (query == std::string::npos) {
            return {};
        }
        std::istringstream parts(target.substr(query + 1));
        for (std::string each; std::getline(parts, each, '&');) {
            if (each.rfind(name + "=", 0) == 0) {
                return each.substr(name.size() + 1);
            }
        }
        return {};
    }

    void serve(connection& each, way* on = nullptr)
    {
        std::string head;
        std::string body;
        auto isSilent = [&] { return m_isAway || (on && on->isCut); };
        while (each.receive(head, body, 60'000)) {
            if (on) {
                ++on->calls;
            }
            auto first = head.find(' ');
            auto method = head.substr(0, first);
            auto target = head.substr(first + 1, head.find(' ', first + 1) - first - 1);
            int status = 200;
            std::string answer;
            if (!isSilent()) {
                answer = handle(method, target, body, status);
            }
            if (isSilent()) {
                continue;
            }
            bool isSent = each.send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
                + "Store-Era: " + std::to_string(m_era) + "\r\n"
                + "Content-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer);
            if (!isSent) {
                return;
            }
        }
    }

    std::string handle(
        const std::string& method, const std::string& target, const std::string& body, int& status)
    {
        auto path = target.substr(0, target.find('?'));
        auto rest = path.substr(std::string("/objects/").size());
        auto slash = rest.find('/');
        auto kind = rest.substr(0, slash);
        auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (method == "POST" || method == "PUT") {
            auto at = body.find("\"name\":\"");
            auto named = name.empty() && at != std::string::npos
                ? body.substr(at + 8, body.find('"', at + 8) - at - 8)
                : name;
            if (method == "POST" && m_objects[kind].contains(named)) {
                status = 409;
                return wrap(named, m_objects[kind][named].revision, m_objects[kind][named].content);
            }
            auto specification = body.find("\"specification\":");
            auto content = specification == std::string::npos
                ? "null"
                : body.substr(specification + 16, body.size() - specification - 17);
            m_objects[kind][named] = { ++m_revision, content };
            m_history.push_back({ kind, named, m_revision, false, content });
            m_changed.notify_all();
            return wrap(named, m_revision, content);
        }
        if (method == "DELETE") {
            m_objects[kind].erase(name);
            m_history.push_back({ kind, name, ++m_revision, true, "null" });
            m_changed.notify_all();
            return "{}";
        }
        auto watch = parameter(target, "watch");
        if (watch.empty()) {
            return list(kind, parameter(target, "after"));
        }
        auto from = std::stol(watch);
        auto era = m_era.load();
        if (from > m_revision) {
            status = 410;
            return "{}";
        }
        auto until = steady::now() + ms(std::stol(parameter(target, "waitMs")));
        std::string events;
        while (true) {
            for (const auto& each : m_history) {
                if (each.kind == kind && each.revision > from) {
                    events += std::string(events.empty() ? "" : ",") + "{\"object\":"
                        + wrap(each.name, each.revision, each.content)
                        + ",\"deleted\":" + (each.isDeleted ? "true" : "false") + "}";
                }
            }
            if (m_era != era) {
                status = 410;
                return "{}";
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}";
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        std::string items;
        int count = 0;
        bool hasMore = false;
        auto& objects = m_objects[kind];
        for (auto each = objects.upper_bound(after); each != objects.end(); ++each) {
            if (count++ == 500) {
                hasMore = true;
                break;
            }
            items += (items.empty() ? "" : ",") + wrap(each->first, each->second.revision, each->second.content);
        }
        return "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false")
            + ",\"at\":" + std::to_string(m_revision) + "}";
    }

    const std::string m_host;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_history;
    long m_revision = 100;
    std::map<std::string, std::map<std::string, object>> m_copy;
    long m_copyRevision = 0;
    std::atomic<int> m_era = 1;
    std::atomic<bool> m_isAway = false;
    std::vector<std::shared_ptr<way>> m_wayStates;
    std::vector<std::unique_ptr<server>> m_ways;
    server m_server;
};

// What a request looks like to a backend.
struct arrival {
    std::string head;
    std::string body;
    std::string id; // Attempt-Id.
};

// A backend that runs every request that is meant for it, for some milliseconds.
class backend {
public:
    using run_function = std::function<std::string(const arrival&)>; // Returns extra header lines.

    backend(std::string host, std::string id, int workMs, run_function onRun)
        : m_host(std::move(host))
        , m_id(std::move(id))
        , m_workMs(workMs)
        , m_onRun(std::move(onRun))
        , m_server(m_host, 0, [this](connection& each) { serve(each); })
    {
    }

    const std::string& id() const { return m_id; }
    std::string address() const { return m_host + ":" + std::to_string(m_server.port()); }

    std::string entry(const std::string& service, const std::string& zone, int slots,
        const std::string& state = "ready", long born = 0) const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state
            + "\",\"warmupRemainingMs\":0,\"sequence\":1"
            + (born ? ",\"born\":" + std::to_string(born) : std::string()) + "}";
    }

private:
    void serve(connection& each)
    {
        arrival current;
        while (each.receive(current.head, current.body, 60'000)) {
            current.id = connection::field(current.head, "Attempt-Id");
            auto expected = connection::field(current.head, "Expected-Instance");
            if (!expected.empty() && expected != m_id) {
                each.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + current.id
                    + "\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            auto extra = m_onRun(current);
            sleepMs(m_workMs);
            std::string body = "answer to " + current.id;
            if (!each.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + current.id + "\r\nResponse-Seal: 1."
                    + current.id + "\r\n" + extra + "Content-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    const std::string m_host;
    const std::string m_id;
    const int m_workMs;
    run_function m_onRun;
    server m_server;
};

// The ports of a day, the same on all machines.
struct ports {
    int frontend = freePort("127.0.0.1");
    int ready = freePort("127.0.0.1");
    int directory = freePort("127.0.0.1");
    int control = freePort("127.0.0.1");
    int peer = freePort("127.0.0.1", SOCK_DGRAM);
    int metrics = freePort("127.0.0.1");
};

// What the platform fills into deploy/settings.conf, by the placeholders' paths.
using fields = std::map<std::string, std::string>;

// Fills in the template. Knows plain placeholders and one level of sections, which is all that it has.
inline std::string fillTemplate(std::string text, const fields& values)
{
    auto valueOf = [&](const std::string& name) {
        auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    };
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        auto nameEnd = text.find("}}", at);
        auto name = text.substr(at + 3, nameEnd - at - 3);
        auto closing = "{{/" + name + "}}";
        auto end = text.find(closing, nameEnd);
        auto inside = text.substr(nameEnd + 2, end - nameEnd - 2);
        auto value = valueOf(name);
        bool isRendered = !value.empty() && value != "false";
        text.replace(at, end + closing.size() - at, isRendered ? inside : "");
    }
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        auto end = text.find("}}", at);
        auto value = valueOf(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, value);
        at += value.size();
    }
    return text;
}

// One machine with the role of the deploy file.
class machine {
public:
    machine(std::string name, std::string host, fields values, std::string folder)
        : m_name(std::move(name))
        , m_host(std::move(host))
        , m_values(std::move(values))
        , m_folder(std::move(folder))
    {
        if (m_values["ipAddress"].empty()) {
            m_values["ipAddress"] = m_host;
        }
        m_values["nodeName"] = m_name;
    }
    ~machine() { kill(SIGKILL); }

    const std::string& host() const { return m_host; }
    const std::string& name() const { return m_name; }

    // Starts the program of the deploy file's role, from the root of the repository.
    void start()
    {
        auto settings = m_folder + "/" + m_name + ".conf";
        std::ifstream source("deploy/settings.conf");
        std::stringstream text;
        text << source.rdbuf();
        std::ofstream(settings) << fillTemplate(text.str(), m_values);
        auto log = m_folder + "/" + m_name + ".log";
        auto variable = "MARLSILL_NODE_FILE=" + settings;
        char* environment[] = { variable.data(), nullptr };
        std::string program = "target/platform/marlsill-platform-entry";
        char* arguments[] = { program.data(), nullptr };
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execve(program.c_str(), arguments, environment);
            _exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    // Sends the signal and waits for the end.
    int kill(int number)
    {
        if (m_pid <= 0) {
            return 0;
        }
        ::kill(m_pid, number);
        return await();
    }

    int await()
    {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = -1;
        return status;
    }

    bool hasEnded()
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid <= 0;
    }

    // Asks the machine whether it is ready, as the platform does.
    bool isReady(int port) const
    {
        connection asking;
        std::string head;
        std::string body;
        return asking.open(m_host, port, 200) && asking.send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            && asking.receive(head, body, 500) && head.rfind("HTTP/1.1 200", 0) == 0;
    }

private:
    const std::string m_name;
    const std::string m_host;
    fields m_values;
    const std::string m_folder;
    pid_t m_pid = -1;
};

// Returns the fields that all machines of a small deployment share.
inline fields deploymentFields(const ports& used, const std::string& store)
{
    return { { "region", "south" }, { "bounds.graceS", "6" }, { "bounds.drainMs", "2000" },
        { "bounds.ttl_max_s", "5" }, { "bounds.retryBudgetRatio", "0.2" }, { "bounds.retryBudgetSlack", "56" },
        { "bounds.budgetWindowS", "10" }, { "bounds.floorShare", "0.7" }, { "limits.linkMbps", "200.0" },
        { "internalPorts.0", std::to_string(used.peer) }, { "internalPorts.1", std::to_string(used.metrics) },
        { "platform.address", store } };
}

inline void listen(fields& values, const std::string& host, const ports& used)
{
    values["ipAddress"] = host;
    values["listenAddresses.frontend"] = host + ":" + std::to_string(used.frontend);
    values["listenAddresses.ready"] = host + ":" + std::to_string(used.ready);
    values["listenAddresses.directory"] = host + ":" + std::to_string(used.directory);
}

// A file that takes lines from several threads.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
    {
    }

    void line(const std::string& text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", seconds());
        std::lock_guard lock(m_mutex);
        m_file << time << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// A fleet of machines on loopback addresses `network`.1, .2 and so on, in three zones.
class fleet {
public:
    // The first `large` machines have half a core, the others `smallShare` of one. Machines 1 to 3 are seeds.
    // `wayToStore`, if any, returns the address at which the next machine reaches the store.
    fleet(const std::string& network, int machines, int large, const std::string& smallShare,
        const fields& shared, const ports& used, std::function<std::string()> wayToStore = {})
        : m_ports(used)
        , m_folder(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        std::string seeds;
        for (int index = 0; index < std::min(machines, 3); ++index) {
            seeds += (index ? "," : "") + network + std::to_string(index + 1) + ":" + std::to_string(used.control);
        }
        for (int index = 0; index < machines; ++index) {
            auto host = network + std::to_string(index + 1);
            auto values = shared;
            listen(values, host, used);
            values["zone"] = zoneOf(index);
            values["limits.cpuShare"] = index < large ? "0.5" : smallShare;
            values["seedNodes"] = seeds;
            if (wayToStore) {
                values["platform.address"] = wayToStore();
            }
            m_machines.push_back(
                std::make_unique<machine>("m" + std::to_string(index + 1), host, values, m_folder));
        }
    }

    ~fleet()
    {
        m_machines.clear();
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS")) {
            std::filesystem::remove_all(m_folder, ignored);
        }
    }

    static std::string zoneOf(int index) { return "zone-" + std::to_string(index % 3); }

    // Starts all machines and waits until they are ready. False: they were not in time.
    bool start()
    {
        for (auto& each : m_machines) {
            each->start();
        }
        auto limit = seconds() + 20;
        for (auto& each : m_machines) {
            while (!each->isReady(m_ports.ready)) {
                if (seconds() > limit) {
                    return false;
                }
                sleepMs(20);
            }
        }
        return true;
    }

    machine& at(std::size_t index) { return *m_machines[index]; }
    std::size_t size() const { return m_machines.size(); }

private:
    const ports m_ports;
    const std::filesystem::path m_folder;
    std::vector<std::unique_ptr<machine>> m_machines;
};

// Returns whether the disruption is wanted; TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Returns a configuration with one route, /a/, to the service "svc", and one tenant, "acme".
inline std::string configuration(int version, const std::string& kind, const std::string& keys, int ratePerS, int burst)
{
    auto numberOrNull = [](int value) { return value > 0 ? std::to_string(value) : std::string("null"); };
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\"targetLatencyMs\","
          "\"priority\",\"service\",\"attempts\",\"public\",\"trafficSplit\"],\"rows\":[[\"r-1\",\"h.example\",\"/a/\",\""
        + kind
        + "\",2000,1000,0,\"svc\",2,false,null]]},\"services\":{\"columns\":[\"name\",\"healthCheckPath\","
          "\"connectionLimit\",\"protocol\",\"tls\"],\"rows\":[[\"svc\",\"/health\",1770,\"h1\",false]]},"
          "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
          "\"idleTimeoutMs\":15000},\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\","
          "\"burst\"],\"rows\":[[\"acme\",["
        + keys + "],0," + numberOrNull(ratePerS) + "," + numberOrNull(burst) + "]]}}";
}

// Adds the terms of a deployment with tenants.
inline void addTenantTerms(fields& values)
{
    values["bounds.strictRevocation"] = "true";
    values["bounds.revocationMs"] = "5000";
    values["bounds.quotaWindowS"] = "5";
    values["bounds.quotaOvershoot"] = "0.1";
    values["bounds.quotaSlack"] = "20";
}

}
