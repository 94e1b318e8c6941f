#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace Godwitfork
{

template<typename T>
boost::asio::awaitable<void> storeResult(boost::asio::awaitable<T> task, std::optional<T> &result)
{
    result.emplace(co_await std::move(task));
}

/// Runs a task on the context of another thread and resumes on the caller's own context. Unlike a plain co_spawn, it supports
/// result types without a default constructor.
template<typename T>
boost::asio::awaitable<T> runOn(boost::asio::io_context &context, boost::asio::awaitable<T> task)
{
    std::optional<T> result;
    co_await boost::asio::co_spawn(context, storeResult(std::move(task), result), boost::asio::use_awaitable);
    co_return std::move(*result);
}

} // namespace Godwitfork
