#include "testing/upstream_stand_in.h"

#include "marlsill/base/random.h"
#include "marlsill/http/field_names.h"
#include "marlsill/http/message_writer.h"

#include <Poco/Exception.h>
#include <sys/socket.h>

namespace marlsill::testing {

namespace {

    constexpr std::chrono::milliseconds pollPause { 50 };
    constexpr int backlog = 512;

    void resetSocket(http::channel& channel)
    {
        linger abortive { 1, 0 };
        ::setsockopt(channel.watch().descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        ::shutdown(channel.watch().descriptor, SHUT_RDWR);
    }

    std::string chunked(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http::serializeChunk(body);
    }

}

upstream_stand_in::upstream_stand_in(upstream_options options)
    : m_options(std::move(options))
    , m_socket(m_options.address, backlog)
    , m_address(m_socket.address())
{
}

upstream_stand_in::~upstream_stand_in() { stop(); }

void upstream_stand_in::start()
{
    m_acceptor = std::jthread([this](const std::stop_token& stop) { acceptLoop(stop); });
}

void upstream_stand_in::stop()
{
    m_isStopping = true;
    m_acceptor = {};
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(m_mutex);
        threads.swap(m_threads);
        for (auto& weak : m_connections) {
            if (auto connection = weak.lock()) {
                ::shutdown(connection->channel.watch().descriptor, SHUT_RDWR);
            }
        }
    }
    for (auto& each : threads) {
        each.join();
    }
}

void upstream_stand_in::setFaults(upstream_faults faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void upstream_stand_in::silenceOpenConnections()
{
    std::lock_guard lock(m_mutex);
    for (auto& weak : m_connections) {
        if (auto connection = weak.lock()) {
            connection->isSilent = true;
        }
    }
}

std::map<std::string, int> upstream_stand_in::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

void upstream_stand_in::acceptLoop(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        if (!m_socket.poll(Poco::Timespan(std::chrono::microseconds(pollPause).count()),
                Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        auto connection = std::make_shared<open_connection>(http::channel(m_socket.acceptConnection()));
        if (!isUp()) {
            resetSocket(connection->channel);
            continue;
        }
        std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serveConnection(connection); });
    }
}

void upstream_stand_in::serveConnection(const std::shared_ptr<open_connection>& connection)
{
    bool isOpen = true;
    while (isOpen && !m_isStopping) {
        http::request_message request;
        auto status
            = http::readRequest(connection->channel, request, {}, deadlineAfter(std::chrono::minutes(1)));
        isOpen = status == http::read_status::complete && serveRequest(*connection, request);
    }
    resetSocket(connection->channel);
}

bool upstream_stand_in::serveRequest(open_connection& connection, const http::request_message& request)
{
    while (connection.isSilent && !m_isStopping) {
        std::this_thread::sleep_for(pollPause);
    }
    if (m_isStopping) {
        return false;
    }
    auto limit = deadlineAfter(std::chrono::seconds(5));
    if (request.head.getURI() == "/health") {
        auto answer = http::makeResponse(200, "application/json", "{\"healthy\":true}");
        return connection.channel.write(http::serialize(answer, "GET"), limit) == http::io_status::ok;
    }
    upstream_faults faults;
    {
        std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    if (auto why = refusal(request, faults); !why.empty()) {
        auto answer = http::makeResponse(503, "text/plain", why);
        answer.head.set(http::field::refused, why);
        return connection.channel.write(http::serialize(answer, request.head.getMethod()), limit)
            == http::io_status::ok;
    }
    ++m_started;
    {
        std::lock_guard lock(m_mutex);
        ++m_runs[request.head.get("X-Request-Id", "")];
    }
    bool isCrash = request.body.find(crashWord) != std::string::npos
        || request.head.getURI().find(crashWord) != std::string::npos
        || request.head.get(http::field::clientAccount, "").find(crashWord) != std::string::npos;
    bool isSpoilt = std::uniform_real_distribution<double>(0, 1)(threadRandom()) < faults.share;
    bool isCancelled = !work(connection, faults);
    --m_busy;
    if (isCancelled) {
        ++m_cancellations;
        return false;
    }
    if (isCrash) {
        crash();
        return false;
    }
    return sendAnswer(connection, request, isSpoilt ? faults.spoilt : spoilt_answer::none);
}

std::string upstream_stand_in::refusal(const http::request_message& request, const upstream_faults& faults)
{
    if (faults.isDraining) {
        return "draining";
    }
    if (faults.isShedding) {
        return "shed";
    }
    auto text = request.head.get(http::field::requestDeadlineMs, "");
    if (!text.empty() && std::stoll(text) <= toUnixMilliseconds(wall_clock::now())) {
        return "deadline";
    }
    int busy = ++m_busy;
    if (busy > m_options.slots) {
        --m_busy;
        return "shed";
    }
    int most = m_mostAtOnce.load();
    while (busy > most && !m_mostAtOnce.compare_exchange_weak(most, busy)) { }
    return {};
}

// Spends the service time; returns false when the other side gives up meanwhile.
bool upstream_stand_in::work(open_connection& connection, const upstream_faults& faults)
{
    auto length = std::chrono::duration<double, std::micro>(m_options.serviceTime) * faults.slowdown
        + std::chrono::milliseconds(faults.coldMilliseconds);
    auto until = deadlineAfter(std::chrono::duration_cast<steady_clock::duration>(length));
    while (!hasPassed(until, steady_clock::now()) && !m_isStopping) {
        if (!connection.channel.isIdleAndOpen()) {
            return false;
        }
        auto left = until - steady_clock::now();
        std::this_thread::sleep_for(std::min<steady_clock::duration>(left, std::chrono::milliseconds(20)));
    }
    return true;
}

bool upstream_stand_in::sendAnswer(
    open_connection& connection, const http::request_message& request, spoilt_answer spoilt)
{
    auto limit = deadlineAfter(std::chrono::seconds(5));
    auto id = request.head.get("X-Request-Id", "");
    auto body = R"({"upstream":")" + m_options.name + R"(","id":")" + id + R"(","echo":)"
        + std::to_string(request.body.size()) + "}";
    if (request.head.getURI().starts_with("/large/")) {
        body.append(static_cast<std::size_t>(std::stoll(request.head.getURI().substr(7))), 'x');
    }
    auto& channel = connection.channel;
    auto whole = http::serialize(http::makeResponse(200, "application/json", body), request.head.getMethod());
    switch (spoilt) {
    case spoilt_answer::none:
        return channel.write(whole, limit) == http::io_status::ok;
    case spoilt_answer::shortLength:
        channel.write(std::string_view(whole).substr(0, whole.size() - 5), limit);
        return false;
    case spoilt_answer::cutChunk: {
        auto bytes = chunked(body);
        channel.write(std::string_view(bytes).substr(0, bytes.size() - 5), limit);
        return false;
    }
    case spoilt_answer::noLastChunk:
        channel.write(chunked(body), limit);
        return false;
    case spoilt_answer::closed:
        return false;
    case spoilt_answer::garbage:
        channel.write("\x01\x02 not HTTP\r\n\r\n", limit);
        return false;
    case spoilt_answer::extraBytes:
        return channel.write(whole + whole, limit) == http::io_status::ok;
    case spoilt_answer::serverError: {
        auto answer = http::makeResponse(500, "text/plain", "internal error");
        return channel.write(http::serialize(answer, request.head.getMethod()), limit) == http::io_status::ok;
    }
    case spoilt_answer::never:
        while (connection.channel.isIdleAndOpen() && !m_isStopping) {
            std::this_thread::sleep_for(pollPause);
        }
        ++m_cancellations;
        return false;
    }
    return false;
}

void upstream_stand_in::crash()
{
    ++m_crashes;
    m_upAgainAt
        = deadlineAfter(std::chrono::milliseconds(m_options.restartMilliseconds)).time_since_epoch().count();
    std::lock_guard lock(m_mutex);
    for (auto& weak : m_connections) {
        if (auto connection = weak.lock()) {
            resetSocket(connection->channel);
        }
    }
}

}
