#include "LibGateway/StoreProbe.h"

namespace Godwitfork
{

bool StoreProbe::acquire(CatalogKind kind)
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

bool StoreProbe::isFailing() const
{
    return this->prober.has_value();
}

void StoreProbe::recordSuccess()
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
