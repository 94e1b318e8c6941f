#include "Worker.h"

namespace Godwitfork
{

Worker::Worker(const RouterSettings &settings, ControlPlane &control, RouterStatus &status, Metrics &metrics)
    : settings(settings)
    , control(control)
    , status(status)
    , metrics(metrics)
    , pool(makeEndpointPool(settings))
    , client(this->context)
    , random(systemSeededRandomSource())
{
}

std::shared_ptr<PoolGate> Worker::gateOf(const std::string &served)
{
    std::shared_ptr<PoolGate> &gate = this->gates[served];
    if (!gate) {
        gate = std::make_shared<PoolGate>(this->context);
    }
    return gate;
}

} // namespace Godwitfork
