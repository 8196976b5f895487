#include "core/error.h"

#include <array>

namespace cactusdeck {

namespace {

// Indexed by ErrorKind. Exit code 2 is the conventional one for incorrect usage.
constexpr std::array<ErrorCodes, errorKindCount> answers = { {
        { ErrorKind::InvalidArgument, "invalid_argument", 2, -32602, 400, false },
        { ErrorKind::InvalidSettings, "invalid_settings", 3, -32001, 400, false },
        { ErrorKind::InvalidContract, "invalid_contract", 4, -32002, 422, false },
        { ErrorKind::MalformedPacket, "malformed_packet", 5, -32003, 400, false },
        { ErrorKind::UnknownService, "unknown_service", 6, -32004, 404, false },
        { ErrorKind::UnknownZone, "unknown_zone", 7, -32005, 404, false },
        { ErrorKind::NotFound, "not_found", 8, -32006, 404, false },
        { ErrorKind::Conflict, "conflict", 9, -32007, 409, false },
        { ErrorKind::StoreUnavailable, "store_unavailable", 10, -32008, 503, true },
        { ErrorKind::StoreTimeout, "store_timeout", 11, -32009, 504, true },
        { ErrorKind::PeerUnavailable, "peer_unavailable", 12, -32010, 502, true },
        { ErrorKind::NotInForce, "not_in_force", 13, -32011, 504, true },
        { ErrorKind::Io, "io", 14, -32012, 500, true },
        { ErrorKind::Internal, "internal", 15, -32603, 500, false },
} };

constexpr bool isIndexedByKind()
{
    for (int i = 0; i < errorKindCount; ++i) {
        if (int(answers[std::size_t(i)].kind) != i)
            return false;
    }
    return true;
}
static_assert(isIndexedByKind());

} // namespace

const ErrorCodes &codesOf(ErrorKind kind)
{
    return answers[std::size_t(kind)];
}

} // namespace cactusdeck
