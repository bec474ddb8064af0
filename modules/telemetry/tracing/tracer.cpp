#include "telemetry/tracing/tracer.h"

#include "foundation/errors/result_code.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>
#include <random>
#include <system_error>
#include <thread>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t spansPerLine = 64;

std::uint64_t chooseSeed(std::uint64_t requestedSeed)
{
    if (requestedSeed != 0)
        return requestedSeed;
    constexpr int halfBits = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
}

} // namespace

/** Queues finished spans, writes them on a separate thread and generates ids. */
class tracer::writer
{
public:
    explicit writer(const tracer_options &options)
        : m_options(options)
        , m_random(chooseSeed(options.seed))
    {
        if (m_options.file.empty())
            return;
        m_stream.open(m_options.file, std::ios::app);
        if (!m_stream.is_open())
            throw std::system_error(make_error_code(result_code::SettingsInvalid),
                                    "cannot open the trace file " + m_options.file);
        m_thread = std::thread([this] { run(); });
    }
    ~writer()
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_stopping = true;
        }
        if (m_thread.joinable())
            m_thread.join();
    }
    writer(const writer &) = delete;
    writer &operator=(const writer &) = delete;

    bool isRecording() const { return !m_options.file.empty(); }

    std::string nextTraceId()
    {
        const absl::MutexLock lock(&m_mutex);
        return makeTraceId(m_random);
    }

    std::string nextSpanId()
    {
        const absl::MutexLock lock(&m_mutex);
        return makeSpanId(m_random);
    }

    void push(span_record record)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_queue.size() >= m_options.maxQueuedSpans) {
            ++m_dropped;
            return;
        }
        m_queue.push_back(std::move(record));
    }

    std::uint64_t droppedCount() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_dropped;
    }

private:
    bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex)
    {
        return m_stopping || !m_queue.empty();
    }

    std::vector<span_record> takeBatch()
    {
        const absl::MutexLock lock(&m_mutex, absl::Condition(this, &writer::hasWork));
        const auto count = static_cast<std::ptrdiff_t>(std::min(m_queue.size(), spansPerLine));
        const auto end = m_queue.begin() + count;
        std::vector<span_record> batch(std::make_move_iterator(m_queue.begin()),
                                       std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        return batch;
    }

    void run()
    {
        for (std::vector<span_record> spans = takeBatch(); !spans.empty(); spans = takeBatch()) {
            m_stream << toOtlpJson(m_options.resource, spans) << '\n';
            m_stream.flush();
        }
    }

    const tracer_options m_options;
    mutable absl::Mutex m_mutex;
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    std::deque<span_record> m_queue ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::ofstream m_stream;
    std::thread m_thread;
};

span::span(tracer *owner, span_record record)
    : m_owner(owner)
    , m_record(std::move(record))
{
}

span::span(span &&other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr))
    , m_record(std::move(other.m_record))
{
}

span::~span()
{
    if (m_owner != nullptr)
        end(absl::Now());
}

void span::setAttribute(std::string name, log_value value)
{
    m_record.attributes.push_back({std::move(name), std::move(value)});
}

void span::setError(std::string error)
{
    m_record.error = std::move(error);
}

void span::end(absl::Time now)
{
    if (m_owner == nullptr)
        return;
    m_record.end = now;
    std::exchange(m_owner, nullptr)->record(m_record);
}

tracer::tracer(tracer_options options)
    : m_options(std::move(options))
    , m_writer(std::make_unique<writer>(m_options))
{
}

tracer::~tracer() = default;

span tracer::begin(std::string name, span_kind kind, const std::optional<trace_context> &parent,
                   absl::Time now)
{
    span_record record;
    record.context.traceId = parent.has_value() ? parent->traceId : m_writer->nextTraceId();
    record.context.spanId = m_writer->nextSpanId();
    record.context.sampled = isTraceSampled(record.context.traceId, m_options.sampledFraction);
    record.parentSpanId = parent.has_value() ? parent->spanId : "";
    record.name = std::move(name);
    record.kind = kind;
    record.start = now;
    return {this, std::move(record)};
}

std::uint64_t tracer::droppedCount() const
{
    return m_writer->droppedCount();
}

void tracer::record(span_record finished)
{
    if (finished.context.sampled && m_writer->isRecording())
        m_writer->push(std::move(finished));
}

} // namespace quetzal
