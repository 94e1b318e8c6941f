#include "LibEntry/RequestsInProgress.h"

namespace Godwitfork
{

std::shared_ptr<CallerConnection> RequestsInProgress::add()
{
    auto owned = std::make_unique<CallerConnection>();
    CallerConnection *request = owned.get();
    this->requests->insert(request);
    return {owned.release(), [requests = this->requests](CallerConnection *ended) {
                requests->erase(ended);
                delete ended;
            }};
}

int RequestsInProgress::interrupt(bool isWithAnswer)
{
    int interrupted = 0;
    for (CallerConnection *request : *this->requests) {
        if (request->gone || request->interrupted || (request->hasAnswer && !isWithAnswer)) {
            continue;
        }
        request->interrupted = true;
        ++interrupted;
        if (request->canceller) {
            request->canceller->cancel();
        }
    }
    return interrupted;
}

int RequestsInProgress::count() const
{
    return static_cast<int>(this->requests->size());
}

} // namespace Godwitfork
