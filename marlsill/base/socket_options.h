#pragma once

// Socket options that the project sets on its TCP connections.
//
//     setNoDelay(socket.native_handle());
//     detectDeadPeer(socket.native_handle(), std::chrono::milliseconds(1500));

#include <chrono>

namespace marlsill {

// Sends small writes at once.
void setNoDelay(int descriptor);

// Makes a bind to port 0 leave the choice of the port to the connect, so that connections to different peers
// may share a port and none is kept from a listener.
void bindToAnyPort(int descriptor);

// Ends the connection when the other side has acknowledged nothing for about `limit`, both while data is in
// flight and while the connection is idle.
void detectDeadPeer(int descriptor, std::chrono::milliseconds limit);

// Returns how long ago the last data arrived on a TCP connection, also if it has not been read since; zero if
// that is not known. A process that was stopped learns from it how old the requests are that waited for it.
std::chrono::milliseconds timeSinceLastData(int descriptor);

}
