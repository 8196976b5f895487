#ifndef CACTUSDECK_CORE_AGENTSERVICES_H
#define CACTUSDECK_CORE_AGENTSERVICES_H

#include <map>
#include <span>

#include "core/admission.h"
#include "core/contract.h"

// The services that an agent's server carries, and the limits that follow from all of them.
//
//     services.setContracts(configuration->servicesOf(group));
//     if (!services.serves(frame.service, packet.key))
//         ...                                       // verdict WrongService

namespace cactusdeck {

class AgentServices
{
public:
    void setContracts(std::span<const ServiceContract *const> contracts);

    // None after a service was withdrawn; its established flows go on.
    const ServiceContract *find(ServiceId service) const;
    // The service is carried here, and the destination is one of its addresses.
    bool serves(ServiceId service, const FlowKey &key) const;
    const std::map<ServiceId, ServiceContract> &all() const { return this->current; }

    // A server that carries several services must not exceed the limits of any.
    AdmissionLimits limits() const;
    // Of a withdrawn service: what it last was.
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
