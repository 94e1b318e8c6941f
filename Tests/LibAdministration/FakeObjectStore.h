#pragma once

#include "LibAdministration/ConfigurationStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Outcome of a write: it succeeds; it takes effect but the response is lost; the request is lost; or it takes effect only
/// after the next read.
enum class FakeWriteOutcome { Ok, AnswerLost, RequestLost, Delayed };

/// In-memory object store whose writes fail as listed in `nextWrites`.
class FakeObjectStore
{
public:
    std::deque<FakeWriteOutcome> nextWrites;
    bool outage = false;

    ObjectStoreOperations objects();
    void putDirectly(const std::string &name, const std::string &value);
    /// Number of writes to the object that have taken effect.
    int writesTo(const std::string &name) const;
    void applyDelayedWrites();

    template<typename T>
    T run(boost::asio::awaitable<T> work)
    {
        boost::asio::io_context context;
        std::optional<T> result;
        // co_spawn requires a default constructor of the result type, which an outcome does not have.
        auto store = [](boost::asio::awaitable<T> inner, std::optional<T> &target) -> boost::asio::awaitable<void> {
            target.emplace(co_await std::move(inner));
        };
        boost::asio::co_spawn(context, store(std::move(work), result), [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
        context.run();
        return std::move(result).value();
    }

private:
    struct PendingWrite {
        std::string name;
        std::string value;
        WriteCondition condition;
    };

    StoreOutcome<StoredObject> read(const std::string &name);
    StoreOutcome<ObjectVersion> write(const PendingWrite &write);
    StoreOutcome<ObjectVersion> applyWrite(const PendingWrite &write);

    std::map<std::string, StoredObject> stored;
    std::map<std::string, int> writeCounts;
    std::deque<PendingWrite> delayed;
    ObjectVersion lastVersion = 10;
};

} // namespace Godwitfork
