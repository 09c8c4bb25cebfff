#include "clock_p.h"

namespace plumsill
{
boost::asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(duration);
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}
}
