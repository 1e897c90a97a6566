// A backend's answers have a field whose value holds RFC 2047 encoded words. A client sends two requests one
// behind the other on a connection. The script checks that it gets the backend's answers, and nothing else.

#include "../common/stand_ins.hpp"
#include "encoded_words.hpp"

using namespace review;

namespace {

constexpr const char* host = "hulo84.example";
constexpr int pairs = 6;

}

int main(int argc, char** argv)
{
    auto run = script::fromArguments(argc, argv);
    recorder record(run.folder + "/record-answer.txt");
    record.line("trouble %d", run.hasTrouble);
    store platform(run.hostAt(200));
    backend_listener events {
        .arrived =
            [&](const std::string& id, const message& request) {
                record.line("run %s at %s", request.field("attempt-id").c_str(), id.c_str());
            },
        .ended = [](const std::string&, const message&, bool) {},
    };
    // Text that somebody typed into the form of a farm, and that the backend encodes before it sends it.
    std::string text = "Finca Alta";
    if (run.hasTrouble) {
        text += "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Forged: 1";
    }
    std::vector<std::unique_ptr<backend>> backends;
    for (int index = 0; index < 3; ++index) {
        backends.push_back(std::make_unique<backend>("i-vacantes-" + std::to_string(index + 1), "vacantes",
            zones[index], run.hostAt(100 + index), 6, 20, events));
        backends.back()->setFields("Farm-Note: " + encodedWords(text) + "\r\n");
        platform.put("servers", backends.back()->id(), backends.back()->entry());
    }
    platform.put(
        "config", "main", configuration(7, host, { { "vacancy-read", "/leer/", "safe", "vacantes" } }));
    std::vector<std::unique_ptr<machine>> machines;
    if (!startMachines(
            run, 3, [&](int) { return platform.address(); }, machines)) {
        record.line("the machines did not become ready");
        return couldNotRun;
    }
    sleepMs(1'000);
    int wrong = 0;
    int right = 0;
    for (int number = 0; number < pairs; ++number) {
        std::string attempts[] = { "9c41d07be2a35f" + std::to_string(10 + 2 * number),
            "9c41d07be2a35f" + std::to_string(11 + 2 * number) };
        auto link = connectTo(machines[static_cast<std::size_t>(number % 3)]->clientAddress());
        std::string bytes;
        for (const auto& attempt : attempts) {
            bytes += requestBytes("GET", host, "/leer/" + attempt, attempt, 8'000, {}, {});
        }
        link->send(bytes);
        for (const auto& attempt : attempts) {
            auto answer = link->receive(steady::now() + milliseconds(3'000));
            auto status = answer ? answer->status() : 0;
            auto seal = answer ? answer->field("response-seal") : std::string();
            record.line("answer to %s: %d, seal '%s', Attempt-Id '%s', body '%s'%s", attempt.c_str(), status,
                seal.c_str(), answer ? answer->field("attempt-id").c_str() : "",
                answer ? answer->body.c_str() : "",
                answer && !answer->field("x-forged").empty() ? ", forged" : "");
            bool isRight = answer && seal == "1." + attempt && answer->body == "done " + attempt;
            right += isRight ? 1 : 0;
            wrong += status >= 200 && status < 300 && !isRight ? 1 : 0;
        }
    }
    record.line(
        "sent %d, answered rightly %d, success that is not the backend's answer %d", 2 * pairs, right, wrong);
    if (wrong > 0) {
        record.line("MIXED");
    }
    if (!run.hasTrouble && right == 0) {
        return couldNotRun;
    }
    return wrong > 0 ? ruleBroken : ruleHeld;
}
