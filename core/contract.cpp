#include "core/contract.h"

#include <algorithm>
#include <map>
#include <set>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <xxhash.h>

namespace cactusdeck {

namespace {

using nlohmann::json;

// The schema as text for messages, and prepared for validation.
struct ContractSchema
{
    json document = json::parse(contractSchemaText);
    valijson::Schema schema;

    ContractSchema()
    {
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(this->document),
                              this->schema);
    }
};

const ContractSchema &contractSchema()
{
    static const ContractSchema schema;
    return schema;
}

// Collects all faults of one file, so that its author can correct them in one go.
class Faults
{
public:
    explicit Faults(std::string_view file)
        : file(file)
    { }

    bool isEmpty() const { return this->text.empty(); }
    void add(const std::string &path, const std::string &fault)
    {
        if (!this->text.empty())
            this->text += '\n';
        this->text += this->file + ": " + (path.empty() ? "/" : path) + ": " + fault;
    }
    leaf::error_id error() const { return fail(ErrorKind::InvalidContract, this->text); }

private:
    std::string file;
    std::string text;
};

std::string shortText(const json &value)
{
    constexpr std::size_t limit = 100; // characters
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > limit)
        text = text.substr(0, limit) + "...";
    return text;
}

// What the schema says about the value at a path; array indexes lead to the schema of the items.
std::string expectedAt(const json::json_pointer &path)
{
    const json *node = &contractSchema().document;
    json::json_pointer rest = path;
    std::vector<std::string> keys;
    for (; !rest.empty(); rest.pop_back())
        keys.push_back(rest.back());
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        const auto next =
                node->contains("items") ? node->find("items") : node->at("properties").find(*key);
        if (next == node->end() || !next->is_object())
            break;
        node = &*next;
    }
    return node->value("description", "another value");
}

// valijson writes contexts as "<root>", "[\"name\"]", "[0]".
json::json_pointer pointerOf(const std::vector<std::string> &context)
{
    json::json_pointer pointer;
    for (const std::string &step : context) {
        if (step.size() < 2 || step.front() != '[')
            continue;
        std::string key = step.substr(1, step.size() - 2);
        if (key.size() >= 2 && key.front() == '"')
            key = key.substr(1, key.size() - 2);
        pointer.push_back(key);
    }
    return pointer;
}

void checkKeys(const json &value, Faults &faults)
{
    const json &schema = contractSchema().document;
    for (const auto &item : value.items()) {
        if (!schema["properties"].contains(item.key()))
            faults.add("/" + item.key(),
                       "got " + shortText(item.value()) + ", expected no such key; it is unknown");
    }
    for (const json &key : schema["required"]) {
        if (!value.contains(key.get_ref<const std::string &>())) {
            const std::string path = "/" + key.get<std::string>();
            faults.add(path, "missing, expected " + expectedAt(json::json_pointer(path)));
        }
    }
}

void checkSchema(const json &value, Faults &faults)
{
    if (!value.is_object()) {
        faults.add("",
                   "got " + shortText(value) + ", expected " + expectedAt(json::json_pointer()));
        return;
    }
    checkKeys(value, faults);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(value);
    if (validator.validate(contractSchema().schema, adapter, &results))
        return;
    // Each fault is reported again for the objects around it; only the innermost path counts.
    std::set<std::string> paths;
    for (const auto &result : results)
        paths.insert(pointerOf(result.context).to_string());
    for (auto path = paths.begin(); path != paths.end(); ++path) {
        const auto next = std::next(path);
        const bool isOuter = next != paths.end() && next->starts_with(*path + "/");
        if (path->empty() || isOuter)
            continue;
        const json::json_pointer pointer(*path);
        faults.add(*path,
                   "got " + shortText(value.at(pointer)) + ", expected " + expectedAt(pointer));
    }
    if (faults.isEmpty())
        faults.add("", "doesn't match the schema of service contracts");
}

void readAddresses(const json &value, ServiceContract &contract, Faults &faults)
{
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string path = "/addresses/" + std::to_string(i);
        ServiceAddress address;
        if (!parseServiceAddress(value[i].get_ref<const std::string &>(), address)) {
            faults.add(path, "got " + shortText(value[i]) + ", expected "
                                     + expectedAt(json::json_pointer(path)));
        } else if (std::count(contract.addresses.begin(), contract.addresses.end(), address) > 0) {
            faults.add(path, "got " + shortText(value[i]) + " again, expected different addresses");
        } else {
            contract.addresses.push_back(address);
        }
    }
    std::sort(contract.addresses.begin(), contract.addresses.end());
}

void readGroups(const json &value, ServiceContract &contract, Faults &faults)
{
    for (std::size_t i = 0; i < value.size(); ++i) {
        const GroupName group = value[i].get<GroupName>();
        if (std::count(contract.groups.begin(), contract.groups.end(), group) > 0)
            faults.add("/groups/" + std::to_string(i),
                       "got " + shortText(value[i]) + " again, expected different groups");
        contract.groups.push_back(group);
    }
    std::sort(contract.groups.begin(), contract.groups.end());
}

void checkMeaning(const ServiceContract &contract, Faults &faults)
{
    const auto slots = std::to_string(contract.slots);
    if (contract.coldSlots > contract.slots)
        faults.add("/coldSlots", "got " + std::to_string(contract.coldSlots)
                                         + ", expected at most slots, which is " + slots);
    if (contract.connections < contract.slots)
        faults.add("/connections", "got " + std::to_string(contract.connections)
                                           + ", expected at least slots, which is " + slots);
    const bool hasUdp = std::any_of(
            contract.addresses.begin(), contract.addresses.end(),
            [](const ServiceAddress &address) { return address.protocol == Protocol::Udp; });
    if (hasUdp && !contract.idempotent)
        faults.add(
                "/idempotent",
                "got false, expected true for a service with UDP addresses, because a duplicated "
                "UDP request can't be told from a new one");
}

// Parses JSON with comments; a key that occurs twice in an object is a fault, since the library
// would silently take the last one.
json parseText(std::string_view text, Faults &faults)
{
    std::vector<std::set<std::string>> keys;
    const auto callback = [&](int, json::parse_event_t event, json &value) {
        if (event == json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == json::parse_event_t::key
                 && !keys.back().insert(value.get<std::string>()).second)
            faults.add("/" + value.get<std::string>(), "given twice, expected once");
        return true;
    };
    try {
        return json::parse(text, callback, true, true);
    } catch (const json::exception &error) {
        const std::string what = error.what();
        const std::size_t end = what.find("] ");
        faults.add("", "not JSON: " + what.substr(end == std::string::npos ? 0 : end + 2));
        return {};
    }
}

ServiceContract readContract(const json &value, Faults &faults)
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

Result<ServiceContract> parseChecked(const json &value, Faults &faults)
{
    checkSchema(value, faults);
    if (!faults.isEmpty())
        return faults.error();
    ServiceContract contract = readContract(value, faults);
    checkMeaning(contract, faults);
    if (!faults.isEmpty())
        return faults.error();
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
    Faults faults(file);
    const json value = parseText(text, faults);
    if (!faults.isEmpty())
        return faults.error();
    return parseChecked(value, faults);
}

Result<ServiceContract> parseContract(const json &value, std::string_view file)
{
    Faults faults(file);
    return parseChecked(value, faults);
}

Result<void> checkContracts(std::span<const ServiceContract *const> contracts)
{
    std::map<ServiceId, const ServiceContract *> ids;
    std::map<ServiceAddress, const ServiceContract *> addresses;
    Faults faults("contracts");
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
        return faults.error();
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
