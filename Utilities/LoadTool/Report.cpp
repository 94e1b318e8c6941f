#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace Godwitfork
{

namespace
{
constexpr double microsecondsInMillisecond = 1000;

struct Measure {
    const char *key;
    const char *title;
    const LatencyHistogram VariantStatistics::*histogram;
};

constexpr std::array<Measure, 6> measures {{
    {"first_byte", "time to first byte", &VariantStatistics::firstByte},
    {"between_tokens", "time between tokens", &VariantStatistics::tokenGap},
    {"end", "time to the end", &VariantStatistics::end},
    {"end_of_short_requests", "time to the end, short", &VariantStatistics::shortEnd},
    {"refusal", "time to a refusal", &VariantStatistics::refusal},
    {"send_delay", "late sending", &VariantStatistics::sendDelay},
}};
constexpr std::array<double, 3> shares {0.5, 0.95, 0.99};
constexpr std::array<const char *, 3> shareNames {"median", "p95", "p99"};

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsInMillisecond;
}

std::string format(const char *pattern, auto... values)
{
    std::array<char, 512> buffer {};
    std::snprintf(buffer.data(), buffer.size(), pattern, values...);
    return buffer.data();
}

nlohmann::ordered_json toJson(const VariantStatistics &statistics)
{
    nlohmann::ordered_json json;
    json["variant"] = statistics.variant;
    json["repetition"] = statistics.repetition < 0 ? nlohmann::ordered_json("all") : nlohmann::ordered_json(statistics.repetition);
    json["sent"] = statistics.sent;
    json["answered"] = statistics.answered;
    json["refused"] = statistics.refused;
    json["unknown"] = statistics.unknown;
    json["codes"] = nlohmann::ordered_json::array();
    for (const auto &[code, count] : statistics.codes) {
        json["codes"].push_back({{"status", code.first}, {"code", code.second}, {"count", count}});
    }
    for (const Measure &measure : measures) {
        const LatencyHistogram &histogram = statistics.*measure.histogram;
        nlohmann::ordered_json entry {{"count", histogram.count()}};
        for (std::size_t i = 0; i < shares.size(); ++i) {
            entry[std::string(shareNames[i]) + "_ms"] = milliseconds(histogram.quantile(shares[i]));
        }
        json[measure.key] = entry;
    }
    return json;
}

/// Added milliseconds of a variant over the baseline, one value for each repetition, sorted.
std::vector<double> addedTimes(const Experiment &experiment, const Report &report, const std::string &variant, const Measure &measure, double share)
{
    const auto find = [&report](const std::string &name, int repetition) {
        const auto matches = [&](const VariantStatistics &entry) { return entry.variant == name && entry.repetition == repetition; };
        return std::find_if(report.statistics.begin(), report.statistics.end(), matches);
    };
    std::vector<double> added;
    for (int repetition = 0; repetition < experiment.repetitions; ++repetition) {
        const auto measured = find(variant, repetition);
        const auto baseline = find(experiment.baseline, repetition);
        if (measured != report.statistics.end() && baseline != report.statistics.end()) {
            const Duration difference = ((*measured).*measure.histogram).quantile(share) - ((*baseline).*measure.histogram).quantile(share);
            added.push_back(milliseconds(difference));
        }
    }
    std::sort(added.begin(), added.end());
    return added;
}

struct Comparison {
    std::string variant;
    const Measure *measure;
    std::size_t share;
    std::vector<double> added;
};

std::vector<Comparison> compareWithBaseline(const Experiment &experiment, const Report &report)
{
    std::vector<Comparison> comparisons;
    for (const LoadVariant &variant : experiment.variants) {
        if (experiment.baseline.empty() || variant.name == experiment.baseline) {
            continue;
        }
        for (std::size_t measure = 0; measure < 3; ++measure) {
            for (std::size_t share = 0; share < shares.size(); ++share) {
                std::vector<double> added = addedTimes(experiment, report, variant.name, measures[measure], shares[share]);
                if (!added.empty()) {
                    comparisons.push_back({variant.name, &measures[measure], share, std::move(added)});
                }
            }
        }
    }
    return comparisons;
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    stream.close();
    if (!stream) {
        throw std::system_error(errno, std::generic_category(), "cannot write " + path.string());
    }
}

/// Quantiles of one measure, a line for each tenth of a percent.
std::string plotData(const LatencyHistogram &histogram)
{
    constexpr int points = 1000;
    std::string text;
    for (int i = 1; i < points && histogram.count() > 0; ++i) {
        const double share = static_cast<double>(i) / points;
        text += format("%.3f %.4f\n", share, milliseconds(histogram.quantile(share)));
    }
    return text;
}

/// Text in a gnuplot string with single quotes.
std::string quoted(const std::string &text)
{
    std::string result = "'";
    for (const char c : text) {
        result += c == '\'' ? "''" : std::string(1, c);
    }
    return result + "'";
}

void writePlots(const std::filesystem::path &folder, const Report &report)
{
    std::string script = "set terminal svg size 900,500\nset xlabel 'share of requests'\nset ylabel 'ms'\nset logscale y\nset key left top\n";
    for (const Measure &measure : measures) {
        std::string curves;
        int number = 0;
        for (const VariantStatistics &statistics : report.statistics) {
            const std::string data = statistics.repetition < 0 ? plotData(statistics.*measure.histogram) : "";
            if (data.empty()) {
                continue;
            }
            const std::string file = format("%s-%d.dat", measure.key, number++);
            writeFile(folder / file, data);
            curves += (curves.empty() ? "plot " : ", ") + quoted(file) + " with lines title " + quoted(statistics.variant);
        }
        if (!curves.empty()) {
            script += format("set title '%s'\nset output '%s.svg'\n", measure.title, measure.key) + curves + "\n";
        }
    }
    writeFile(folder / "plots.gnuplot", script);
}
} // namespace

