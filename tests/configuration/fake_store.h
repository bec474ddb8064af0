#pragma once

#include "ownership/store/store_types.h"

#include <deque>
#include <optional>

namespace quetzal {

/** The fault that the fake store applies to a request. */
enum class store_fault
{
    None,
    /** The request takes effect and its answer is lost. */
    AnswerLost,
    /** The request is lost and has no effect. */
    RequestLost,
    /** The request is not answered and takes effect when releaseDelayed() is called. */
    Delayed,
};

/** An in-memory key-value store with compare-and-swap transactions. */
class fake_store
{
public:
    store_view view() const { return {m_revision, m_records}; }

    std::optional<store_view> read(store_fault fault) const
    {
        return fault == store_fault::None ? std::optional(view()) : std::nullopt;
    }

    store_reply perform(const store_transaction &transaction, store_fault fault)
    {
        if (fault == store_fault::Delayed)
            m_delayed.push_back(transaction);
        if (fault == store_fault::Delayed || fault == store_fault::RequestLost)
            return {};
        const store_outcome outcome = apply(transaction);
        if (fault == store_fault::AnswerLost)
            return {};
        return {.requestId = transaction.requestId, .outcome = outcome, .revision = m_revision};
    }

    /** Applies the oldest delayed request; returns false if there is none. */
    bool releaseDelayed()
    {
        if (m_delayed.empty())
            return false;
        apply(m_delayed.front());
        m_delayed.pop_front();
        return true;
    }

private:
    store_outcome apply(const store_transaction &transaction)
    {
        for (const store_compare &compare : transaction.compares) {
            const auto found = m_records.find(compare.key);
            const std::int64_t present = found == m_records.end() ? 0 : found->second.modRevision;
            if (present != compare.modRevision)
                return store_outcome::Refused;
        }
        ++m_revision;
        for (const store_put &put : transaction.puts)
            m_records[put.key] = {put.value, m_revision, put.lease};
        for (const std::string &key : transaction.deletes)
            m_records.erase(key);
        return store_outcome::Done;
    }

    std::int64_t m_revision = 1;
    std::map<std::string, store_record> m_records;
    std::deque<store_transaction> m_delayed;
};

} // namespace quetzal
