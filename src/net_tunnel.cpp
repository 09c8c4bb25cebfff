#include "pch_p.h"

#include "clock_p.h"
#include "frames_p.h"
#include "tunnel_p.h"

#include <plumsill/codec.h>
#include <plumsill/config.h>

#include <array>
#include <memory>

namespace plumsill
{
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{
void reset(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Both ends of a tunnel. Shared by the coroutines of its directions.
struct Ends {
    tcp::socket asker;
    tcp::socket target;
    RuntimeTimer idleTimer;
    TimePoint lastBytesAt; ///< when bytes were last read or written
    unsigned openDirections = 2;
    unsigned writing = 0; ///< directions whose bytes wait for their reader
    bool answered = true; ///< the last bytes came from the target

    bool isIdle() const { return answered && writing == 0; }

    // Targets drop a request when its connection closes, so one whose asker has left must see that at once. Bytes that the kernel still holds are sent.
    void close()
    {
        error_code ignored;
        asker.close(ignored);
        target.close(ignored);
    }
    void breakOff()
    {
        reset(asker);
        reset(target);
    }
};

using EndsPtr = std::shared_ptr<Ends>;

asio::awaitable<void> passOn(EndsPtr ends, tcp::socket &from, tcp::socket &to)
{
    // Idle connections hold no buffer of their own; all of them run on one thread.
    static std::array<char, config::ReadBytes> chunk;
    error_code error;
    while (!error) {
        co_await from.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const std::size_t count = from.read_some(asio::buffer(chunk), error);
        if (error == asio::error::would_block) {
            error.clear();
            continue;
        }
        if (count == 0) {
            continue;
        }
        ends->lastBytesAt = RuntimeClock::now();
        ends->answered = &from == &ends->target;
        const std::size_t sent = to.write_some(asio::buffer(chunk.data(), count), error);
        if (!error || error == asio::error::would_block) {
            error.clear();
            const std::string rest(chunk.data() + sent, count - sent);
            if (!rest.empty()) {
                ++ends->writing;
                co_await asio::async_write(to, asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
                --ends->writing;
                ends->lastBytesAt = RuntimeClock::now();
            }
        }
    }
    if (error == asio::error::eof && &from == &ends->target) {
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
    } else if (error == asio::error::eof) {
        ends->close();
    } else {
        ends->breakOff();
    }
    if (--ends->openDirections == 0) {
        ends->idleTimer.cancel();
    }
}
}

asio::awaitable<TunnelStatus> requestTunnel(tcp::socket &socket, const TunnelTicket &ticket)
{
    const error_code error = co_await writeFrame(socket, ticket.request);
    if (error) {
        co_return TunnelStatus::Unavailable;
    }
    const std::string bytes = co_await readFrame(socket);
    const auto envelope = decode(bytes, ticket.secret);
    const auto *reply = envelope ? std::get_if<TunnelReply>(&envelope.assume_value().message) : nullptr;
    co_return reply == nullptr ? TunnelStatus::Unavailable : reply->status;
}

asio::awaitable<void> runTunnel(tcp::socket asker, tcp::socket target, std::function<bool()> draining)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto ends = std::make_shared<Ends>(Ends {std::move(asker), std::move(target), RuntimeTimer(executor), RuntimeClock::now()});
    error_code error;
    ends->asker.set_option(tcp::no_delay(true), error);
    ends->target.set_option(tcp::no_delay(true), error);
    ends->asker.non_blocking(true, error);
    ends->target.non_blocking(true, error);
    asio::co_spawn(executor, passOn(ends, ends->asker, ends->target), asio::detached);
    asio::co_spawn(executor, passOn(ends, ends->target, ends->asker), asio::detached);
    while (ends->openDirections > 0) {
        ends->idleTimer.expires_after(config::TunnelCheckInterval);
        co_await ends->idleTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        const Duration idle = RuntimeClock::now() - ends->lastBytesAt;
        if (idle >= config::TunnelIdleTime) {
            ends->breakOff();
        } else if (draining() && ends->isIdle() && idle >= config::TunnelCheckInterval) {
            ends->close();
        }
    }
}
}
