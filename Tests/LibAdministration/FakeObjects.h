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

/// What happens to a write: it succeeds; it takes effect but its answer is lost; it is lost on the way; or it takes effect
/// only after the next call.
enum class FakeWrite { Ok, AnswerLost, RequestLost, Delayed };

/// In-memory object store whose writes fail as scripted.
class FakeObjects
{
public:
    std::deque<FakeWrite> nextWrites;
    bool outage = false;

    ObjectStoreOperations objects();
    void putDirectly(const std::string &name, const std::string &value);
    /// Number of writes to the object that took effect.
    int writesTo(const std::string &name) const;
    void carryOutDelayedWrites();

    template<typename T>
    T run(boost::asio::awaitable<T> work)
    {
        boost::asio::io_context context;
        std::optional<T> result;
        // co_spawn needs a default constructor for a result that it hands over, which an outcome does not have.
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
    StoreOutcome<ObjectVersion> carryOut(const PendingWrite &write);

    std::map<std::string, StoredObject> stored;
    std::map<std::string, int> writeCounts;
    std::deque<PendingWrite> delayed;
    ObjectVersion lastVersion = 10;
};

} // namespace Godwitfork
