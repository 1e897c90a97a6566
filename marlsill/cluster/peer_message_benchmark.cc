// Measures the mean time to decode the datagrams that a VM of a large fleet gets most often.

#include "marlsill/base/time.h"
#include "marlsill/cluster/peer_message.h"

#include <cstdio>

int main()
{
    using namespace marlsill;
    constexpr int turns = 200'000;
    cluster::peer_message loads;
    loads.sender = "10.0.17.23";
    loads.loads = { { "i-ee4e542d9e", 1, 310 }, { "i-0123456789", 0, 240 } };
    auto ping = cluster::peer_message { .sender = "10.0.17.23", .ping = 812, .digest = 0x123456789abcdef };
    cluster::peer_message evidence { .sender = "10.0.17.23" };
    evidence.evidence = { { "i-ee4e542d9e", placement::evidence_kind::failed } };
    struct row {
        const char* name;
        const cluster::peer_message& message;
    };
    for (const auto& each : { row { "loads", loads }, row { "ping", ping }, row { "evidence", evidence } }) {
        auto bytes = cluster::encode(each.message);
        int decoded = 0;
        reason why;
        auto start = steady_clock::now();
        for (int turn = 0; turn < turns; ++turn) {
            decoded += cluster::decodePeerMessage(bytes, why) ? 1 : 0;
        }
        auto elapsed = std::chrono::duration<double, std::nano>(steady_clock::now() - start).count();
        std::printf("decode_ns %.0f message %s bytes %zu decoded %d of %d\n", elapsed / turns, each.name,
            bytes.size(), decoded, turns);
    }
    return 0;
}
