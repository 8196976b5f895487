#include "core/head.h"

#include <algorithm>
#include <initializer_list>

namespace cactusdeck {

namespace {

using nlohmann::json;

// Thrown by throwFault, caught in parseHead.
struct HeadFault
{
    std::string message;
};

[[noreturn]] void throwFault(const std::string &path, const std::string &fault)
{
    throw HeadFault{ std::string(headKey) + ": " + path + ": " + fault };
}

std::string gotText(const json &value)
{
    return "got " + value.dump(-1, ' ', false, json::error_handler_t::replace).substr(0, 100);
}

const json &member(const json &object, const std::string &path, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end())
        throwFault(path + "/" + key, "missing");
    return *found;
}

void checkKeys(const json &object, const std::string &path,
               std::initializer_list<std::string_view> allowed)
{
    if (!object.is_object())
        throwFault(path.empty() ? "/" : path, gotText(object) + ", expected an object");
    for (const auto &item : object.items()) {
        if (std::find(allowed.begin(), allowed.end(), item.key()) == allowed.end())
            throwFault(path + "/" + item.key(), "unknown key");
    }
}

std::string readString(const json &object, const std::string &path, const char *key)
{
    const json &value = member(object, path, key);
    if (!value.is_string())
        throwFault(path + "/" + key, gotText(value) + ", expected a string");
    return value.get<std::string>();
}

ConfigurationVersion readVersion(const json &object, const std::string &path)
{
    const json &value = member(object, path, "version");
    if (!value.is_number_unsigned() || value.get<ConfigurationVersion>() == 0)
        throwFault(path + "/version", gotText(value) + ", expected a whole number above 0");
    return value.get<ConfigurationVersion>();
}

std::string readChangeId(const json &object, const std::string &path)
{
    std::string id = readString(object, path, "changeId");
    if (id.empty())
        throwFault(path + "/changeId", "got an empty string, expected an identifier");
    return id;
}

ChangeRecord readRecord(const json &value, const std::string &path)
{
    checkKeys(value, path, { "version", "changeId", "author", "time", "summary" });
    const json &time = member(value, path, "time");
    if (!time.is_number_integer())
        throwFault(path + "/time", gotText(time) + ", expected milliseconds since the epoch");
    return { readVersion(value, path), readChangeId(value, path), readString(value, path, "author"),
             std::chrono::milliseconds(time.get<std::int64_t>()),
             readString(value, path, "summary") };
}

std::vector<ChangeRecord> readChanges(const json &value)
{
    if (!value.is_array() || value.empty())
        throwFault("/changes",
                   gotText(value) + ", expected a list with the change of this version");
    std::vector<ChangeRecord> changes;
    changes.reserve(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string path = "/changes/" + std::to_string(i);
        changes.push_back(readRecord(value[i], path));
        if (i > 0 && changes[i - 1].version >= changes[i].version)
            throwFault(path + "/version", "expected ascending versions");
    }
    return changes;
}

bool isHash(const json &value)
{
    if (!value.is_string())
        return false;
    const auto &text = value.get_ref<const std::string &>();
    return text.size() == 32 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::map<ServiceName, std::string> readServices(const json &value)
{
    if (!value.is_object())
        throwFault("/services", gotText(value) + ", expected an object");
    std::map<ServiceName, std::string> services;
    for (const auto &item : value.items()) {
        const std::string path = "/services/" + item.key();
        checkKeys(item.value(), path, { "hash" });
        const json &hash = member(item.value(), path, "hash");
        if (!isHash(hash))
            throwFault(path + "/hash", gotText(hash) + ", expected 32 hexadecimal digits");
        services.emplace(ServiceName{ item.key() }, hash.get<std::string>());
    }
    return services;
}

std::map<ZoneName, ZoneState> readZones(const json &value)
{
    if (!value.is_object())
        throwFault("/zones", gotText(value) + ", expected an object");
    std::map<ZoneName, ZoneState> zones;
    for (const auto &item : value.items()) {
        if (item.key().empty() || (item.value() != "in" && item.value() != "out"))
            throwFault("/zones/" + item.key(), gotText(item.value()) + ", expected in or out");
        zones.emplace(ZoneName{ item.key() },
                      item.value() == "out" ? ZoneState::Out : ZoneState::In);
    }
    return zones;
}

ConfigurationHead readHead(const json &value, bool withServices)
{
    if (withServices)
        checkKeys(value, "", { "version", "changeId", "changes", "services", "zones" });
    else
        checkKeys(value, "", { "version", "changeId", "changes", "zones" });
    ConfigurationHead head;
    head.version = readVersion(value, "");
    head.changeId = readChangeId(value, "");
    head.changes = readChanges(member(value, "", "changes"));
    const ChangeRecord &last = head.changes.back();
    if (last.version != head.version || last.changeId != head.changeId)
        throwFault("/changes", "the last change isn't the one that created this version");
    if (withServices)
        head.services = readServices(member(value, "", "services"));
    head.zones = readZones(member(value, "", "zones"));
    return head;
}

json recordJson(const ChangeRecord &record)
{
    return { { "version", record.version },
             { "changeId", record.changeId },
             { "author", record.author },
             { "time", record.time.count() },
             { "summary", record.summary } };
}

} // namespace

std::string serviceKey(const ServiceName &service, std::string_view hash)
{
    return "config/service/" + service.value + "/" + std::string(hash);
}

Result<ConfigurationHead> parseHead(const json &value, bool withServices)
{
    try {
        return readHead(value, withServices);
    } catch (const HeadFault &fault) {
        return fail(ErrorKind::InvalidContract, fault.message);
    }
}

Result<ConfigurationHead> parseHead(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        return fail(ErrorKind::InvalidContract, std::string(headKey) + ": not JSON");
    return parseHead(value, true);
}

json toJson(const ConfigurationHead &head, bool withServices)
{
    json result = { { "version", head.version },
                    { "changeId", head.changeId },
                    { "changes", json::array() },
                    { "zones", json::object() } };
    for (const ChangeRecord &record : head.changes)
        result["changes"].push_back(recordJson(record));
    for (const auto &[zone, state] : head.zones)
        result["zones"][zone.value] = toString(state);
    if (!withServices)
        return result;
    json &services = result["services"] = json::object();
    for (const auto &[service, hash] : head.services)
        services[service.value] = { { "hash", hash } };
    return result;
}

std::string headText(const ConfigurationHead &head)
{
    return toJson(head, true).dump(-1, ' ', false, json::error_handler_t::replace);
}

const ChangeRecord *findChange(const ConfigurationHead &head, std::string_view changeId)
{
    const auto found =
            std::find_if(head.changes.begin(), head.changes.end(),
                         [&](const ChangeRecord &record) { return record.changeId == changeId; });
    return found == head.changes.end() ? nullptr : &*found;
}

void addChange(ConfigurationHead &head, ChangeRecord record)
{
    head.version = record.version;
    head.changeId = record.changeId;
    head.changes.push_back(std::move(record));
    if (head.changes.size() > changeHistory)
        head.changes.erase(head.changes.begin(), head.changes.end() - changeHistory);
}

std::string_view toString(ZoneState state)
{
    return state == ZoneState::Out ? "out" : "in";
}

} // namespace cactusdeck