nlohmann::ordered_json toJson(const Experiment &experiment, const Report &report)
{
    nlohmann::ordered_json json;
    json["experiment"] = experiment.name;
    json["seed"] = experiment.seed;
    json["repetitions"] = experiment.repetitions;
    json["duration_s"] = std::chrono::duration<double>(experiment.duration).count();
    json["requests_per_second"] = experiment.requestsPerSecond;
    json["results"] = nlohmann::ordered_json::array();
    for (const VariantStatistics &statistics : report.statistics) {
        json["results"].push_back(toJson(statistics));
    }
    json["added_to_baseline"] = nlohmann::ordered_json::array();
    for (const Comparison &comparison : compareWithBaseline(experiment, report)) {
        json["added_to_baseline"].push_back({{"variant", comparison.variant},
                                             {"measure", comparison.measure->key},
                                             {"quantile", shareNames[comparison.share]},
                                             {"ms_by_repetition_sorted", comparison.added}});
    }
    json["problems"] = report.problems;
    json["check"] = report.check == Report::Check::Done ? "done" : "not run";
    json["violations"] = nlohmann::ordered_json::array();
    for (const Violation &violation : report.violations) {
        json["violations"].push_back({{"rule", violation.rule}, {"request_id", violation.requestId}, {"message", violation.message}});
    }
    return json;
}

std::string toTable(const Experiment &experiment, const Report &report)
{
    std::string text = experiment.name + format(", seed %llu\n", static_cast<unsigned long long>(experiment.seed));
    text += "Latencies count from the intended send time, in ms.\n";
    for (const VariantStatistics &statistics : report.statistics) {
        const std::string repetition = statistics.repetition < 0 ? "all repetitions" : "repetition " + std::to_string(statistics.repetition);
        text += "\n" + statistics.variant + ", " + repetition;
        text += format(": sent %lld = answered %lld + refused %lld + unknown %lld\n",
                       static_cast<long long>(statistics.sent),
                       static_cast<long long>(statistics.answered),
                       static_cast<long long>(statistics.refused),
                       static_cast<long long>(statistics.unknown));
        for (const auto &[code, count] : statistics.codes) {
            text += format("  %3d %-28s %8lld\n", code.first, code.second.c_str(), static_cast<long long>(count));
        }
        for (const Measure &measure : measures) {
            const LatencyHistogram &histogram = statistics.*measure.histogram;
            if (histogram.count() > 0) {
                text += format("  %-24s median %9.3f  p95 %9.3f  p99 %9.3f\n",
                               measure.title,
                               milliseconds(histogram.quantile(shares[0])),
                               milliseconds(histogram.quantile(shares[1])),
                               milliseconds(histogram.quantile(shares[2])));
            }
        }
    }
    for (const Comparison &comparison : compareWithBaseline(experiment, report)) {
        text += "\n" + comparison.variant + " minus " + experiment.baseline;
        text += format(", %s, %s: lowest %.3f, middle %.3f, highest %.3f of %zu repetitions",
                       comparison.measure->title,
                       shareNames[comparison.share],
                       comparison.added.front(),
                       comparison.added[comparison.added.size() / 2],
                       comparison.added.back(),
                       comparison.added.size());
    }
    text += "\n";
    for (const std::string &problem : report.problems) {
        text += "problem: " + problem + "\n";
    }
    text += report.check == Report::Check::Done ? format("check: %zu violations\n", report.violations.size()) : std::string("check: not run\n");
    for (const Violation &violation : report.violations) {
        text += "  " + violation.rule + " " + violation.requestId + ": " + violation.message + "\n";
    }
    return text;
}

void writeReport(const std::string &folder, const Experiment &experiment, const Report &report)
{
    const std::filesystem::path path(folder);
    std::filesystem::create_directories(path);
    writeFile(path / "results.json", toJson(experiment, report).dump(2) + "\n");
    writeFile(path / "table.txt", toTable(experiment, report));
    writePlots(path, report);
    // The folder's name must not end the shell's quotes.
    if (folder.find('\'') == std::string::npos) {
        const std::string command = "cd '" + folder + "' && command -v gnuplot > /dev/null && gnuplot plots.gnuplot";
        if (std::system(command.c_str()) != 0) {
            std::fputs("gnuplot is not installed or failed; plots.gnuplot and its data are in the folder\n", stderr);
        }
    }
}

} // namespace Godwitfork
