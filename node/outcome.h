#ifndef CACTUSDECK_NODE_OUTCOME_H
#define CACTUSDECK_NODE_OUTCOME_H

#include <optional>
#include <type_traits>
#include <utility>

#include "core/error.h"

// Holds the value or the Error of a Result. For callers outside a Boost.LEAF error-handling scope:
// threads, library callbacks and tests.
//
//     auto settings = outcomeOf([&] { return loadBalancerSettings(file); });
//     if (!settings.value)
//         print(settings.error.message);

namespace cactusdeck {

template <typename T>
struct Outcome
{
    std::optional<T> value;
    Error error; // valid only if value is empty

    explicit operator bool() const { return this->value.has_value(); }
};

namespace detail {

template <typename R>
struct ResultValue;

template <typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

} // namespace detail

// Runs f, which returns Result<T>, and handles its error. For Result<void> the value is true.
template <typename F>
auto outcomeOf(F &&f)
{
    using R = std::invoke_result_t<F>;
    using V = typename detail::ResultValue<R>::Type;
    using T = std::conditional_t<std::is_void_v<V>, bool, V>;
    return leaf::try_handle_all(
            [&]() -> Result<Outcome<T>> {
                R result = f();
                if (!result)
                    return result.error();
                if constexpr (std::is_void_v<V>)
                    return Outcome<T>{ true, {} };
                else
                    return Outcome<T>{ std::move(*result), {} };
            },
            [](const Error &error) {
                return Outcome<T>{ std::nullopt, error };
            },
            [] {
                return Outcome<T>{ std::nullopt, { ErrorKind::Internal, "unidentified error" } };
            });
}

// Converts the outcome back into a Result, for the caller's LEAF scope.
template <typename T>
Result<T> resultOf(Outcome<T> outcome)
{
    if (!outcome.value)
        return fail(outcome.error.kind, std::move(outcome.error.message));
    return std::move(*outcome.value);
}

} // namespace cactusdeck

#endif // CACTUSDECK_NODE_OUTCOME_H
