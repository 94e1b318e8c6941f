#pragma once

#include "LibAdministration/Changes.h"
#include "LibAdministration/LedgerReport.h"
#include "LibHttp/HttpMessage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// State of one instance, as it reports it itself or as another instance received it.
struct InstanceState {
    std::string instance;
    std::string incarnation;
    std::string failureDomain;
    std::string site;
    /// Revision in force on the instance; 0 for none.
    ObjectVersion revision = 0;
    /// Whether the instance accepts new requests.
    bool isReady = false;

    auto operator<=>(const InstanceState &) const = default;
};

/// Body of `POST /v1/configuration`.
struct ApplyRequest {
    std::string token;
    ObjectVersion basedOn = 0;
    std::string comment;
    bool mayReinstate = false;
    Configuration configuration;

    auto operator<=>(const ApplyRequest &) const = default;
};

/// Body of `POST /v1/versions` or `POST /v1/endpoints`: the members that both share, and the change.
template<typename T>
struct ChangeRequest {
    std::string token;
    /// Revision that was current before the first attempt with the token.
    ObjectVersion since = 0;
    std::string comment;
    T change;
};

/// Parsers of the request bodies. They fail with `invalid_request` and the member that is missing, unknown or of the wrong
/// type.
ErrorOr<ApplyRequest> parseApplyRequest(const std::string &body);
ErrorOr<ChangeRequest<VersionStateChange>> parseVersionStateRequest(const std::string &body);
ErrorOr<ChangeRequest<EndpointStateChange>> parseEndpointStateRequest(const std::string &body);

/// Error body of the administration API. `ran` is "no" only if nothing was stored.
HttpResponse administrationError(int status, std::string_view code, std::string_view message, std::string_view ran = "no", ObjectVersion currentRevision = 0);
HttpResponse applyResponse(const ApplyResult &result);
/// JSON of a revision's number and metadata, without the configuration.
nlohmann::json summaryJson(const ConfigurationRecord &record);
nlohmann::json recordJson(const ConfigurationRecord &record);
nlohmann::json billJson(const Bill &bill);
nlohmann::json spendJson(const AccountSpend &spend);
nlohmann::json instancesJson(const std::vector<InstanceState> &instances);

} // namespace Godwitfork
