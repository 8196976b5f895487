#include "core/agentservices.h"

#include <algorithm>

namespace cactusdeck {

namespace {

const ServiceContract defaults;

const ServiceContract *findIn(const std::map<ServiceId, ServiceContract> &contracts,
                              ServiceId service)
{
    const auto found = contracts.find(service);
    return found == contracts.end() ? nullptr : &found->second;
}

} // namespace

void AgentServices::setContracts(std::span<const ServiceContract *const> contracts)
{
    for (const auto &[id, contract] : this->current)
        this->withdrawn.insert_or_assign(id, contract);
    this->current.clear();
    for (const ServiceContract *contract : contracts) {
        this->current.emplace(contract->id, *contract);
        this->withdrawn.erase(contract->id);
    }
}

const ServiceContract *AgentServices::find(ServiceId service) const
{
    return findIn(this->current, service);
}

bool AgentServices::serves(ServiceId service, const FlowKey &key) const
{
    const ServiceContract *contract = this->find(service);
    return contract != nullptr
           && std::find(contract->addresses.begin(), contract->addresses.end(),
                        ServiceAddress{ key.destination, key.protocol })
                      != contract->addresses.end();
}

AdmissionLimits AgentServices::limits() const
{
    AdmissionLimits limits;
    bool isFirst = true;
    for (const auto &[id, contract] : this->current) {
        const AdmissionLimits own{ .slots = contract.slots,
                                   .coldSlots = contract.coldSlots,
                                   .connections = contract.connections,
                                   .requestDeadline = contract.requestDeadline };
        if (isFirst) {
            limits = own;
            isFirst = false;
            continue;
        }
        limits.slots = std::min(limits.slots, own.slots);
        limits.coldSlots = std::min(limits.coldSlots, own.coldSlots);
        limits.connections = std::min(limits.connections, own.connections);
        limits.requestDeadline = std::min(limits.requestDeadline, own.requestDeadline);
    }
    return limits;
}

Duration AgentServices::idleTimeout(ServiceId service) const
{
    if (const ServiceContract *contract = this->find(service))
        return contract->idleTimeout;
    const ServiceContract *old = findIn(this->withdrawn, service);
    return (old != nullptr ? *old : defaults).idleTimeout;
}

Duration AgentServices::requestDeadline(ServiceId service) const
{
    if (const ServiceContract *contract = this->find(service))
        return contract->requestDeadline;
    const ServiceContract *old = findIn(this->withdrawn, service);
    return (old != nullptr ? *old : defaults).requestDeadline;
}

Duration AgentServices::longestIdleTimeout() const
{
    Duration longest = Duration::zero();
    for (const auto &[id, contract] : this->current)
        longest = std::max<Duration>(longest, contract.idleTimeout);
    return longest;
}

Duration AgentServices::drainDeadline() const
{
    Duration longest = Duration::zero();
    for (const auto &[id, contract] : this->current)
        longest = std::max<Duration>(longest, contract.drainDeadline);
    return longest;
}

} // namespace cactusdeck
