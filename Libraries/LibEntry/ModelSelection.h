#pragma once

#include "LibEntry/EntryState.h"
#include "LibGateway/EndpointChooser.h"
#include "LibGateway/ModelCascade.h"
#include "LibGateway/RouteConfiguration.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What the choice of a model depends on, besides the request.
struct SelectionInputs {
    std::vector<const EndpointEntry *> endpoints;
    /// The request as it would be sent now, without a model.
    ChoiceQuery query;
    CascadeTimes times;
    MonotonicTime now;
};

/// The model of one request on a route that offers several: the first one, and larger ones while no part of an answer has
/// reached the caller.
class ModelSelection
{
public:
    explicit ModelSelection(EntryState &state);

    /// `service` is null if the configuration names none; the objects live as long as the request.
    void begin(const Route &route, const GatewayRequest &request, const ServiceProperties *service);
    /// Whether the router chooses the model.
    bool isChoosing() const;
    /// Model of the current attempt.
    const std::string &model() const;
    void chooseFirst(const SelectionInputs &inputs);
    /// Takes what the current model says of its answer, for later choices too.
    void recordAnswer(const AnswerMetadata &answer);
    /// Changes to a larger model if that is worth it.
    bool escalate(const SelectionInputs &inputs);
    /// Confidence of the newest answer, with its model.
    const std::optional<ModelConfidence> &opinion() const;

private:
    std::vector<ModelOption> options(const SelectionInputs &inputs) const;
    std::int64_t expectedOutput() const;
    double relativeCost(const std::string &name) const;

    EntryState &state;
    const Route *route = nullptr;
    const GatewayRequest *request = nullptr;
    const ServiceProperties *service = nullptr;
    /// Position among the route's models; set once chosen.
    std::optional<std::size_t> position;
    std::optional<ModelConfidence> newestOpinion;
};

} // namespace Godwitfork
