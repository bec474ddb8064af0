#include "transport/http/http_exchange.h"

#include "transport/http/connection_stream.h"

#include <utility>

namespace quetzal {

namespace {

thread_local http_exchange *currentExchange = nullptr;

} // namespace

http_exchange::http_exchange(const connection_stream &stream)
    : m_stream(&stream)
{
    currentExchange = this;
}

http_exchange::~http_exchange()
{
    currentExchange = nullptr;
    while (!m_callbacks.empty()) {
        const std::function<void()> callback = std::move(m_callbacks.back());
        m_callbacks.pop_back();
        callback();
    }
}

http_exchange *http_exchange::current()
{
    return currentExchange;
}

bool http_exchange::isCallerConnected() const
{
    return m_stream->isPeerConnected();
}

void http_exchange::onEnd(std::function<void()> callback)
{
    m_callbacks.push_back(std::move(callback));
}

} // namespace quetzal
