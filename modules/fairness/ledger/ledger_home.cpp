#include "fairness/ledger/ledger_home.h"

#include "foundation/errors/precondition.h"

#include <algorithm>

namespace quetzal {

double ledger_home::account::total() const
{
    double sum = folded.charged + earlierTotal - folded.inEarlierTotal;
    for (const auto &[writer, part] : byWriter)
        sum += part.charged - part.inEarlierTotal;
    return sum;
}

void ledger_home::account::adoptEarlierTotal(contribution &own, const ledger_line &line)
{
    if (line.totalVersion == 0)
        return;
    own.inEarlierTotal = line.included;
    own.charged = line.included;
    if (line.totalVersion <= earlierVersion)
        return;
    const double oldTotal = total();
    earlierTotal = line.totalKnown;
    earlierVersion = line.totalVersion;
    totalVersion = std::max(totalVersion, line.totalVersion);
    lift = std::max(line.lift, lift - std::max(0.0, total() - oldTotal));
}

ledger_home::ledger_home(std::int64_t incarnation, ledger_home_options options)
    : m_incarnation(incarnation)
    , m_options(options)
{
    QUETZAL_PRECONDITION(incarnation > 0);
}

void ledger_home::recordEpoch(const key &shard, std::int64_t epoch)
{
    shard_state &known = m_shards[shard];
    if (epoch <= known.epoch)
        return;
    known = {.epoch = epoch, .since = m_now};
}

bool ledger_home::isFolded(const key &shard, std::int64_t epoch) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && epoch < found->second.epoch
        && found->second.since + m_options.foldDelay < m_now;
}

ledger_answer ledger_home::onChange(const ledger_change &change)
{
    const ledger_writer_name writer
        = parseLedgerWriterName(change.writer).value_or(ledger_writer_name {change.writer, 0});
    const key shard {change.service, writer.shard};
    recordEpoch(shard, writer.epoch);
    writer_state &state = m_writers[{change.service, change.writer}];
    state.lastReceived = m_now;
    const bool isLate = change.sequence < state.lastSequence || isFolded(shard, writer.epoch);
    state.lastSequence = std::max(state.lastSequence, change.sequence);
    if (!isLate)
        for (const ledger_line &line : change.lines)
            applyLine(change, writer.epoch, line);
    return answer(change, state.lastSequence);
}

void ledger_home::applyLine(const ledger_change &change, std::int64_t epoch,
                            const ledger_line &line)
{
    account &entry = m_accounts[{change.service, line.workspace}];
    entry.lastReceived = m_now;
    const auto [part, isNewWriter] = entry.byWriter.try_emplace(change.writer);
    contribution &own = part->second;
    const double oldTotal = entry.total();
    const double oldLift = entry.lift;
    if (isNewWriter)
        entry.adoptEarlierTotal(own, line);
    own.epoch = epoch;
    own.charged = line.charged;

    const double total = entry.total();
    const double writerVirtualTime = line.totalKnown + line.charged - line.included + line.lift;
    const double shortfall = writerVirtualTime + line.liftRaise - total - entry.lift;
    entry.lift += std::clamp(shortfall, 0.0, line.liftRaise);
    if (total == oldTotal && entry.lift == oldLift && !isNewWriter)
        return;
    entry.version = ++m_version;
    ++entry.totalVersion;
}

ledger_answer ledger_home::answer(const ledger_change &change, std::int64_t acknowledged) const
{
    ledger_answer result {.service = change.service,
                          .writer = change.writer,
                          .homeIncarnation = m_incarnation,
                          .acknowledgedSequence = acknowledged,
                          .lines = {},
                          .version = m_version};
    const std::int64_t knownVersion
        = change.homeIncarnation == m_incarnation ? change.knownHomeVersion : 0;
    for (auto position = m_accounts.lower_bound({change.service, ""});
         position != m_accounts.end() && position->first.first == change.service; ++position) {
        const account &entry = position->second;
        const auto own = entry.byWriter.find(change.writer);
        if (entry.version <= knownVersion || own == entry.byWriter.end())
            continue;
        result.lines.push_back({.workspace = position->first.second,
                                .charged = entry.total(),
                                .lift = entry.lift,
                                .included = own->second.charged,
                                .totalVersion = entry.totalVersion});
    }
    return result;
}

void ledger_home::foldEndedWriters(const key &name, account &entry) const
{
    for (auto position = entry.byWriter.begin(); position != entry.byWriter.end();) {
        const contribution &part = position->second;
        const auto writer = parseLedgerWriterName(position->first);
        if (!writer || !isFolded({name.first, writer->shard}, part.epoch)) {
            ++position;
            continue;
        }
        entry.folded.charged += part.charged;
        entry.folded.inEarlierTotal += part.inEarlierTotal;
        position = entry.byWriter.erase(position);
    }
}

void ledger_home::retain(const std::function<bool(const std::string &workspace)> &isHome)
{
    std::erase_if(m_accounts, [&](const auto &item) { return !isHome(item.first.second); });
}

void ledger_home::advance(absl::Time now)
{
    m_now = now;
    for (auto position = m_accounts.begin(); position != m_accounts.end();) {
        foldEndedWriters(position->first, position->second);
        const bool isIdle = position->second.lastReceived + m_options.idleExpiry < now;
        position = isIdle ? m_accounts.erase(position) : std::next(position);
    }
    const auto isOld = [&](const auto &item) {
        return item.second.lastReceived + m_options.idleExpiry < now;
    };
    std::erase_if(m_writers, isOld);
}

double ledger_home::total(const std::string &service, const std::string &workspace) const
{
    const auto found = m_accounts.find({service, workspace});
    return found == m_accounts.end() ? 0.0 : found->second.total();
}

std::size_t ledger_home::writerCount() const
{
    std::size_t count = 0;
    for (const auto &[name, entry] : m_accounts)
        count += entry.byWriter.size();
    return count;
}

} // namespace quetzal
