#include "LibEntry/ModelSelection.h"

#include <algorithm>

namespace Godwitfork
{

ModelSelection::ModelSelection(EntryState &state) : state(state)
{
}

void ModelSelection::begin(const Route &newRoute, const GatewayRequest &newRequest, const ServiceProperties *newService)
{
    this->route = &newRoute;
    this->request = &newRequest;
    this->service = newService;
}

bool ModelSelection::isChoosing() const
{
    return this->request->model.empty() && !this->route->models.empty();
}

const std::string &ModelSelection::model() const
{
    return this->route->models[*this->position];
}

void ModelSelection::chooseFirst(const SelectionInputs &inputs)
{
    if (!this->position) {
        this->position = firstModel(this->options(inputs), inputs.times);
    }
}

void ModelSelection::recordAnswer(const AnswerMetadata &answer)
{
    if (!answer.confidence || !this->position || !this->service) {
        return;
    }
    const ModelConfidence newest {this->model(), *answer.confidence};
    if (this->newestConfidence && this->newestConfidence->model != newest.model) {
        this->state.confidenceGains.record(this->service->name, *this->newestConfidence, newest);
    }
    this->newestConfidence = newest;
}

bool ModelSelection::escalate(const SelectionInputs &inputs)
{
    if (!this->newestConfidence || !this->position) {
        return false;
    }
    const auto larger = escalation(this->options(inputs), *this->position, this->newestConfidence->confidence, inputs.times);
    if (larger) {
        this->position = larger;
    }
    return larger.has_value();
}

const std::optional<ModelConfidence> &ModelSelection::latestConfidence() const
{
    return this->newestConfidence;
}

std::int64_t ModelSelection::expectedOutput() const
{
    const auto estimate = this->request->expectedOutputTokens.value_or(this->request->maxOutputTokens / 2);
    return std::min(std::max<std::int64_t>(estimate, 1), std::max<std::int64_t>(this->request->maxOutputTokens, 1));
}

double ModelSelection::relativeCost(const std::string &name) const
{
    double highestCost = 0;
    double modelCost = 0;
    if (this->service && this->service->engine) {
        for (const ModelOffer &offer : this->service->engine->models) {
            highestCost = std::max(highestCost, offer.costPerThousandTokens);
            modelCost = offer.name == name ? offer.costPerThousandTokens : modelCost;
        }
    }
    return highestCost > 0 ? modelCost / highestCost : 0;
}

std::vector<ModelOption> ModelSelection::options(const SelectionInputs &inputs) const
{
    std::vector<ModelOption> options;
    ChoiceQuery query = inputs.query;
    for (std::size_t i = 0; i < this->route->models.size(); ++i) {
        query.model = this->route->models[i];
        ModelOption option;
        if (this->newestConfidence && i > *this->position) {
            option.confidenceGain = this->state.confidenceGains.gain(query.service, this->newestConfidence->model, query.model, i - *this->position);
        }
        option.relativeCost = this->relativeCost(query.model);
        option.firstOutput = inputs.times.remaining;
        const auto forecast = this->state.chooser.forecast(inputs.endpoints, query, inputs.now, this->state.random);
        if (forecast) {
            option.promptTime = forecast->promptTime;
            option.firstOutput = std::max(forecast->firstOutput, forecast->promptTime + inputs.times.meanPromptWait);
        }
        option.lastOutput = option.firstOutput + this->state.chooser.speeds().outputTime(query.service, query.model, this->expectedOutput());
        options.push_back(option);
    }
    return options;
}

} // namespace Godwitfork
