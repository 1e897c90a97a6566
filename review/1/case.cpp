// A client sends header values that hold RFC 2047 encoded words. The script checks that the backends run what
// clients sent, and nothing else.

#include "../common/stand_ins.hpp"
#include "encoded_words.hpp"

using namespace review;

namespace {

constexpr const char* host = "hulo84.example";
constexpr int requests = 12;

}

int main(int argc, char** argv)
{
    auto run = script::fromArguments(argc, argv);
    recorder record(run.folder + "/record.txt");
    record.line("trouble %d", run.hasTrouble);
    store platform(run.hostAt(200));
    std::mutex mutex;
    std::set<std::string> sent;
    std::vector<std::string> unasked;
    int arrivals = 0;
    backend_listener events {
        .arrived =
            [&](const std::string& id, const message& request) {
                std::lock_guard lock(mutex);
                auto attempt = request.field("attempt-id");
                record.line("run %s at %s: %s", attempt.c_str(), id.c_str(), request.startLine.c_str());
                ++arrivals;
                if (!sent.contains(attempt)) {
                    unasked.push_back(attempt + " at " + id + ": " + request.startLine);
                }
            },
        .ended = [](const std::string&, const message&, bool) {},
    };
    std::vector<std::unique_ptr<backend>> backends;
    for (int index = 0; index < 3; ++index) {
        backends.push_back(std::make_unique<backend>("i-contratos-" + std::to_string(index + 1), "contratos",
            zones[index], run.hostAt(100 + index), 6, 20, events));
        platform.put("servers", backends.back()->id(), backends.back()->entry());
    }
    platform.put("config", "main",
        configuration(7, host,
            { { "contract-read", "/leer/", "safe", "contratos" },
                { "contract-sign", "/firmar/", "unsafe", "contratos" } }));
    std::vector<std::unique_ptr<machine>> machines;
    if (!startMachines(
            run, 3, [&](int) { return platform.address(); }, machines)) {
        record.line("the machines did not become ready");
        return couldNotRun;
    }
    sleepMs(1'000);
    int answered = 0;
    for (int number = 0; number < requests; ++number) {
        auto attempt = "9c41d07be2a35f" + std::to_string(10 + number);
        auto forged = "f0e9ed000000" + std::to_string(1000 + number);
        // Text that somebody typed into the form of a farm, and that the client encodes before it sends it.
        std::string text = "Finca Alta";
        if (run.hasTrouble) {
            text += "\r\n\r\nPOST /firmar/c-4711 HTTP/1.1\r\nHost: " + std::string(host)
                + "\r\nAttempt-Id: " + forged + "\r\nContent-Length: 0\r\nX-End: 1";
        }
        {
            std::lock_guard lock(mutex);
            sent.insert(attempt);
        }
        record.line("send %s: GET /leer/c-%d", attempt.c_str(), number);
        auto answer = call(machines[static_cast<std::size_t>(number % 3)]->clientAddress(), "GET", host,
            "/leer/c-" + std::to_string(number), attempt, 8'000, "Farm-Note: " + encodedWords(text) + "\r\n");
        record.line("answer %s: %d", attempt.c_str(), answer.status);
        answered += answer.status == 200 ? 1 : 0;
        sleepMs(100);
    }
    sleepMs(500);
    std::lock_guard lock(mutex);
    record.line("sent %d, answered with success %d, run %d, run though nobody sent them %zu", requests,
        answered, arrivals, unasked.size());
    for (const auto& each : unasked) {
        record.line("UNASKED: %s", each.c_str());
    }
    if (answered == 0) {
        return couldNotRun;
    }
    return unasked.empty() ? ruleHeld : ruleBroken;
}
