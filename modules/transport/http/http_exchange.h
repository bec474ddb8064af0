#pragma once

#include <functional>
#include <vector>

namespace quetzal {

class connection_stream;

/**
 * The request that the present thread of an http_server_host is serving.
 *
 * Handlers reach it through current(); it lives until the answer is written or has failed, so also
 * while a content provider runs.
 */
class http_exchange
{
public:
    explicit http_exchange(const connection_stream &stream);
    /** Calls the functions that onEnd() was given, the latest first. */
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    /** The exchange of this thread, or null outside of handlers. */
    static http_exchange *current();

    /** False once the caller has closed its connection. */
    bool isCallerConnected() const;
    /** Calls the function when the exchange has ended, on the same thread. */
    void onEnd(std::function<void()> callback);

private:
    const connection_stream *m_stream;
    std::vector<std::function<void()>> m_callbacks;
};

} // namespace quetzal
