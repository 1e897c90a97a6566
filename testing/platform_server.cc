#include "testing/platform_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace marlsill::testing {

namespace {

    using nlohmann::json;

    int statusOf(const reason& why)
    {
        switch (why.code) {
        case reason_code::notFound:
            return 404;
        case reason_code::conflict:
            return 412;
        case reason_code::timeout:
            return 204;
        case reason_code::tooLarge:
            return 413;
        default:
            return 503;
        }
    }

    class handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit handler(platform_state& state)
            : m_state(state)
        {
        }

        void handleRequest(
            Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            Poco::URI target(request.getURI());
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            const auto& path = target.getPath();
            if (path == "/faults") {
                return setFaults(body, response);
            }
            if (path == "/counts") {
                return sendCounts(response);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(m_state.delayMilliseconds.load()));
            if (m_state.isAway) {
                return send(response, 503, "");
            }
            if (path == "/vms") {
                return vms(request, body, response);
            }
            if (path == "/objects") {
                ++m_state.reads;
                auto parameters = target.getQueryParameters();
                auto prefix = parameters.empty() ? std::string() : parameters.front().second;
                return send(response, 200, json(m_state.store.list(prefix)).dump());
            }
            constexpr std::string_view objects = "/objects/";
            if (path.rfind(objects, 0) != 0) {
                return send(response, 404, "");
            }
            auto name = path.substr(objects.size());
            request.getMethod() == "PUT" ? put(name, request, body, response) : get(name, target, response);
        }

    private:
        void get(const std::string& name, const Poco::URI& target, Poco::Net::HTTPServerResponse& response)
        {
            reason why;
            std::optional<platform::stored_object> found;
            auto parameters = target.getQueryParameters();
            if (parameters.size() == 2) {
                ++m_state.watches;
                auto limit = deadlineAfter(std::chrono::milliseconds(std::stoll(parameters[1].second)));
                found = m_state.store.watch(name, std::stoll(parameters[0].second), limit, why);
            } else {
                ++m_state.reads;
                found = m_state.store.read(name, deadline(), why);
            }
            if (!found) {
                return send(response, statusOf(why), "");
            }
            response.set("X-Object-Version", std::to_string(found->version));
            send(response, 200, found->value);
        }

        void put(const std::string& name, const Poco::Net::HTTPServerRequest& request,
            const std::string& body, Poco::Net::HTTPServerResponse& response)
        {
            ++m_state.writes;
            reason why;
            auto expected = std::stoll(request.get("If-Match", "0"));
            auto version = m_state.store.write(name, body, expected, deadline(), why);
            if (!version) {
                return send(response, why.code == reason_code::uncertain ? 500 : statusOf(why), "");
            }
            response.set("X-Object-Version", std::to_string(*version));
            send(response, 200, "");
        }

        void vms(const Poco::Net::HTTPServerRequest& request, const std::string& body,
            Poco::Net::HTTPServerResponse& response)
        {
            ++m_state.reads;
            std::lock_guard lock(m_state.mutex);
            if (request.getMethod() == "PUT") {
                m_state.vms = body;
            }
            send(response, 200, m_state.vms);
        }

        void setFaults(const std::string& body, Poco::Net::HTTPServerResponse& response)
        {
            auto value = json::parse(body, nullptr, false);
            if (!value.is_object()) {
                return send(response, 400, "");
            }
            m_state.isAway = value.value("away", false);
            m_state.delayMilliseconds = value.value("delay_ms", 0);
            m_state.store.setFaults({ m_state.isAway, value.value("lost_answers", 0) });
            send(response, 200, "");
        }

        void sendCounts(Poco::Net::HTTPServerResponse& response)
        {
            json counts { { "reads", m_state.reads.load() }, { "writes", m_state.writes.load() },
                { "watches", m_state.watches.load() } };
            send(response, 200, counts.dump());
        }

        void send(Poco::Net::HTTPServerResponse& response, int status, const std::string& body)
        {
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
            if (status != 204) {
                response.setContentLength64(static_cast<Poco::Int64>(body.size()));
            }
            response.send() << body << std::flush;
        }

        platform_state& m_state;
    };

    class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit handler_factory(platform_state& state)
            : m_state(state)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new handler(m_state);
        }

    private:
        platform_state& m_state;
    };

}

platform_server::platform_server(const std::string& address)
    : m_socket(Poco::Net::SocketAddress(address))
    , m_threads(8, 512)
{
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(512);
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(m_state), m_threads, m_socket, parameters);
    m_server->start();
}

platform_server::~platform_server()
{
    setFaults({ .isAway = true }); // Ends the watches that wait.
    m_server->stopAll(true);
    m_threads.joinAll();
}

std::string platform_server::address() const { return m_socket.address().toString(); }

void platform_server::setFaults(store_faults faults)
{
    m_state.isAway = faults.isAway;
    m_state.store.setFaults(faults);
}

void platform_server::setVms(const std::string& vms)
{
    std::lock_guard lock(m_state.mutex);
    m_state.vms = vms;
}

}
