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

/// What one instance reports about itself, or about another one that it hears from.
struct InstanceState {
    std::string instance;
    std::string incarnation;
    std::string failureDomain;
    std::string site;
    /// Revision in force on the instance; 0 for none.
    ObjectVersion revision = 0;
    /// Whether it takes new requests.
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

/// Members that `POST /v1/versions` and `POST /v1/endpoints` share, and the change.
template<typename T>
struct ChangeRequest {
    std::string token;
    /// Revision that was current before the first try of the token.
    ObjectVersion since = 0;
    std::string comment;
    T change;
};

/// Each fails with `invalid_request` and the member that is missing, unknown or of the wrong type.
ErrorOr<ApplyRequest> parseApplyRequest(const std::string &body);
ErrorOr<ChangeRequest<VersionStateChange>> parseVersionStateRequest(const std::string &body);
ErrorOr<ChangeRequest<EndpointStateChange>> parseEndpointStateRequest(const std::string &body);

/// Error body of the administration API. `ran` is "no" only if nothing was stored.
HttpResponse administrationError(int status, std::string_view code, std::string_view message, std::string_view ran = "no", ObjectVersion currentRevision = 0);
HttpResponse applyResponse(const ApplyResult &result);
/// Where a revision comes from, without the configuration itself.
nlohmann::json summaryJson(const ConfigurationRecord &record);
nlohmann::json recordJson(const ConfigurationRecord &record);
nlohmann::json billJson(const Bill &bill);
nlohmann::json spendJson(const AccountSpend &spend);
nlohmann::json instancesJson(const std::vector<InstanceState> &instances);

} // namespace Godwitfork
