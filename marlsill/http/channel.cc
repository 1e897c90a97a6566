#include "marlsill/http/channel.h"

#include <Poco/Exception.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace marlsill::http {

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    // Limit of one poll() call, whose timeout is an int. Callers poll again until their deadline.
    constexpr int maxPollMilliseconds = 60'000;

    int pollTimeout(deadline limit)
    {
        auto left = millisecondsUntil(limit, steady_clock::now());
        return static_cast<int>(std::min<std::int64_t>(left, maxPollMilliseconds));
    }

    // Returns whether the peer of a readable socket has closed or reset the connection.
    bool isClosedByPeer(int descriptor)
    {
        char byte = 0;
        auto count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    io_status waitReadable(int descriptor, deadline limit, watched_socket watched)
    {
        pollfd entries[] = { { descriptor, POLLIN, 0 }, { watched.descriptor, POLLIN | POLLRDHUP, 0 },
            { watched.endDescriptor, POLLIN, 0 } }; // poll() ignores negative descriptors.
        while (true) {
            int timeout = pollTimeout(limit);
            int ready = ::poll(entries, std::size(entries), timeout);
            if (ready < 0 && errno != EINTR) {
                return io_status::failed;
            }
            if (ready > 0 && entries[0].revents) {
                return io_status::ok;
            }
            if (ready > 0 && entries[2].revents) {
                return io_status::timedOut;
            }
            if (ready > 0 && entries[1].revents) {
                if (isClosedByPeer(watched.descriptor)) {
                    return io_status::cancelled;
                }
                // The watched socket has received data, such as a pipelined request. It is left unread, and
                // as poll() would report it again at once, the socket is no longer watched.
                entries[1].fd = -1;
            }
            if (hasPassed(limit, steady_clock::now())) {
                return io_status::timedOut;
            }
        }
    }

    bool waitWritable(int descriptor, deadline limit)
    {
        pollfd entry { descriptor, POLLOUT, 0 };
        while (true) {
            int ready = ::poll(&entry, 1, pollTimeout(limit));
            if (ready > 0) {
                return true;
            }
            if (ready < 0 && errno != EINTR) {
                return false;
            }
            if (hasPassed(limit, steady_clock::now())) {
                return false;
            }
        }
    }

}

channel::channel(const Poco::Net::StreamSocket& socket)
    : m_socket(socket)
    , m_descriptor(m_socket.impl()->sockfd())
{
    m_socket.setNoDelay(true);
}

std::optional<channel> channel::connect(const Poco::Net::SocketAddress& address, deadline limit)
{
    try {
        Poco::Net::StreamSocket socket;
        auto left = millisecondsUntil(limit, steady_clock::now());
        if (left == 0) {
            return std::nullopt;
        }
        socket.connect(address, Poco::Timespan(left * 1000));
        return channel(socket);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

io_status channel::fill(deadline limit, watched_socket watched)
{
    auto ready = waitReadable(m_descriptor, limit, watched);
    if (ready != io_status::ok) {
        return ready;
    }
    if (m_start > 0) {
        m_buffer.erase(0, m_start);
        m_start = 0;
    }
    auto oldSize = m_buffer.size();
    m_buffer.resize(oldSize + readBytes);
    auto count = ::recv(m_descriptor, m_buffer.data() + oldSize, readBytes, MSG_DONTWAIT);
    m_buffer.resize(oldSize + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0) {
        return io_status::ok;
    }
    return count == 0 ? io_status::closed : io_status::failed;
}

io_status channel::write(std::string_view bytes, deadline limit)
{
    while (!bytes.empty()) {
        auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno != EAGAIN) {
            return io_status::failed;
        }
        if (!waitWritable(m_descriptor, limit)) {
            return io_status::timedOut;
        }
    }
    return io_status::ok;
}

void channel::consume(std::size_t count)
{
    m_start += count;
    if (m_start == m_buffer.size()) {
        m_buffer.clear();
        m_start = 0;
    }
}

bool channel::isIdleAndOpen() const
{
    if (!buffered().empty()) {
        return false;
    }
    pollfd entry { m_descriptor, POLLIN | POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) == 0;
}

void channel::close()
{
    try {
        m_socket.close();
    } catch (const Poco::Exception&) {
        m_descriptor = -1;
    }
}

}
