#include "fleet/fleet_model.h"

#include <utility>

namespace quetzal {

void fleet_model::killRouter(int vm)
{
    if (!m_routers[vm].node)
        return;
    m_routers[vm].node.reset();
    for (auto &[number, record] : m_requests) {
        if (record.router == routerKey(vm) && !record.callerResult)
            record.disconnected = true;
    }
    std::erase_if(m_waiting, [vm](const auto &item) { return item.first.first == vm; });
}

void fleet_model::startRouter(int vm)
{
    process<router_node> &router = m_routers[vm];
    if (router.node)
        return;
    ++router.starts;
    router.paused = false;
    router.stopping = false;
    router.node = std::make_unique<router_node>(
        router_node_options {.vm = vmName(vm), .incarnation = router.starts});
    m_lastListAt = absl::InfinitePast();
}

void fleet_model::killScheduler(int vm)
{
    m_schedulers[vm].node.reset();
}

void fleet_model::startScheduler(int vm)
{
    process<scheduler_node> &scheduler = m_schedulers[vm];
    if (scheduler.node)
        return;
    ++scheduler.starts;
    scheduler.paused = false;
    scheduler.stopping = false;
    scheduler.node = std::make_unique<scheduler_node>(
        scheduler_node_options {.vm = vmName(vm),
                                .dataCentre = dataCentreName(vm % m_options.dataCentres),
                                .incarnation = scheduler.starts,
                                .keyPrefix = fleetKeyPrefix});
    m_lastListAt = absl::InfinitePast();
    m_pushedStoreRevision = 0;
}

void fleet_model::pauseRouter(int vm, bool paused)
{
    m_routers[vm].paused = paused;
}

void fleet_model::pauseScheduler(int vm, bool paused)
{
    m_schedulers[vm].paused = paused;
}

void fleet_model::stopSchedulerGracefully(int vm)
{
    if (!m_schedulers[vm].node)
        return;
    m_schedulers[vm].stopping = true;
    m_schedulers[vm].node->beginStop(m_now);
}

void fleet_model::stopRouterGracefully(int vm)
{
    if (!m_routers[vm].node)
        return;
    m_routers[vm].stopping = true;
    m_routers[vm].node->beginStop(m_now);
}

void fleet_model::setStoreDisconnected(int vm, bool disconnected)
{
    if (disconnected)
        m_storeDisconnectedVms.insert(vm);
    else
        m_storeDisconnectedVms.erase(vm);
}

void fleet_model::setNetwork(double loss, double duplication, absl::Duration jitter)
{
    m_loss = loss;
    m_duplicationProbability = duplication;
    m_jitter = jitter;
}

void fleet_model::killTarget(int target)
{
    loseExecutions(m_targets[target].kill());
}

void fleet_model::restartTarget(int target)
{
    loseExecutions(m_targets[target].restart(m_now));
}

bool fleet_model::setDataCentresOut(std::set<int> dataCentres)
{
    if (m_storeDown)
        return false;
    m_outDataCentres = std::move(dataCentres);
    writeConfiguration();
    return true;
}

void fleet_model::heal()
{
    m_partitionGroup.clear();
    m_storeDisconnectedVms.clear();
    m_storeDown = false;
    m_vmListFrozen = false;
    m_loseStoreAnswers = 0;
    m_lostAnswers.clear();
    setNetwork(0.0, 0.0, absl::ZeroDuration());
    for (int vm = 0; vm < m_options.vms; ++vm) {
        pauseRouter(vm, false);
        pauseScheduler(vm, false);
        if (m_schedulers[vm].stopping)
            killScheduler(vm);
        if (m_routers[vm].stopping)
            killRouter(vm);
        startScheduler(vm);
        startRouter(vm);
    }
    for (int target = 0; target < targetCount(); ++target) {
        m_targets[target].setDraining(false);
        if (!m_targets[target].isUp())
            restartTarget(target);
    }
}

} // namespace quetzal
