#ifndef CACTUSDECK_CORE_ERROR_H
#define CACTUSDECK_CORE_ERROR_H

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

// The closed list of error kinds, and the answer that each kind gets at every boundary.
//
//     Result<Contract> parse(...)
//     {
//         if (...)
//             return fail(ErrorKind::InvalidContract, "booking.json: slots: expected 1 to 1000, got
//             0");
//         ...
//     }
//
// At a boundary boost::leaf::try_handle_all turns the Error object into an exit code, a JSON-RPC
// error or an HTTP status with answerOf(kind).

namespace cactusdeck {

namespace leaf = boost::leaf;

enum class ErrorKind {
    InvalidArgument, // command line
    InvalidSettings, // settings file of a daemon
    InvalidContract, // service file
    MalformedPacket, // truncated or corrupt datagram, wrong version
    UnknownService,
    UnknownZone,
    NotFound,
    Conflict, // a conditional update lost to another one
    StoreUnavailable,
    StoreTimeout,
    PeerUnavailable,
    NotInForce, // accepted, but not confirmed everywhere within the time asked for
    Io,
    Internal,
};

inline constexpr int errorKindCount = int(ErrorKind::Internal) + 1;

// How an error kind is reported at each boundary.
struct ErrorCodes
{
    ErrorKind kind;
    std::string_view name; // stable, for logs and JSON
    int exitCode;
    int rpcCode;
    int httpStatus;
    bool retryable; // the same call may succeed later without any change
};

const ErrorCodes &codesOf(ErrorKind kind);

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

template <typename T>
using Result = leaf::result<T>;

inline leaf::error_id fail(ErrorKind kind, std::string message)
{
    return leaf::new_error(Error{ kind, std::move(message) });
}

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_ERROR_H
