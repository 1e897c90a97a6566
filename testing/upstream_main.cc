// A stand-in of an upstream as a process. PUT /faults on its control address with
// {"slowdown":10,"draining":true, "shedding":false,"error_share":0.2} switches faults on; GET /runs tells how
// often each request id ran.

#include "marlsill/entry/connection_server.h"
#include "marlsill/http/client.h"
#include "marlsill/http/message_writer.h"
#include "marlsill/settings/settings.h"
#include "testing/signals.h"
#include "testing/upstream_stand_in.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace marlsill::testing {

namespace {

    constexpr setting_spec specs[] = {
        textSetting("name", "upstream", "name in answers"),
        addressSetting("address", "127.0.0.1:0", "where to listen for requests"),
        addressSetting("control-address", "127.0.0.1:0", "where to listen for commands"),
        integerSetting("slots", "3", "requests at the same time", 1, 10000),
        integerSetting("service-us", "5000", "microseconds of work per request", 1, 60000000),
    };

    void applyFaults(upstream_stand_in& upstream, const std::string& text)
    {
        auto value = nlohmann::json::parse(text, nullptr, false);
        if (!value.is_object()) {
            return;
        }
        upstream_faults faults;
        faults.slowdown = value.value("slowdown", 1.0);
        faults.isDraining = value.value("draining", false);
        faults.isShedding = value.value("shedding", false);
        faults.share = value.value("error_share", 0.0);
        faults.spoilt = faults.share > 0 ? spoilt_answer::serverError : spoilt_answer::none;
        upstream.setFaults(faults);
        if (value.value("silence", false)) {
            upstream.silenceOpenConnections();
        }
    }

    bool serveCommand(upstream_stand_in& upstream, http::channel& caller)
    {
        http::request_message request;
        auto limit = deadlineAfter(std::chrono::seconds(5));
        if (http::readRequest(caller, request, {}, limit) != http::read_status::complete) {
            return false;
        }
        std::string body = "{}";
        if (request.head.getURI() == "/faults") {
            applyFaults(upstream, request.body);
        } else {
            nlohmann::json counts { { "runs", upstream.runs() }, { "crashes", upstream.crashes() },
                { "started", upstream.started() }, { "most_at_once", upstream.mostAtOnce() } };
            body = counts.dump();
        }
        auto answer = http::makeResponse(200, "application/json", body);
        caller.write(http::serialize(answer, request.head.getMethod()), limit);
        return false;
    }

    int run(const settings_values& settings)
    {
        auto stop = blockStopSignals();
        upstream_stand_in upstream({ .name = settings.text("name"),
            .address = *http::parseAddress(settings.text("address")),
            .slots = static_cast<int>(settings.integer("slots")),
            .serviceTime = std::chrono::microseconds(settings.integer("service-us")) });
        upstream.start();
        entry::connection_server control(
            { .address = *http::parseAddress(settings.text("control-address")), .workers = 2 },
            [&](http::channel& caller) { return serveCommand(upstream, caller); });
        control.start();
        std::printf(
            "listening %s control %s\n", upstream.address().c_str(), control.address().toString().c_str());
        std::fflush(stdout);
        waitForStop(stop);
        control.drain(deadlineAfter(std::chrono::seconds(1)));
        upstream.stop();
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram(
        "upstream-stand-in", "serves requests and fails on command", marlsill::testing::specs, argc, argv);
    return start.settings ? marlsill::testing::run(*start.settings) : start.exitStatus;
}
