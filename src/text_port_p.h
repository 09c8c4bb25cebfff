#pragma once

#include "clock_p.h"

#include <plumsill/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <string>

namespace plumsill
{
/// A page that a TextPort serves.
struct TextPage {
    unsigned status = 200;
    std::string text;

    auto operator<=>(const TextPage &) const = default;
};

/// HTTP port that serves generated text pages on fixed paths; used for probes and metrics.
class TextPort
{
public:
    explicit TextPort(boost::asio::io_context &context);

    void add(const std::string &path, std::function<TextPage()> page) { m_pages[path] = std::move(page); }
    /// Binds the listening socket. Throws system_error.
    void open(const Endpoint &listen);
    boost::asio::awaitable<void> run();
    void close();

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::function<TextPage()>> m_pages;
};
}
