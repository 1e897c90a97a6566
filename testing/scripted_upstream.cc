#include "testing/scripted_upstream.h"

#include "testing/header_field.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

namespace marlsill::testing {

namespace {

    constexpr std::chrono::milliseconds workTime { 100 };

    void resetConnection(Poco::Net::StreamSocket& socket)
    {
        socket.setLinger(true, 0);
        socket.close();
    }

    void sendText(Poco::Net::StreamSocket& socket, const std::string& text)
    {
        ::send(socket.impl()->sockfd(), text.data(), text.size(), MSG_NOSIGNAL);
    }

}

scripted_upstream::scripted_upstream(std::string id, gateway::wire_fields fields, unsigned short port)
    : m_id(std::move(id))
    , m_fields(std::move(fields))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", port))
    , m_address(m_socket.address().toString())
{
    m_acceptor = std::thread([this] { acceptLoop(); });
}

scripted_upstream::~scripted_upstream()
{
    crash();
    m_acceptor.join();
    m_connectionThreads.shutdownAll(); // Those that were accepted meanwhile.
    m_connectionThreads.joinAll();
}

void scripted_upstream::plan(std::vector<upstream_step> steps)
{
    std::lock_guard lock(m_mutex);
    m_steps.assign(steps.begin(), steps.end());
}

void scripted_upstream::crashOn(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    m_crashText = text;
}

void scripted_upstream::setRunListener(std::function<void(const std::string&)> listener)
{
    std::lock_guard lock(m_mutex);
    m_listener = std::move(listener);
}

void scripted_upstream::setArrivalListener(std::function<void(const std::string&)> listener)
{
    std::lock_guard lock(m_mutex);
    m_arrivalListener = std::move(listener);
}

void scripted_upstream::setRetryAfter(std::string value)
{
    std::lock_guard lock(m_mutex);
    m_retryAfter = std::move(value);
}

void scripted_upstream::setTurnAwayListener(
    std::function<void(const std::string&, const std::string&)> listener)
{
    std::lock_guard lock(m_mutex);
    m_turnAwayListener = std::move(listener);
}

void scripted_upstream::setStatusLine(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    m_statusLine = line;
}

int scripted_upstream::runsOf(const std::string& request) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_runs.find(request);
    return found == m_runs.end() ? 0 : found->second;
}

std::string scripted_upstream::lastHead() const
{
    std::lock_guard lock(m_mutex);
    return m_lastHead;
}

void scripted_upstream::crash()
{
    m_isStopped = true;
    ::shutdown(m_socket.impl()->sockfd(), SHUT_RDWR);
    m_connectionThreads.shutdownAll();
}

void scripted_upstream::acceptLoop()
{
    while (!m_isStopped) {
        try {
            auto socket = m_socket.acceptConnection();
            ++m_connections;
            m_connectionThreads.start(socket, [this](auto& accepted) { serve(accepted); });
        } catch (const Poco::Exception&) {
            break; // The socket was shut down.
        }
    }
    m_socket.close();
}

std::vector<std::chrono::steady_clock::time_point> scripted_upstream::arrivalTimes() const
{
    std::lock_guard lock(m_mutex);
    return m_arrivalTimes;
}

void scripted_upstream::setLeavingField(const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_leavingField = value;
}

// Returns the header lines that name the limit and that the upstream leaves, if it does.
std::string scripted_upstream::stateFields() const
{
    auto limit = m_rateLimit.load();
    auto fields = limit > 0 ? m_fields.rateLimit + ": " + std::to_string(limit) + "\r\n" : std::string();
    std::lock_guard lock(m_mutex);
    if (!m_leavingField.empty()) {
        fields += m_fields.leaving + ": " + m_leavingField + "\r\nX-Answered-By: " + m_id + "\r\n";
    }
    return fields;
}

upstream_step scripted_upstream::nextStep()
{
    std::lock_guard lock(m_mutex);
    if (m_steps.empty()) {
        return upstream_step::answer;
    }
    auto step = m_steps.front();
    m_steps.pop_front();
    return step;
}

// Sends `first` and then `piece` again and again, until the other side closes or the upstream is stopped.
void scripted_upstream::sendEndlessly(
    Poco::Net::StreamSocket& socket, const std::string& first, const std::string& piece)
{
    ++m_endlessSenders;
    auto pause = m_endlessPause.load();
    auto part = piece;
    while (pause.count() == 0 && part.size() < 16'000) {
        part += piece;
    }
    sendText(socket, first);
    std::size_t total = first.size();
    while (!m_isStopped) {
        auto sent = ::send(socket.impl()->sockfd(), part.data(), part.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            break;
        }
        total += static_cast<std::size_t>(sent);
        std::this_thread::sleep_for(pause);
    }
    auto most = m_mostEndlessBytes.load();
    while (total > most && !m_mostEndlessBytes.compare_exchange_weak(most, total)) { }
    --m_endlessSenders;
}

