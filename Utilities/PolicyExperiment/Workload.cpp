#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
constexpr double highestQuality = 0.95;
constexpr double qualitySlope = 1.5;
constexpr double qualityDeviation = 0.05;
constexpr double confidenceDeviation = 0.12;
constexpr double ratingConcentration = 6;

double drawBeta(double alpha, double beta, RandomSource &random)
{
    const double left = std::gamma_distribution<double>(alpha)(random);
    const double right = std::gamma_distribution<double>(beta)(random);
    return left / (left + right);
}

double drawNormal(double mean, double deviation, RandomSource &random)
{
    return std::normal_distribution<double>(mean, deviation)(random);
}

template<typename Model>
std::size_t drawIndex(const std::vector<Model> &models, RandomSource &random)
{
    double left = std::uniform_real_distribution<double>()(random);
    for (std::size_t i = 0; i + 1 < models.size(); ++i) {
        left -= models[i].share;
        if (left < 0) {
            return i;
        }
    }
    return models.size() - 1;
}

/// Ten accounts whose shares fall as 1/rank, with the targets repeated in turn.
std::vector<AccountModel> tenAccounts(const std::vector<double> &targets)
{
    constexpr int count = 10;
    double total = 0;
    for (int rank = 1; rank <= count; ++rank) {
        total += 1.0 / rank;
    }
    std::vector<AccountModel> accounts;
    for (int rank = 1; rank <= count; ++rank) {
        const double target = targets[static_cast<std::size_t>(rank - 1) % targets.size()];
        accounts.push_back({"account" + std::to_string(rank), 1.0 / rank / total, target});
    }
    return accounts;
}
} // namespace

Deployment ljungberg()
{
    return {"Ljungberg",
            30,
            60,
            {{"small", 100, 0.35}, {"medium", 350, 0.55}, {"large", 1200, 0.85}},
            {{"reading", 0.6, 2, 4}, {"crest", 0.3, 2, 3}, {"lettering", 0.1, 3, 3}},
            tenAccounts({0.88, 0.85, 0.9})};
}

Deployment kalendarwerk()
{
    return {"Kalendarwerk",
            15,
            60,
            {{"small", 60, 0.4}, {"large", 900, 0.85}},
            {{"layout", 0.3, 2, 3}, {"proof", 0.4, 2, 5}, {"summary", 0.3, 2, 4}},
            tenAccounts({0.86, 0.9, 0.88})};
}

double drawRating(double quality, RandomSource &random)
{
    if (quality <= 0 || quality >= 1) {
        return quality;
    }
    return drawBeta(quality * ratingConcentration, (1 - quality) * ratingConcentration, random);
}

double drawDelay(const Deployment &deployment, RandomSource &random)
{
    return std::exponential_distribution<double>(1 / deployment.ratingDelaySeconds)(random);
}

DrawnRequest drawRequest(const Deployment &deployment, RandomSource &random)
{
    DrawnRequest request;
    request.account = drawIndex(deployment.accounts, random);
    request.taskClass = drawIndex(deployment.classes, random);
    const TaskClassModel &taskClass = deployment.classes[request.taskClass];
    const double difficulty = drawBeta(taskClass.alpha, taskClass.beta, random);
    for (const VersionModel &version : deployment.versions) {
        const double mean = highestQuality - qualitySlope * std::max(0.0, difficulty - version.ability);
        DrawnAnswer answer;
        answer.quality = std::clamp(drawNormal(mean, qualityDeviation, random), 0.0, 1.0);
        answer.confidence = std::clamp(drawNormal(answer.quality, confidenceDeviation, random), 0.0, 1.0);
        answer.rating = drawRating(answer.quality, random);
        request.answers.push_back(answer);
    }
    request.ratingDelaySeconds = drawDelay(deployment, random);
    return request;
}

} // namespace Godwitfork
