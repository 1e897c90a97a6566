#include "marlsill/peer/transport.h"

#include <atomic>
#include <map>
#include <mutex>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace marlsill::peer {

namespace {

    using server_type = websocketpp::server<websocketpp::config::asio>;
    using client_type = websocketpp::client<websocketpp::config::asio_client>;
    using websocketpp::connection_hdl;

    constexpr int handshakeTimeoutMilliseconds = 2000;

}

class transport::implementation {
public:
    implementation(const transport_address& address, transport_handlers handlers)
        : m_handlers(std::move(handlers))
        , m_timer(m_service)
    {
        configureEndpoint(m_server);
        configureEndpoint(m_client);
        m_server.set_reuse_addr(true);
        m_server.set_tcp_pre_init_handler([](const connection_hdl&) {});
        websocketpp::lib::error_code error;
        boost::system::error_code parseError;
        auto host = boost::asio::ip::make_address(address.host, parseError);
        m_server.listen(boost::asio::ip::tcp::endpoint(host, address.port), error);
        if (parseError || error) {
            return;
        }
        boost::system::error_code localError;
        auto local = m_server.get_local_endpoint(localError);
        m_address = { address.host, local.port() };
        m_server.start_accept(error);
        m_isBound = !error && !localError;
    }

    bool isBound() const { return m_isBound; }
    const transport_address& address() const { return m_address; }

    void run()
    {
        scheduleTick();
        m_service.run();
    }

    void stop() { m_service.stop(); }

    void post(std::function<void()> task) { boost::asio::post(m_service, std::move(task)); }

    link_id connect(const transport_address& address)
    {
        auto link = m_nextLink.fetch_add(1);
        boost::asio::post(m_service, [this, link, address] { connectNow(link, address); });
        return link;
    }

    void send(link_id link, std::string payload)
    {
        boost::asio::post(m_service, [this, link, bytes = std::move(payload)] { sendNow(link, bytes); });
    }

    void close(link_id link)
    {
        boost::asio::post(m_service, [this, link] { closeNow(link); });
    }

private:
    struct open_link {
        connection_hdl handle;
        bool isOutgoing = false;
    };

    template <typename Endpoint> void configureEndpoint(Endpoint& endpoint)
    {
        constexpr bool isOutgoing = std::is_same_v<Endpoint, client_type>;
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_service);
        endpoint.set_max_message_size(maxMessageBytes);
        endpoint.set_open_handshake_timeout(handshakeTimeoutMilliseconds);
        endpoint.set_open_handler([this](const connection_hdl& handle) { opened(handle, isOutgoing); });
        endpoint.set_close_handler([this](const connection_hdl& handle) { closed(handle); });
        endpoint.set_fail_handler([this](const connection_hdl& handle) { closed(handle); });
        endpoint.set_message_handler([this](const connection_hdl& handle, const auto& message) {
            auto found = m_links.find(handle);
            if (found != m_links.end()) {
                m_handlers.received(found->second, message->get_payload());
            }
        });
    }

    void connectNow(link_id link, const transport_address& address)
    {
        websocketpp::lib::error_code error;
        auto target = "ws://" + address.host + ":" + std::to_string(address.port) + "/";
        auto connection = m_client.get_connection(target, error);
        if (error) {
            m_handlers.closed(link);
            return;
        }
        m_links[connection->get_handle()] = link;
        m_open[link] = { connection->get_handle(), true };
        m_client.connect(connection);
    }

    void sendNow(link_id link, const std::string& payload)
    {
        auto found = m_open.find(link);
        if (found == m_open.end()) {
            return;
        }
        websocketpp::lib::error_code ignored;
        if (found->second.isOutgoing) {
            m_client.send(found->second.handle, payload, websocketpp::frame::opcode::binary, ignored);
        } else {
            m_server.send(found->second.handle, payload, websocketpp::frame::opcode::binary, ignored);
        }
    }

    // Closes the TCP connection without the WebSocket closing handshake, which would never complete on an
    // unresponsive connection.
    void closeNow(link_id link)
    {
        auto found = m_open.find(link);
        if (found == m_open.end()) {
            return;
        }
        auto entry = found->second;
        closed(entry.handle);
        websocketpp::lib::error_code ignored;
        boost::system::error_code ignoredCloseError;
        if (entry.isOutgoing) {
            auto connection = m_client.get_con_from_hdl(entry.handle, ignored);
            if (connection) {
                connection->get_raw_socket().close(ignoredCloseError);
            }
        } else {
            auto connection = m_server.get_con_from_hdl(entry.handle, ignored);
            if (connection) {
                connection->get_raw_socket().close(ignoredCloseError);
            }
        }
    }

    void opened(const connection_hdl& handle, bool isOutgoing)
    {
        auto found = m_links.find(handle);
        if (found == m_links.end()) {
            if (isOutgoing) {
                return; // The link was closed while the connection was being opened.
            }
            auto link = m_nextLink.fetch_add(1);
            found = m_links.emplace(handle, link).first;
            m_open[link] = { handle, false };
        }
        m_handlers.opened(found->second, isOutgoing);
    }

    void closed(const connection_hdl& handle)
    {
        auto found = m_links.find(handle);
        if (found == m_links.end()) {
            return;
        }
        auto link = found->second;
        m_links.erase(found);
        m_open.erase(link);
        m_handlers.closed(link);
    }

    void scheduleTick()
    {
        m_timer.expires_after(std::chrono::milliseconds(tickMilliseconds));
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                m_handlers.ticked();
                scheduleTick();
            }
        });
    }

    const transport_handlers m_handlers;
    boost::asio::io_service m_service;
    boost::asio::steady_timer m_timer;
    server_type m_server;
    client_type m_client;
    transport_address m_address;
    bool m_isBound = false;
    std::atomic<link_id> m_nextLink { 1 };
    std::map<connection_hdl, link_id, std::owner_less<connection_hdl>> m_links;
    std::map<link_id, open_link> m_open;
};

transport::transport(const transport_address& address, transport_handlers handlers)
    : m_implementation(std::make_unique<implementation>(address, std::move(handlers)))
{
}

transport::~transport() = default;

bool transport::isBound() const { return m_implementation->isBound(); }

transport_address transport::address() const { return m_implementation->address(); }

void transport::run() { m_implementation->run(); }

void transport::stop() { m_implementation->stop(); }

void transport::post(std::function<void()> task) { m_implementation->post(std::move(task)); }

link_id transport::connect(const transport_address& address) { return m_implementation->connect(address); }

void transport::send(link_id link, std::string payload) { m_implementation->send(link, std::move(payload)); }

void transport::close(link_id link) { m_implementation->close(link); }

}
