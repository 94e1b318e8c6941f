#include "FakeObjectStore.h"

namespace Godwitfork
{

namespace Asio = boost::asio;

ObjectStoreOperations FakeObjectStore::objects()
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
    objects.waitBeforeRetry = []() -> Asio::awaitable<void> { co_return; };
    return objects;
}

void FakeObjectStore::putDirectly(const std::string &name, const std::string &value)
{
    this->applyWrite({name, value, {}}).value();
}

int FakeObjectStore::writesTo(const std::string &name) const
{
    return this->writeCounts.contains(name) ? this->writeCounts.at(name) : 0;
}

void FakeObjectStore::applyDelayedWrites()
{
    while (!this->delayed.empty()) {
        const PendingWrite write = this->delayed.front();
        this->delayed.pop_front();
        (void)this->applyWrite(write);
    }
}

StoreOutcome<StoredObject> FakeObjectStore::read(const std::string &name)
{
    if (this->outage) {
        return StoreError {StoreFailure::Unavailable, "outage", 0};
    }
    const auto found = this->stored.find(name);
    const bool isFound = found != this->stored.end();
    const StoredObject object = isFound ? found->second : StoredObject();
    // A delayed write takes effect after the next read, so this read does not return it.
    this->applyDelayedWrites();
    if (!isFound) {
        return StoreError {StoreFailure::NotFound, "not found", 0};
    }
    return object;
}

StoreOutcome<ObjectVersion> FakeObjectStore::write(const PendingWrite &write)
{
    if (this->outage) {
        return StoreError {StoreFailure::Unavailable, "outage", 0};
    }
    FakeWriteOutcome outcome = FakeWriteOutcome::Ok;
    if (!this->nextWrites.empty()) {
        outcome = this->nextWrites.front();
        this->nextWrites.pop_front();
    }
    const StoreError lost {StoreFailure::Unknown, "response lost", 0};
    switch (outcome) {
    case FakeWriteOutcome::Ok:
        break;
    case FakeWriteOutcome::AnswerLost:
        (void)this->applyWrite(write);
        return lost;
    case FakeWriteOutcome::RequestLost:
        return lost;
    case FakeWriteOutcome::Delayed:
        this->delayed.push_back(write);
        return lost;
    }
    return this->applyWrite(write);
}

StoreOutcome<ObjectVersion> FakeObjectStore::applyWrite(const PendingWrite &write)
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
