#include "LibGateway/StoreProbe.h"

namespace Godwitfork
{

bool StoreProbe::takeOver(CatalogKind kind)
{
    if (!this->prober) {
        this->prober = kind;
    }
    return this->prober == kind;
}

bool StoreProbe::isWaiting(CatalogKind kind) const
{
    return this->prober && this->prober != kind;
}

void StoreProbe::succeed()
{
    this->prober.reset();
}

void StoreProbe::release(CatalogKind kind)
{
    if (this->prober == kind) {
        this->prober.reset();
    }
}

} // namespace Godwitfork
