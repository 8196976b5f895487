#ifndef CACTUSDECK_STANDIN_REQUEST_H
#define CACTUSDECK_STANDIN_REQUEST_H

#include <optional>
#include <string>
#include <string_view>

// The byte stream between callers and backend servers of the stand-in: a request is one JSON line,
// an answer is one JSON line followed by the body.
//
//     std::string line = encodeRequest({ .id = "f7-1", .kind = RequestKind::Booking, 900 });
//     std::optional<Request> request = decodeRequest(line);
//     std::string answer = encodeAnswer(*request, "server-3", "amman-a");
//
// The body follows from the request identifier, and the checksum covers both, so that an answer to
// another request never passes as the own one.

namespace cactusdeck {

enum class RequestKind : std::uint8_t {
    Board, // idempotent
    Booking, // not idempotent
    Ticket, // single fetch
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
// XXH3 over identifier and body, in hexadecimal.
std::string checksumOf(std::string_view id, std::string_view body);

// Takes the first line, without its end, off a stream; nothing as long as it isn't whole.
std::optional<std::string> takeLine(std::string &stream);

} // namespace cactusdeck

#endif // CACTUSDECK_STANDIN_REQUEST_H
