#pragma once

#include "admin_api_p.h"
#include "control_p.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace plumsill
{
/// HTTP port for operators: liveness, readiness, metrics, status and the administration API.
class AdminPort
{
public:
    AdminPort(boost::asio::io_context &context, std::string token);

    /// Binds the listening socket and returns its endpoint with the actual port. Throws system_error.
    Endpoint open(const Endpoint &listen);
    /// Serves requests about @p control until the port is closed.
    boost::asio::awaitable<void> run(Control &control);
    void close();

private:
    boost::asio::awaitable<void> serve(Control &control, boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<AdminResponse> answer(Control &control, const AdminRequest &request);
    AdminContext apiContext(Control &control) const;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const std::string m_token;
};
}
