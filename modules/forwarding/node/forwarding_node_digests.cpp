#include "forwarding/node/forwarding_node.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** The number of prompts in one digest is limited so that it fits a datagram. */
constexpr std::size_t maxPromptsPerDigest = 30;
/** Maximum number of prompts queued for digests; further ones are dropped. */
constexpr std::size_t maxQueuedPrompts = 300;

} // namespace

void forwarding_node::queuePromptForDigest(const std::string &target,
                                           const request_description &description)
{
    if (description.prompt.size() < 2 || m_queuedPrompts.size() >= maxQueuedPrompts)
        return;
    m_queuedPrompts.push_back(
        {.target = stableHash(target),
         .parts = {description.prompt.begin(), description.prompt.end() - 1}});
}

load_digest forwarding_node::makeDigest(std::vector<std::int64_t> lastChangeRevisions,
                                        absl::Time now)
{
    load_digest digest {.vm = m_options.routers.self,
                        .sequence = ++m_digestSequence,
                        .incarnation = m_options.incarnation,
                        .lastChangeRevisions = std::move(lastChangeRevisions)};
    for (const auto &[target, view] : m_views) {
        if (view.load.inFlight() == 0)
            continue;
        digest.targets.push_back({.target = stableHash(target),
                                  .backlogMs = absl::ToInt64Milliseconds(view.load.backlog(now)),
                                  .inFlight = view.load.inFlight()});
    }
    digest.workspaces = m_accounts.digest(now);
    digest.placed = m_accounts.placed(now);
    const std::size_t includedPrompts = std::min(m_queuedPrompts.size(), maxPromptsPerDigest);
    const auto end = m_queuedPrompts.begin() + static_cast<std::ptrdiff_t>(includedPrompts);
    digest.prompts.assign(m_queuedPrompts.begin(), end);
    m_queuedPrompts.erase(m_queuedPrompts.begin(), end);
    return digest;
}

backlog_digest forwarding_node::makeBacklogDigest(absl::Time now)
{
    backlog_digest digest {.vm = m_options.routers.self,
                           .sequence = ++m_digestSequence,
                           .incarnation = m_options.incarnation};
    for (const auto &[target, view] : m_views) {
        const std::int64_t backlogMs = absl::ToInt64Milliseconds(view.load.backlog(now));
        if (backlogMs > 0)
            digest.backlogs.push_back({.target = stableHash(target), .backlogMs = backlogMs});
    }
    digest.workspaces = m_accounts.digest(now);
    digest.placed = m_accounts.placed(now);
    return digest;
}

void forwarding_node::onDigest(const peer_digest &digest, absl::Time now)
{
    if (const auto *load = std::get_if<load_digest>(&digest))
        onLoadDigest(*load, now);
    else if (const auto *backlogs = std::get_if<backlog_digest>(&digest))
        m_fleet.apply(*backlogs, now);
    else if (const auto *told = std::get_if<quarantine_digest>(&digest))
        m_quarantine.onNews(shifted(told->news, now - told->madeAt), told->vm, now);
}

void forwarding_node::onLoadDigest(const load_digest &digest, absl::Time now)
{
    if (!m_fleet.apply(digest, now))
        return;
    for (const placed_prompt &prompt : digest.prompts) {
        const auto target = m_targetOfHash.find(prompt.target);
        const auto view
            = target == m_targetOfHash.end() ? m_views.end() : m_views.find(target->second);
        if (view != m_views.end() && view->second.cache)
            view->second.cache->use(prompt.parts);
    }
}

} // namespace quetzal
