#include "core/types.h"

#include <charconv>

#include <arpa/inet.h>
#include <xxhash.h>

namespace cactusdeck {

ServiceId serviceIdOf(const ServiceName &name)
{
    return ServiceId(XXH32(name.value.data(), name.value.size(), 0));
}

std::string toString(Endpoint endpoint)
{
    return hostOf(endpoint) + ":" + std::to_string(endpoint.port);
}

std::string hostOf(Endpoint endpoint)
{
    in_addr address{};
    address.s_addr = htonl(endpoint.address);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof text);
    return text;
}

bool parseEndpoint(std::string_view text, Endpoint &endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    in_addr address{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1)
        return false;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(first, last, port);
    if (error != std::errc() || end != last || first == last)
        return false;
    endpoint = { ntohl(address.s_addr), port };
    return true;
}

void to_json(nlohmann::json &json, const Endpoint &endpoint)
{
    json = toString(endpoint);
}

void from_json(const nlohmann::json &json, Endpoint &endpoint)
{
    const auto text = json.get<std::string>();
    if (!parseEndpoint(text, endpoint))
        throw nlohmann::json::type_error::create(302, "not an IPv4 endpoint: " + text, &json);
}

} // namespace cactusdeck
