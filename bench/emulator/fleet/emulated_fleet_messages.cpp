#include "emulator/fleet/emulated_fleet.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

/** Time after which the routers' probes detect a dead connection. */
constexpr absl::Duration deadConnectionTimeout = absl::Seconds(3);

} // namespace

void emulated_fleet::sendToTarget(const std::string &vm, const network_address &address,
                                  std::uint64_t exchange, const target_request &request,
                                  std::function<void(const exchange_reply &)> onReply)
{
    emulated_vm &machine = findVm(vm);
    emulated_target *target = findTarget(address);
    if (machine.isPartitioned || target == nullptr) {
        onReply(link_failure::Unresponsive);
        return;
    }
    const absl::Duration oneWay = delay(machine.dataCentre, target->record().dataCentre);
    const auto link = std::make_shared<exchange_link>(exchange_link {
        .vm = &machine, .incarnation = machine.incarnation, .onReply = std::move(onReply)});
    m_events.after(
        oneWay, [this, target, exchange, request, link, oneWay, sentAt = m_events.now()] {
            if (target->isUp() && target->isFatal(request.prompt))
                m_fatalSends.push_back(sentAt);
            const auto back = [this, link, oneWay](const exchange_reply &reply) {
                m_events.after(oneWay, [this, link, reply] { deliver(link, reply); });
            };
            if (target->isUp())
                target->receive(exchange, request, back);
            else
                back(target->isUnresponsive() ? link_failure::Unresponsive : link_failure::Refused);
        });
}

void emulated_fleet::deliver(const std::shared_ptr<exchange_link> &link,
                             const exchange_reply &reply)
{
    const auto isClosed = [link] {
        return link->hasLostBytes || !link->vm->router
            || link->vm->incarnation != link->incarnation;
    };
    if (isClosed())
        return;
    if (!link->vm->isPartitioned) {
        link->onReply(reply);
        return;
    }
    link->hasLostBytes = true;
    m_events.after(deadConnectionTimeout, [link] {
        if (link->vm->router && link->vm->incarnation == link->incarnation)
            link->onReply(link_failure::Reset);
    });
}

void emulated_fleet::cancel(const std::string &vm, const network_address &address,
                            std::uint64_t exchange)
{
    emulated_target *target = findTarget(address);
    if (target == nullptr || findVm(vm).isPartitioned)
        return;
    m_events.after(delay(findVm(vm).dataCentre, target->record().dataCentre),
                   [target, exchange] { target->cancel(exchange); });
}

void emulated_fleet::sendDigest(const std::string &vm, const peer_digest &digest)
{
    sendToOthers(vm, [digest](emulated_router &to) { to.onDigest(digest); });
}

void emulated_fleet::sendUpdate(const std::string &vm, const mirror_update &update)
{
    sendToOthers(vm, [update](emulated_router &to) { to.onUpdate(update); });
}

void emulated_fleet::sendToOthers(const std::string &vm,
                                  const std::function<void(emulated_router &)> &receive)
{
    const emulated_vm &from = findVm(vm);
    if (!m_plan.hasExchange || from.isPartitioned)
        return;
    constexpr double range = 1e6;
    for (emulated_vm &to : m_vms) {
        const bool isLost = static_cast<double>(m_random() % static_cast<std::uint64_t>(range))
            < m_plan.lostDigestFraction * range;
        if (to.name == vm || isLost)
            continue;
        m_events.after(delay(from.dataCentre, to.dataCentre), [&to, receive] {
            if (to.router && !to.isPartitioned)
                receive(*to.router);
        });
    }
}

} // namespace quetzal::bench
