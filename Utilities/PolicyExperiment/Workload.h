#pragma once

#include "LibCore/Money.h"
#include "LibCore/Random.h"

#include <string>
#include <vector>

namespace Godwitfork
{

struct VersionModel {
    std::string name;
    Microunits cost = 0;
    /// Difficulty up to which answers keep the highest quality.
    double ability = 0;
};

struct TaskClassModel {
    std::string name;
    double share = 0;
    /// Parameters of the Beta distribution of difficulty.
    double alpha = 1;
    double beta = 1;
};

struct AccountModel {
    std::string name;
    double share = 0;
    double target = 0;
};

/// Distributions of one deployment; docs/measurements.md states them.
struct Deployment {
    std::string name;
    double requestsPerSecond = 1;
    double ratingDelaySeconds = 1;
    std::vector<VersionModel> versions;
    std::vector<TaskClassModel> classes;
    std::vector<AccountModel> accounts;
};

Deployment ljungberg();
Deployment kalendarwerk();

/// One answer that a version would give to a request.
struct DrawnAnswer {
    double quality = 0;
    double confidence = 0;
    /// Rating that the rating service would give; its mean is the quality.
    double rating = 0;
};

/// A request with the answers of all versions, so that every policy meets the same draws.
struct DrawnRequest {
    std::size_t account = 0;
    std::size_t taskClass = 0;
    std::vector<DrawnAnswer> answers;
    double ratingDelaySeconds = 0;
};

DrawnRequest drawRequest(const Deployment &deployment, RandomSource &random);

/// Rating around a quality: Beta distribution with the quality as its mean.
double drawRating(double quality, RandomSource &random);

double drawDelay(const Deployment &deployment, RandomSource &random);

} // namespace Godwitfork
