#pragma once

#include <functional>
#include <vector>

namespace quetzal {

class connection_stream;

/**
 * The exchange of one request and its answer on a thread of an http_server_host.
 *
 * Handlers access it through current(). It exists until the answer has been written or writing has
 * failed, therefore also while a content provider runs.
 */
class http_exchange
{
public:
    /** Becomes the current exchange of the calling thread; the stream must outlive it. */
    explicit http_exchange(const connection_stream &stream);
    /** Calls the callbacks registered with onEnd(), the latest first. */
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    /** Returns the exchange of the calling thread, or null if it serves none. */
    static http_exchange *current();

    /** Returns false once the caller has closed its connection. */
    bool isCallerConnected() const;
    /** Registers a callback for the end of the exchange; it runs on the same thread. */
    void onEnd(std::function<void()> callback);

private:
    const connection_stream *m_stream;
    std::vector<std::function<void()>> m_callbacks;
};

} // namespace quetzal
