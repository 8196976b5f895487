#ifndef CACTUSDECK_CORE_ERROR_H
#define CACTUSDECK_CORE_ERROR_H

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

// The complete list of error kinds, and the codes that report each kind at process exit, over
// JSON-RPC and over HTTP.
//
//     Result<Contract> parse(...)
//     {
//         if (...)
//             return fail(ErrorKind::InvalidContract,
//                         "booking.json: slots: expected 1 to 1000, got 0");
//         ...
//     }
//
// At such an interface boost::leaf::try_handle_all turns the Error object into an exit code, a
// JSON-RPC error or an HTTP status with codesOf(kind).

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
    Conflict, // a conditional update found that another one came first
    StoreUnavailable,
    StoreTimeout,
    PeerUnavailable,
    NotInForce, // accepted, but not confirmed by all nodes within the requested time
    Io,
    Internal,
};

inline constexpr int errorKindCount = int(ErrorKind::Internal) + 1;

// The codes by which an error kind is reported.
struct ErrorCodes
{
    ErrorKind kind;
    std::string_view name; // for logs and JSON; must not change
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
