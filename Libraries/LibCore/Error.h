#pragma once

#include <boost/outcome/result.hpp>

#include <compare>
#include <string>
#include <utility>

namespace Godwitfork
{

/// Result of an operation that returns a T or fails with an E.
template<typename T, typename E>
using Outcome = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

/// General error: a stable machine-readable code and a human-readable message.
struct Error {
    std::string code;
    std::string message;

    auto operator<=>(const Error &) const = default;
};

template<typename T>
using ErrorOr = Outcome<T, Error>;

} // namespace Godwitfork

/// Evaluates to the value of an Outcome, or returns its failure from the enclosing function. Coroutines use CO_TRY instead.
#define TRY(expression)                                                                                                                                        \
    ({                                                                                                                                                         \
        auto tryResult = (expression);                                                                                                                         \
        if (!tryResult)                                                                                                                                        \
            return std::move(tryResult).as_failure();                                                                                                          \
        std::move(tryResult).assume_value();                                                                                                                   \
    })

/// Declares `variable` with the value of an Outcome, or ends the enclosing coroutine with its failure.
#define CO_TRY(variable, expression)                                                                                                                           \
    auto variable##Result = (expression);                                                                                                                      \
    if (!variable##Result)                                                                                                                                     \
        co_return std::move(variable##Result).as_failure();                                                                                                    \
    auto variable = std::move(variable##Result).assume_value()
