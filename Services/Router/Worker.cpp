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

std::shared_ptr<PoolAdmissionController> Worker::findOrCreateAdmissionController(const std::string &servedName)
{
    std::shared_ptr<PoolAdmissionController> &controller = this->admissionControllers[servedName];
    if (!controller) {
        controller = std::make_shared<PoolAdmissionController>(this->context);
    }
    return controller;
}

} // namespace Godwitfork
