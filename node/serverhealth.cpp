#include "node/serverhealth.h"

#include <array>
#include <utility>

#include <httplib.h>

namespace cactusdeck {

namespace {

constexpr std::array<std::pair<std::string_view, ServerStatus>, 4> statusNames = { {
        { "serving", ServerStatus::Serving },
        { "cold", ServerStatus::Cold },
        { "shedding", ServerStatus::Shedding },
        { "draining", ServerStatus::Draining },
} };

} // namespace

ServerHealth parseServerHealth(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("status") || !json["status"].is_string())
        return {};
    ServerHealth health;
    for (const auto &[name, status] : statusNames) {
        if (json["status"] == name) {
            health.reachable = true;
            health.status = status;
        }
    }
    const auto startedAt = json.find("startedAt");
    if (startedAt != json.end() && startedAt->is_number_unsigned())
        health.startedAt = startedAt->get<std::uint64_t>();
    const auto inProgress = json.find("inProgress");
    if (inProgress != json.end() && inProgress->is_number_unsigned())
        health.inProgress = std::uint32_t(
                std::min<std::uint64_t>(inProgress->get<std::uint64_t>(), UINT32_MAX));
    return health;
}

ServerHealth pollServerHealth(Endpoint health, std::chrono::milliseconds timeout)
{
    const std::string text = toString(health);
    httplib::Client client(text.substr(0, text.rfind(':')), health.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    const httplib::Result result = client.Get("/health");
    if (!result || result->status != 200)
        return {};
    return parseServerHealth(result->body);
}

} // namespace cactusdeck