void scripted_upstream::turnAway(Poco::Net::StreamSocket& socket, const std::string& request, bool saysNotRun)
{
    std::string retryAfter;
    {
        std::lock_guard lock(m_mutex);
        retryAfter = m_retryAfter;
        if (m_turnAwayListener) {
            m_turnAwayListener(request, retryAfter);
        }
    }
    sendText(socket,
        "HTTP/1.1 503 Later\r\n" + m_fields.requestId + ": " + request + "\r\nRetry-After: " + retryAfter
            + "\r\n" + (saysNotRun ? m_fields.notRun + ": 1\r\n" : std::string()) + stateFields()
            + "Content-Length: 0\r\n\r\n");
}

void scripted_upstream::serve(Poco::Net::StreamSocket& socket)
{
    std::string buffer;
    ++m_openConnections;
    try {
        while (!m_isStopped && serveOne(socket, buffer)) { }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the other side has closed.
    }
    --m_openConnections;
}

bool scripted_upstream::serveOne(Poco::Net::StreamSocket& socket, std::string& buffer)
{
    char chunk[4096];
    auto receive = [&] {
        int count = socket.receiveBytes(chunk, sizeof chunk);
        buffer.append(chunk, static_cast<std::size_t>(std::max(0, count)));
        return count > 0;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive()) {
            return false;
        }
    }
    auto head = buffer.substr(0, end + 4);
    buffer.erase(0, end + 4);
    ++m_arrivals;
    auto step = nextStep();
    auto length = headerField(head, "Content-Length");
    std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
    auto request = headerField(head, m_fields.requestId);
    const std::string start = "HTTP/1.1 200 OK\r\n" + m_fields.requestId + ": " + request + "\r\n"
        + m_fields.seal + ": seal-" + request + "\r\n" + stateFields();
    const std::string whole
        = start + "Content-Length: " + std::to_string(m_body.size()) + "\r\n\r\n" + m_body;
    if (step == upstream_step::early) {
        sendText(socket,
            "HTTP/1.1 413 Too Large\r\n" + m_fields.requestId + ": " + request + "\r\n" + stateFields()
                + "Content-Length: 0\r\n\r\n");
    }
    while (buffer.size() < bodySize) {
        if (!receive()) {
            return false;
        }
    }
    auto content = head + buffer.substr(0, bodySize);
    buffer.erase(0, bodySize);
    bool isCrash = false;
    {
        std::lock_guard lock(m_mutex);
        m_lastHead = head;
        m_arrivalTimes.push_back(std::chrono::steady_clock::now());
        isCrash = !m_crashText.empty() && content.find(m_crashText) != std::string::npos;
        bool isRun = step != upstream_step::refuse && step != upstream_step::misdirect
            && step != upstream_step::early && step != upstream_step::turnAway
            && step != upstream_step::turnAwayUnstated;
        m_runs[request] += isRun ? 1 : 0;
        if (isRun && m_listener) {
            m_listener(request);
        }
        if (m_arrivalListener) {
            m_arrivalListener(request);
        }
    }
    if (isCrash) {
        crash();
        return false;
    }
    switch (step) {
    case upstream_step::answer:
        std::this_thread::sleep_for(m_workTime.load());
        sendText(socket, whole);
        return true;
    case upstream_step::error:
        sendText(socket,
            "HTTP/1.1 500 Failed\r\n" + m_fields.requestId + ": " + request + "\r\n" + m_fields.seal
                + ": seal\r\n" + stateFields() + "Content-Length: 6\r\n\r\nfailed");
        return true;
    case upstream_step::refuse:
        sendText(socket,
            "HTTP/1.1 503 Full\r\n" + m_fields.requestId + ": " + request + "\r\n" + m_fields.notRun
                + ": 1\r\n" + stateFields() + "Content-Length: 0\r\n\r\n");
        return true;
    case upstream_step::repeatRefusal:
    case upstream_step::repeatUnnamedRefusal:
        sendText(socket,
            "HTTP/1.1 503 Full\r\n"
                + (step == upstream_step::repeatRefusal ? m_fields.requestId + ": earlier\r\n"
                                                        : std::string())
                + m_fields.notRun + ": 1\r\nRetry-After: 5\r\n" + stateFields()
                + "Content-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(m_workTime.load());
        sendText(socket, whole);
        return true;
    case upstream_step::repeatUnnamedMisdirect:
        sendText(socket, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(m_workTime.load());
        sendText(socket, whole);
        return true;
    case upstream_step::cutHead:
        sendText(socket, start + "Content-Len");
        ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
        return false;
    case upstream_step::resetHead:
        sendText(socket, start);
        std::this_thread::sleep_for(workTime);
        resetConnection(socket);
        return false;
    case upstream_step::turnAway:
    case upstream_step::turnAwayUnstated:
        turnAway(socket, request, step == upstream_step::turnAway);
        return true;
    case upstream_step::misdirect:
        sendText(socket,
            "HTTP/1.1 421 Other\r\n" + m_fields.requestId + ": " + request + "\r\n" + stateFields()
                + "Content-Length: 0\r\n\r\n");
        return true;
    case upstream_step::reset:
        resetConnection(socket);
        return false;
    case upstream_step::lateReset:
        std::this_thread::sleep_for(workTime);
        resetConnection(socket);
        return false;
    case upstream_step::forget:
        sendText(socket, whole);
        if (receive()) {
            resetConnection(socket);
        }
        return false;
    case upstream_step::cut:
        sendText(socket, start + "Content-Length: 500\r\n\r\nhalf");
        ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
        return false;
    case upstream_step::garbage:
        sendText(socket, "these bytes are no answer\r\n\r\n");
        return false;
    case upstream_step::unframed:
        sendText(socket, start + "\r\n" + m_body);
        ::shutdown(socket.impl()->sockfd(), SHUT_WR);
        return false;
    case upstream_step::lateExtra:
        sendText(socket, whole);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        sendText(socket, whole);
        return true;
    case upstream_step::copyBeforeNext: {
        // The answer to a HEAD request announces a body that it does not have.
        auto copied = head.starts_with("HEAD ") ? whole.substr(0, whole.size() - m_body.size()) : whole;
        sendText(socket, copied);
        if (buffer.empty() && !receive()) {
            return false;
        }
        sendText(socket, copied);
        return true;
    }
    case upstream_step::oddStatus: {
        std::string statusLine;
        {
            std::lock_guard lock(m_mutex);
            statusLine = m_statusLine;
        }
        sendText(socket, statusLine + whole.substr(whole.find("\r\n")));
        return true;
    }
    case upstream_step::unsealed:
        sendText(socket,
            "HTTP/1.1 200 OK\r\n" + m_fields.requestId + ": " + request + "\r\n" + stateFields()
                + "Content-Length: 2\r\n\r\nno");
        return true;
    case upstream_step::slowBody:
        sendText(socket, start + "Content-Length: 14\r\n\r\n");
        std::this_thread::sleep_for(m_workTime.load());
        sendText(socket, m_body);
        return true;
    case upstream_step::hang:
        m_sawCancel = !receive() || m_sawCancel.load();
        return false;
    case upstream_step::early:
        return true;
    case upstream_step::endlessHeadLine:
        sendEndlessly(socket, start + "X-Long: ", std::string(1'000, 'x'));
        return false;
    case upstream_step::endlessHead:
        sendEndlessly(socket, start, "X-Field: value\r\n");
        return false;
    case upstream_step::endlessInformational:
        sendEndlessly(socket, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
        return false;
    case upstream_step::endlessStrangers:
        sendEndlessly(socket, "",
            "HTTP/1.1 200 OK\r\n" + m_fields.requestId + ": other\r\nContent-Length: 2\r\n\r\nno");
        return false;
    case upstream_step::endlessBody:
        sendEndlessly(socket, start + "\r\n", std::string(4'000, 'x'));
        return false;
    case upstream_step::endlessExcess:
        sendEndlessly(socket, whole, std::string(1'000, 'x'));
        return false;
    case upstream_step::endlessChunk:
        sendEndlessly(
            socket, start + "Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", std::string(4'000, 'x'));
        return false;
    case upstream_step::endlessExtensions:
        sendEndlessly(
            socket, start + "Transfer-Encoding: chunked\r\n\r\n", "1;" + std::string(200, 'e') + "\r\nx\r\n");
        return false;
    case upstream_step::endlessTrailers:
        sendEndlessly(socket, start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n");
        return false;
    case upstream_step::endlessNoise:
        sendEndlessly(socket, "", std::string(500, '\x01') + "\n");
        return false;
    }
    return false;
}

}
