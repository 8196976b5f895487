#include "standin/request.h"

#include <array>
#include <cstdio>
#include <random>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cactusdeck {

namespace {

constexpr std::array<std::string_view, 3> kindNames{ "board", "booking", "ticket" };
constexpr std::size_t maxAnswerBytes = 1 << 20;

std::string bodyOf(const Request &request)
{
    std::minstd_rand random(XXH32(request.id.data(), request.id.size(), 0));
    std::string body(request.answerBytes, ' ');
    for (char &c : body)
        c = char('a' + random() % 26);
    return body;
}

nlohmann::json parseObject(std::string_view line)
{
    nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

} // namespace

std::string encodeRequest(const Request &request)
{
    const nlohmann::json json{ { "id", request.id },
                               { "kind", kindNames[std::size_t(request.kind)] },
                               { "answerBytes", request.answerBytes } };
    return json.dump() + '\n';
}

std::optional<Request> decodeRequest(std::string_view line)
{
    const nlohmann::json json = parseObject(line);
    try {
        Request request{ .id = json.at("id").get<std::string>(),
                         .answerBytes = json.at("answerBytes").get<std::size_t>() };
        const auto kind = json.at("kind").get<std::string>();
        for (std::size_t i = 0; i < kindNames.size(); ++i) {
            if (kind == kindNames[i]) {
                request.kind = RequestKind(i);
                return request.answerBytes <= maxAnswerBytes ? std::optional(request)
                                                             : std::nullopt;
            }
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

std::string encodeAnswer(const Request &request, const std::string &server, const std::string &zone)
{
    const std::string body = bodyOf(request);
    const nlohmann::json header{ { "id", request.id },
                                 { "bytes", body.size() },
                                 { "checksum", checksumOf(request.id, body) },
                                 { "server", server },
                                 { "zone", zone } };
    return header.dump() + '\n' + body;
}

std::optional<AnswerHeader> decodeAnswerHeader(std::string_view line)
{
    const nlohmann::json json = parseObject(line);
    try {
        return AnswerHeader{ .id = json.at("id").get<std::string>(),
                             .bytes = json.at("bytes").get<std::size_t>(),
                             .checksum = json.at("checksum").get<std::string>(),
                             .server = json.value("server", ""),
                             .zone = json.value("zone", "") };
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string checksumOf(std::string_view id, std::string_view body)
{
    const XXH64_hash_t hash =
            XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(id.data(), id.size()));
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    return text.data();
}

std::optional<std::string> takeLine(std::string &stream)
{
    const std::size_t end = stream.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    std::string line = stream.substr(0, end);
    stream.erase(0, end + 1);
    return line;
}

} // namespace cactusdeck
