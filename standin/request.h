#ifndef CACTUSDECK_STANDIN_REQUEST_H
#define CACTUSDECK_STANDIN_REQUEST_H

#include <optional>
#include <string>
#include <string_view>

// The protocol between the simulated callers and backend servers: a request is one line of JSON, an
// answer is one line of JSON followed by the body.
//
//     std::string line = encodeRequest({ .id = "f7-1", .kind = RequestKind::Booking, 900 });
//     std::optional<Request> request = decodeRequest(line);
//     std::string answer = encodeAnswer(*request, "server-3", "amman-a");
//
// The body is generated from the request identifier and the checksum covers both, so that a caller
// detects an answer to another request.

namespace cactusdeck {

enum class RequestKind : std::uint8_t {
    Board, // idempotent
    Booking, // not idempotent
    Ticket, // the only request of its connection
};

struct Request
{
    std::string id;
    RequestKind kind = RequestKind::Board;
    std::size_t answerBytes = 0;
};

struct AnswerHeader
{
    std::string id;
    std::size_t bytes = 0;
    std::string checksum;
    std::string server;
    std::string zone;
};

std::string encodeRequest(const Request &request);
std::optional<Request> decodeRequest(std::string_view line);

std::string encodeAnswer(const Request &request, const std::string &server,
                         const std::string &zone);
std::optional<AnswerHeader> decodeAnswerHeader(std::string_view line);
// XXH3 hash of the body, seeded with the hash of the identifier, in hexadecimal.
std::string checksumOf(std::string_view id, std::string_view body);

// Removes the first line from the stream and returns it without the line feed. Returns nothing
// while the line is incomplete.
std::optional<std::string> takeLine(std::string &stream);

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_REQUEST_H
