#include "Worker.h"

namespace Godwitfork
{

Worker::Worker(const RouterSettings &settings, ControlPlane &control, RouterStatus &status, Metrics &metrics)
    : settings(settings), control(control), status(status), metrics(metrics), client(this->context), random(systemSeededRandomSource())
{
}

} // namespace Godwitfork
