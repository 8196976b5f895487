#ifndef CACTUSDECK_CORE_AGENTSERVICES_H
#define CACTUSDECK_CORE_AGENTSERVICES_H

#include <map>
#include <span>

#include "core/admission.h"
#include "core/contract.h"

// The services that an agent's server carries, and the limits that result from their contracts.
//
//     services.setContracts(configuration->servicesOf(group));
//     if (!services.serves(frame.service, packet.key))
//         ...                                       // reply with Verdict::WrongService

namespace cactusdeck {

class AgentServices
{
public:
    void setContracts(std::span<const ServiceContract *const> contracts);

    // Returns nullptr for a service that isn't carried or was withdrawn. Established flows of a
    // withdrawn service continue.
    const ServiceContract *find(ServiceId service) const;
    // True if the server carries the service and the key's destination is one of its addresses.
    bool serves(ServiceId service, const FlowKey &key) const;
    const std::map<ServiceId, ServiceContract> &all() const { return this->current; }

    // The lowest limits of all services, so that the server exceeds none of them.
    AdmissionLimits limits() const;
    // For a withdrawn service these are the values of its last contract.
    Duration idleTimeout(ServiceId service) const;
    Duration requestDeadline(ServiceId service) const;
    Duration longestIdleTimeout() const;
    Duration drainDeadline() const;

private:
    std::map<ServiceId, ServiceContract> current;
    std::map<ServiceId, ServiceContract> withdrawn;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_AGENTSERVICES_H
