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
    if (this->newestOpinion && this->newestOpinion->model != newest.model) {
        this->state.confidenceGains.record(this->service->name, *this->newestOpinion, newest);
    }
    this->newestOpinion = newest;
}

bool ModelSelection::escalate(const SelectionInputs &inputs)
{
    if (!this->newestOpinion || !this->position) {
        return false;
    }
    const auto larger = escalation(this->options(inputs), *this->position, this->newestOpinion->confidence, inputs.times);
    if (larger) {
        this->position = larger;
    }
    return larger.has_value();
}

const std::optional<ModelConfidence> &ModelSelection::opinion() const
{
    return this->newestOpinion;
}

std::int64_t ModelSelection::expectedOutput() const
{
    const auto estimate = this->request->expectedOutputTokens.value_or(this->request->maxOutputTokens / 2);
    return std::min(std::max<std::int64_t>(estimate, 1), std::max<std::int64_t>(this->request->maxOutputTokens, 1));
}

double ModelSelection::relativeCost(const std::string &name) const
{
    double dearest = 0;
    double own = 0;
    if (this->service && this->service->engine) {
        for (const ModelOffer &offer : this->service->engine->models) {
            dearest = std::max(dearest, offer.costPerThousandTokens);
            own = offer.name == name ? offer.costPerThousandTokens : own;
        }
    }
    return dearest > 0 ? own / dearest : 0;
}

std::vector<ModelOption> ModelSelection::options(const SelectionInputs &inputs) const
{
    std::vector<ModelOption> options;
    ChoiceQuery query = inputs.query;
    for (std::size_t i = 0; i < this->route->models.size(); ++i) {
        query.model = this->route->models[i];
        ModelOption option;
        if (this->newestOpinion && i > *this->position) {
            option.confidenceGain = this->state.confidenceGains.gain(query.service, this->newestOpinion->model, query.model, i - *this->position);
        }
        option.relativeCost = this->relativeCost(query.model);
        option.firstOutput = inputs.times.remaining;
        const auto choice = this->state.chooser.choose(inputs.endpoints, query, inputs.now, this->state.random);
        if (choice) {
            option.promptTime = choice->promptTime;
            option.firstOutput = std::max(choice->firstOutput, choice->promptTime + inputs.times.meanPromptWait);
        }
        option.lastOutput = option.firstOutput + this->state.chooser.speeds().outputTime(query.service, query.model, this->expectedOutput());
        options.push_back(option);
    }
    return options;
}

} // namespace Godwitfork
