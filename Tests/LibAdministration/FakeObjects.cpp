#include "FakeObjects.h"

namespace Godwitfork
{

namespace Asio = boost::asio;

ObjectStoreOperations FakeObjects::objects()
{
    ObjectStoreOperations objects;
    objects.read = [this](std::string name) -> Asio::awaitable<StoreOutcome<StoredObject>> { co_return this->read(name); };
    objects.write = [this](std::string name, std::string value, WriteCondition condition) -> Asio::awaitable<StoreOutcome<ObjectVersion>> {
        const PendingWrite pending {std::move(name), std::move(value), condition};
        co_return this->write(pending);
    };
    objects.list = [this](std::string prefix) -> Asio::awaitable<StoreOutcome<std::vector<StoredObject>>> {
        std::vector<StoredObject> found;
        for (const auto &[name, object] : this->stored) {
            if (name.starts_with(prefix)) {
                found.push_back(object);
            }
        }
        co_return found;
    };
    objects.pause = []() -> Asio::awaitable<void> { co_return; };
    return objects;
}

void FakeObjects::putDirectly(const std::string &name, const std::string &value)
{
    this->carryOut({name, value, {}}).value();
}

int FakeObjects::writesTo(const std::string &name) const
{
    return this->writeCounts.contains(name) ? this->writeCounts.at(name) : 0;
}

void FakeObjects::carryOutDelayedWrites()
{
    while (!this->delayed.empty()) {
        const PendingWrite write = this->delayed.front();
        this->delayed.pop_front();
        (void)this->carryOut(write);
    }
}

StoreOutcome<StoredObject> FakeObjects::read(const std::string &name)
{
    if (this->outage) {
        return StoreError {StoreFailure::Unavailable, "outage", 0};
    }
    const auto found = this->stored.find(name);
    const bool isFound = found != this->stored.end();
    const StoredObject object = isFound ? found->second : StoredObject();
    // A delayed write takes effect after the next read, so that this read does not show it.
    this->carryOutDelayedWrites();
    if (!isFound) {
        return StoreError {StoreFailure::NotFound, "not found", 0};
    }
    return object;
}

StoreOutcome<ObjectVersion> FakeObjects::write(const PendingWrite &write)
{
    if (this->outage) {
        return StoreError {StoreFailure::Unavailable, "outage", 0};
    }
    FakeWrite fate = FakeWrite::Ok;
    if (!this->nextWrites.empty()) {
        fate = this->nextWrites.front();
        this->nextWrites.pop_front();
    }
    const StoreError lost {StoreFailure::Unknown, "answer lost", 0};
    switch (fate) {
    case FakeWrite::Ok:
        break;
    case FakeWrite::AnswerLost:
        (void)this->carryOut(write);
        return lost;
    case FakeWrite::RequestLost:
        return lost;
    case FakeWrite::Delayed:
        this->delayed.push_back(write);
        return lost;
    }
    return this->carryOut(write);
}

StoreOutcome<ObjectVersion> FakeObjects::carryOut(const PendingWrite &write)
{
    StoredObject &object = this->stored[write.name];
    const bool createsExisting = write.condition.kind == WriteConditionKind::CreateOnly && object.version != 0;
    const bool missesVersion = write.condition.kind == WriteConditionKind::VersionMatches && object.version != write.condition.version;
    if (createsExisting || missesVersion) {
        return StoreError {StoreFailure::Conflict, "condition", object.version};
    }
    object = {write.name, ++this->lastVersion, write.value};
    ++this->writeCounts[write.name];
    return object.version;
}

} // namespace Godwitfork
