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

/// Inputs of a model choice in addition to the request.
struct SelectionInputs {
    std::vector<const EndpointEntry *> endpoints;
    /// Endpoint query for the next attempt, without a model.
    ChoiceQuery query;
    CascadeTimes times;
    MonotonicTime now;
};

/// Selects the model of one request on a route that offers several: an initial model, then larger ones as long as no part of an
/// answer has been sent to the caller.
class ModelSelection
{
public:
    explicit ModelSelection(EntryState &state);

    /// Starts the selection for a request. `service` is null if the configuration does not define it. All arguments must outlive the request.
    void begin(const Route &route, const GatewayRequest &request, const ServiceProperties *service);
    /// Whether the router chooses the model: the caller named none and the route offers some.
    bool isChoosing() const;
    /// Model of the current attempt.
    const std::string &model() const;
    void chooseFirst(const SelectionInputs &inputs);
    /// Records the confidence that the current model reports for its answer; later requests use it too.
    void recordAnswer(const AnswerMetadata &answer);
    /// Switches to a larger model if its expected benefit justifies it. Returns whether it switched.
    bool escalate(const SelectionInputs &inputs);
    /// Confidence reported with the latest answer, and the model that gave it.
    const std::optional<ModelConfidence> &latestConfidence() const;

private:
    std::vector<ModelOption> options(const SelectionInputs &inputs) const;
    /// Expected number of output tokens: the caller's estimate, or half of its limit, clamped to the range from 1 to that limit.
    std::int64_t expectedOutput() const;
    /// Cost per token relative to the service's most expensive model, 0 to 1; 0 if the costs are unknown.
    double relativeCost(const std::string &name) const;

    EntryState &state;
    const Route *route = nullptr;
    const GatewayRequest *request = nullptr;
    const ServiceProperties *service = nullptr;
    /// Index of the current model in the route's list; empty until one is chosen.
    std::optional<std::size_t> position;
    std::optional<ModelConfidence> newestConfidence;
};

} // namespace Godwitfork
