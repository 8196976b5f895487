#include "core/contract.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

#include "core/jsonschema.h"

namespace cactusdeck {

namespace {

using nlohmann::json;

const JsonSchema &contractSchema()
{
    static const JsonSchema schema(contractSchemaText);
    return schema;
}

void readAddresses(const json &value, ServiceContract &contract, JsonFaults &faults)
{
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string path = "/addresses/" + std::to_string(i);
        ServiceAddress address;
        if (!parseServiceAddress(value[i].get_ref<const std::string &>(), address))
            faults.add(path, value[i], contractSchema().expectedAt(json::json_pointer(path)));
        else if (std::count(contract.addresses.begin(), contract.addresses.end(), address) > 0)
            faults.add(path, value[i], "each address once");
        else
            contract.addresses.push_back(address);
    }
    std::sort(contract.addresses.begin(), contract.addresses.end());
}

void readGroups(const json &value, ServiceContract &contract, JsonFaults &faults)
{
    for (std::size_t i = 0; i < value.size(); ++i) {
        const GroupName group = value[i].get<GroupName>();
        if (std::count(contract.groups.begin(), contract.groups.end(), group) > 0)
            faults.add("/groups/" + std::to_string(i), value[i], "each group once");
        contract.groups.push_back(group);
    }
    std::sort(contract.groups.begin(), contract.groups.end());
}

void checkConsistency(const ServiceContract &contract, JsonFaults &faults)
{
    const std::string slots = std::to_string(contract.slots);
    if (contract.coldSlots > contract.slots)
        faults.add("/coldSlots", contract.coldSlots, "at most slots, which is " + slots);
    if (contract.connections < contract.slots)
        faults.add("/connections", contract.connections, "at least slots, which is " + slots);
    const bool hasUdp = std::any_of(
            contract.addresses.begin(), contract.addresses.end(),
            [](const ServiceAddress &address) { return address.protocol == Protocol::Udp; });
    if (hasUdp && !contract.idempotent)
        faults.add(
                "/idempotent", contract.idempotent,
                "true for a service with UDP addresses, because a duplicated UDP request can't be "
                "told from a new one");
}

ServiceContract readFields(const json &value, JsonFaults &faults)
{
    ServiceContract contract;
    value.at("service").get_to(contract.service);
    contract.id = serviceIdOf(contract.service);
    value.at("owner").get_to(contract.owner);
    contract.description = value.value("description", "");
    readAddresses(value.at("addresses"), contract, faults);
    readGroups(value.at("groups"), contract, faults);
    value.at("idempotent").get_to(contract.idempotent);
    value.at("slots").get_to(contract.slots);
    value.at("connections").get_to(contract.connections);
    value.at("coldSlots").get_to(contract.coldSlots);
    using Seconds = std::chrono::seconds;
    using Milliseconds = std::chrono::milliseconds;
    contract.idleTimeout = Seconds(value.value("idleTimeoutSeconds", contract.idleTimeout.count()));
    contract.requestDeadline = Milliseconds(
            value.value("requestDeadlineMilliseconds", contract.requestDeadline.count()));
    contract.drainDeadline =
            Seconds(value.value("drainDeadlineSeconds", contract.drainDeadline.count()));
    return contract;
}

Result<ServiceContract> parseChecked(const json &value, JsonFaults &faults)
{
    contractSchema().check(value, faults);
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidContract);
    ServiceContract contract = readFields(value, faults);
    checkConsistency(contract, faults);
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidContract);
    return contract;
}

} // namespace

std::string toString(ServiceAddress address)
{
    return toString(address.endpoint) + (address.protocol == Protocol::Udp ? "/udp" : "/tcp");
}

bool parseServiceAddress(std::string_view text, ServiceAddress &address)
{
    ServiceAddress result;
    if (text.ends_with("/udp"))
        result.protocol = Protocol::Udp;
    else if (!text.ends_with("/tcp"))
        return false;
    text.remove_suffix(4);
    if (!parseEndpoint(text, result.endpoint) || result.endpoint.port == 0
        || result.endpoint.address == 0)
        return false;
    address = result;
    return true;
}

Result<ServiceContract> parseContract(std::string_view text, std::string_view file)
{
    JsonFaults faults(file);
    const json value = parseJsonFile(text, faults);
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidContract);
    return parseChecked(value, faults);
}

Result<ServiceContract> readContract(const json &value, std::string_view file)
{
    JsonFaults faults(file);
    return parseChecked(value, faults);
}

Result<void> checkContracts(std::span<const ServiceContract *const> contracts)
{
    std::map<ServiceId, const ServiceContract *> ids;
    std::map<ServiceAddress, const ServiceContract *> addresses;
    JsonFaults faults("contracts");
    for (const ServiceContract *contract : contracts) {
        const auto [other, isNew] = ids.emplace(contract->id, contract);
        const std::string &name = contract->service.value;
        if (!isNew && other->second->service == contract->service) {
            faults.add("/service", "got \"" + name + "\" in two contracts, expected one");
            continue;
        }
        if (!isNew)
            faults.add("/service",
                       "got \"" + name + "\" and \"" + other->second->service.value
                               + "\", whose 32-bit identifiers are equal; expected another "
                                 "name for one of them");
        for (const ServiceAddress &address : contract->addresses) {
            const auto [holder, isFree] = addresses.emplace(address, contract);
            if (!isFree)
                faults.add("/addresses", "got \"" + toString(address) + "\" in services \""
                                                 + holder->second->service.value + "\" and \""
                                                 + name + "\", expected it in one");
        }
    }
    if (!faults.isEmpty())
        return faults.error(ErrorKind::InvalidContract);
    return {};
}

Result<void> checkContracts(std::span<const ServiceContract> contracts)
{
    std::vector<const ServiceContract *> pointers;
    pointers.reserve(contracts.size());
    for (const ServiceContract &contract : contracts)
        pointers.push_back(&contract);
    return checkContracts(pointers);
}

json toJson(const ServiceContract &contract)
{
    json addresses = json::array();
    for (const ServiceAddress &address : contract.addresses)
        addresses.push_back(toString(address));
    return { { "service", contract.service },
             { "owner", contract.owner },
             { "description", contract.description },
             { "addresses", addresses },
             { "groups", contract.groups },
             { "idempotent", contract.idempotent },
             { "slots", contract.slots },
             { "connections", contract.connections },
             { "coldSlots", contract.coldSlots },
             { "idleTimeoutSeconds", contract.idleTimeout.count() },
             { "requestDeadlineMilliseconds", contract.requestDeadline.count() },
             { "drainDeadlineSeconds", contract.drainDeadline.count() } };
}

std::string contractText(const ServiceContract &contract)
{
    return toJson(contract).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string contractHash(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, hash);
    constexpr char digits[] = "0123456789abcdef";
    std::string result;
    for (const unsigned char byte : bytes.digest) {
        result += digits[byte >> 4];
        result += digits[byte & 15];
    }
    return result;
}

} // namespace cactusdeck
