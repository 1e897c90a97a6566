#include "marlsill/base/socket_options.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marlsill {

namespace {

    constexpr int keepAliveProbes = 2; // One lost packet alone does not end a connection.

    void set(int descriptor, int level, int name, int value)
    {
        ::setsockopt(descriptor, level, name, &value, sizeof value); // Only speeds up detection.
    }

}

void setNoDelay(int descriptor) { set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1); }

void bindToAnyPort(int descriptor) { set(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1); }

void detectDeadPeer(int descriptor, std::chrono::milliseconds limit)
{
    int seconds = std::max(1, static_cast<int>(limit.count() / 1000));
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

std::chrono::milliseconds timeSinceLastData(int descriptor)
{
    tcp_info info {};
    socklen_t length = sizeof info;
    bool isKnown = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return std::chrono::milliseconds(isKnown ? info.tcpi_last_data_recv : 0);
}

}
