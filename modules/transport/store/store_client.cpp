#include "transport/store/store_client.h"

#include "transport/http/http_call.h"
#include "transport/store/store_codec.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <thread>
#include <utility>

namespace quetzal {

namespace {

constexpr int statusOk = 200;
constexpr const char *jsonType = "application/json";
/** A watch that receives nothing for this long is reopened at the next revision. */
constexpr auto watchIdleTimeout = std::chrono::milliseconds(1500);
constexpr absl::Duration retryDelay = absl::Milliseconds(500);
constexpr std::size_t maxLineBytes = std::size_t {16} * 1024 * 1024;

} // namespace

class store_client::implementation
{
public:
    explicit implementation(store_client_options options)
        : m_options(std::move(options))
    {
    }
    ~implementation();
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    store_reply perform(const store_request &request) const;
    std::optional<store_view> read() const;
    void watch(std::function<void(const store_view &)> onView, std::function<void()> onUnavailable);

private:
    /** Why a watch stream ended. */
    enum class stream_end
    {
        /** The open stream received nothing for the idle timeout, or its connection failed. */
        Interrupted,
        /** The store ended the watch, or sent a line that is malformed or too long. */
        Ended,
        /** The stream could not be opened. */
        Failed,
    };

    std::optional<std::string> call(const gateway_call &gatewayCall) const;
    void run();
    void watchFrom(store_view &view);
    stream_end streamChanges(store_view &view);
    bool processLines(std::string &pending, store_view &view, bool &opened);
    bool isStopping() const;
    void waitBeforeRetry();
    void reportUnavailable();

    const store_client_options m_options;
    std::function<void(const store_view &)> m_onView;
    std::function<void()> m_onUnavailable;
    bool m_isUnavailable = false;

    mutable absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::shared_ptr<httplib::Client> m_watchClient ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

store_client::implementation::~implementation()
{
    std::shared_ptr<httplib::Client> watchClient;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        watchClient = m_watchClient;
    }
    if (watchClient != nullptr)
        watchClient->stop();
    if (m_thread.joinable())
        m_thread.join();
}

store_reply store_client::implementation::perform(const store_request &request) const
{
    const gateway_call gatewayCall = encodeStoreRequest(request);
    const auto client = makeCallClient(m_options.address);
    const httplib::Result result = client->Post(gatewayCall.path, gatewayCall.body, jsonType);
    if (!result)
        return decodeStoreReply(request, 0, {});
    return decodeStoreReply(request, result->status, result->body);
}

std::optional<store_view> store_client::implementation::read() const
{
    const std::optional<std::string> body = call(encodeRangeCall(m_options.keyPrefix));
    return body.has_value() ? decodeRange(*body) : std::nullopt;
}

std::optional<std::string> store_client::implementation::call(const gateway_call &gatewayCall) const
{
    const auto client = makeCallClient(m_options.address);
    const httplib::Result result = client->Post(gatewayCall.path, gatewayCall.body, jsonType);
    if (!result || result->status != statusOk)
        return std::nullopt;
    return result->body;
}

void store_client::implementation::watch(std::function<void(const store_view &)> onView,
                                         std::function<void()> onUnavailable)
{
    m_onView = std::move(onView);
    m_onUnavailable = std::move(onUnavailable);
    m_thread = std::thread([this] { run(); });
}

void store_client::implementation::run()
{
    while (!isStopping()) {
        std::optional<store_view> view = read();
        if (!view.has_value()) {
            reportUnavailable();
            waitBeforeRetry();
            continue;
        }
        m_isUnavailable = false;
        m_onView(*view);
        watchFrom(*view);
    }
}

void store_client::implementation::watchFrom(store_view &view)
{
    while (!isStopping()) {
        const stream_end end = streamChanges(view);
        if (end == stream_end::Interrupted)
            continue;
        waitBeforeRetry();
        return;
    }
}

store_client::implementation::stream_end
store_client::implementation::streamChanges(store_view &view)
{
    const std::shared_ptr<httplib::Client> client = makeCallClient(m_options.address);
    client->set_read_timeout(watchIdleTimeout);
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return stream_end::Ended;
        m_watchClient = client;
    }
    const gateway_call gatewayCall = encodeWatchCall(m_options.keyPrefix, view.revision + 1);
    std::string pending;
    bool opened = false;
    bool isValid = true;
    httplib::Request request;
    request.method = "POST";
    request.path = gatewayCall.path;
    request.body = gatewayCall.body;
    request.set_header("Content-Type", jsonType);
    request.response_handler = [](const httplib::Response &answer) {
        return answer.status == statusOk;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t /*offset*/,
                                   std::uint64_t /*total*/) {
        pending.append(data, size);
        isValid = processLines(pending, view, opened);
        return isValid;
    };
    const httplib::Result result = client->send(request);
    const absl::MutexLock lock(&m_mutex);
    m_watchClient.reset();
    if (!isValid || result)
        return stream_end::Ended;
    return opened ? stream_end::Interrupted : stream_end::Failed;
}

bool store_client::implementation::processLines(std::string &pending, store_view &view,
                                                bool &opened)
{
    std::size_t end = pending.find('\n');
    while (end != std::string::npos) {
        const watch_line_result line = applyWatchLine(pending.substr(0, end), view);
        pending.erase(0, end + 1);
        if (line == watch_line_result::Ended)
            return false;
        opened = true;
        if (line == watch_line_result::Changed)
            m_onView(view);
        end = pending.find('\n');
    }
    return pending.size() <= maxLineBytes;
}

bool store_client::implementation::isStopping() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_stopping;
}

void store_client::implementation::waitBeforeRetry()
{
    const absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), retryDelay);
}

void store_client::implementation::reportUnavailable()
{
    if (m_isUnavailable)
        return;
    m_isUnavailable = true;
    m_onUnavailable();
}

store_client::store_client(store_client_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

store_client::~store_client() = default;

store_reply store_client::perform(const store_request &request)
{
    return m_implementation->perform(request);
}

std::optional<store_view> store_client::read()
{
    return m_implementation->read();
}

void store_client::watch(std::function<void(const store_view &)> onView,
                         std::function<void()> onUnavailable)
{
    m_implementation->watch(std::move(onView), std::move(onUnavailable));
}

} // namespace quetzal
