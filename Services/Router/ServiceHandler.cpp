#include "ServiceHandler.h"

#include "LibCore/Identifier.h"
#include "LibCore/Log.h"
#include "RequestDeadline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string routePrefix = "/v1/services/";
constexpr int claimTokenBytes = 16;
constexpr std::size_t maximumKeyBytes = 255;
constexpr int firstErrorStatus = 400;

Ran toRan(ClaimRan ran)
{
    switch (ran) {
    case ClaimRan::No:
        return Ran::No;
    case ClaimRan::Yes:
        return Ran::Yes;
    case ClaimRan::Unknown:
        return Ran::Unknown;
    }
    return Ran::Unknown;
}

ApiError toApiError(const ClaimStep &step)
{
    const Ran ran = toRan(step.ran);
    switch (step.refusal) {
    case ClaimRefusal::KeyReused:
        return apiError("idempotency_key_reused", "the key was used for another request", ran);
    case ClaimRefusal::InProgress:
        return apiError("request_in_progress", "a request with this key is running", ran);
    case ClaimRefusal::OutcomeUnknown:
        return apiError("outcome_unknown", "a request with this key may have run; it is not repeated", ran);
    case ClaimRefusal::DeadlineExceeded:
        return apiError("deadline_exceeded", "the deadline passed before the call was sent", ran);
    case ClaimRefusal::StoreUnavailable:
    case ClaimRefusal::None:
        break;
    }
    return apiError("store_unavailable", "the store could not confirm the claim for this key", ran);
}

std::string contentTypeOf(const HttpResponse &response)
{
    const std::string type = headerValue(response.headers, "Content-Type");
    return type.empty() ? "application/octet-stream" : type;
}

Claim finalClaim(const Claim &claim, const ServiceResult &result)
{
    switch (result.outcome) {
    case ServiceOutcome::Answered:
        return doneClaim(claim, {result.response.status, contentTypeOf(result.response), result.response.body, true});
    case ServiceOutcome::NotSent:
        return releasedClaim(claim);
    case ServiceOutcome::Uncertain:
        return unknownClaim(claim);
    }
    return unknownClaim(claim);
}
} // namespace

ServiceHandler::ServiceHandler(Worker &worker, HttpExchange &exchange, SnapshotPointer snapshot, const ClientAccount &account, std::string requestId)
    : worker(worker)
    , exchange(exchange)
    , snapshot(std::move(snapshot))
    , account(account)
    , claims(worker)
    , requestId(std::move(requestId))
    , started(monotonicNow())
    , admitted(wallNow())
{
    const std::string rest = exchange.request().target.substr(routePrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    this->serviceName = percentDecode(rest.substr(0, end));
    this->serviceTarget = rest.substr(end);
    if (!this->serviceTarget.starts_with('/')) {
        this->serviceTarget.insert(0, 1, '/');
    }
}

bool ServiceHandler::handles(const std::string &path)
{
    return path.starts_with(routePrefix) && path.size() > routePrefix.size();
}

Asio::awaitable<std::string> ServiceHandler::run()
{
    const auto service = this->findService();
    if (!service) {
        co_return co_await this->refuse(service.error());
    }
    const auto deadline = requestDeadline(this->exchange.request(), this->started, this->worker.settings);
    if (!deadline) {
        co_return co_await this->refuse(deadline.error());
    }
    if (!this->worker.status.ledgerAccepts()) {
        ApiError error = apiError("store_unavailable", "billing records cannot be kept safely at the moment");
        co_return co_await this->refuse(std::move(error));
    }
    if (this->snapshot->endpointsOf(this->serviceName).empty()) {
        ApiError error = apiError("no_endpoint", "no endpoint serves '" + this->serviceName + "'");
        co_return co_await this->refuse(std::move(error));
    }
    if (service.value()->idempotency == Idempotency::Idempotent) {
        co_return co_await this->runIdempotent(*service.value(), deadline.value());
    }
    co_return co_await this->runClaimed(*service.value(), deadline.value());
}

Outcome<const Service *, ApiError> ServiceHandler::findService() const
{
    const auto &services = this->snapshot->site().services;
    const auto found = services.find(this->serviceName);
    const bool allowed = std::ranges::find(this->account.services, this->serviceName) != this->account.services.end();
    // A service that the account may not use is not told apart from one that does not exist.
    if (found == services.end() || !allowed) {
        return apiError("service_not_found", "there is no service '" + this->serviceName + "'");
    }
    return &found->second;
}

ServiceRequest ServiceHandler::serviceRequest(const Service &service, MonotonicTime deadline) const
{
    const HttpRequest &received = this->exchange.request();
    ServiceRequest request;
    request.message = makeRequest("POST", this->serviceTarget, received.body);
    for (const char *name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        const std::string value = headerValue(received.headers, name);
        if (!value.empty()) {
            request.message.headers.push_back({name, value});
        }
    }
    request.message.headers.push_back({"X-Request-Id", this->requestId});
    request.endpoints = this->snapshot->endpointsOf(service.name);
    request.deadline = deadline;
    request.idempotency = service.idempotency;
    return request;
}

Asio::awaitable<std::string> ServiceHandler::runIdempotent(const Service &service, MonotonicTime deadline)
{
    this->openLedgerEntry();
    ServiceRequest request = this->serviceRequest(service, deadline);
    const ServiceResult result = co_await callService(this->worker, std::move(request));
    const Microunits cost = co_await this->bill(service, result);
    if (result.outcome != ServiceOutcome::Answered) {
        co_return co_await this->refuse(result.error);
    }
    co_return co_await this->answer(result.response, cost);
}

Claim ServiceHandler::wantedClaim(const std::string &key, MonotonicTime deadline)
{
    Claim claim;
    claim.requestId = this->requestId;
    claim.bodyHash = claimBodyHash(this->serviceName, this->serviceTarget, this->exchange.request().body);
    claim.owner = this->worker.control.incarnation();
    claim.token = randomHex(this->worker.random, claimTokenBytes);
    // The claim lasts as long as the request may take, so that no retry gives it up while the service is working.
    claim.notAfter = wallNow() + (deadline - monotonicNow());
    this->claimObject = claimName(this->account.name, key);
    return claim;
}

Asio::awaitable<std::string> ServiceHandler::runClaimed(const Service &service, MonotonicTime deadline)
{
    const std::string key = headerValue(this->exchange.request().headers, "Idempotency-Key");
    if (key.empty()) {
        ApiError error = apiError("idempotency_key_required", "calls of '" + service.name + "' need an Idempotency-Key");
        co_return co_await this->refuse(std::move(error));
    }
    if (key.size() > maximumKeyBytes) {
        ApiError error = apiError("invalid_request", "Idempotency-Key must not pass " + std::to_string(maximumKeyBytes) + " bytes");
        co_return co_await this->refuse(std::move(error));
    }
    ClaimAttempt attempt(this->wantedClaim(key, deadline));
    ClaimStep step = co_await this->claims.attempt(this->claimObject, attempt);
    this->takeoverVersion = attempt.takeoverVersion();
    if (step.action == ClaimAction::Replay) {
        co_return co_await this->replay(step.claim);
    }
    if (step.action == ClaimAction::Dispatch) {
        co_return co_await this->dispatch(service, deadline, std::move(step));
    }
    step.claim = attempt.claim();
    co_return co_await this->refuseClaim(std::move(step));
}

Asio::awaitable<std::string> ServiceHandler::refuseClaim(ClaimStep step)
{
    // The caller is answered first, because the release may have to wait for the store.
    ApiError error = toApiError(step);
    const std::string code = co_await this->refuse(std::move(error));
    if (step.needsRelease) {
        ClaimClosing closing(releasedClaim(step.claim), step.version, this->takeoverVersion);
        co_await this->claims.close(this->claimObject, std::move(closing));
    }
    co_return code;
}

Asio::awaitable<std::string> ServiceHandler::dispatch(const Service &service, MonotonicTime deadline, ClaimStep granted)
{
    this->requestId = granted.claim.requestId;
    logEvent(LogLevel::Info, "claim.granted", {{"request_id", this->requestId}, {"claim", this->claimObject}, {"fencing", granted.version}});
    ServiceRequest request = this->serviceRequest(service, deadline);
    request.message.headers.push_back({"Godwitfork-Fencing", std::to_string(granted.version)});
    request.mayWrite = [this, claim = granted.claim] {
        if (!mayDispatch(claim, wallNow())) {
            return false;
        }
        // A call that is withheld or finds no connection leaves no entry, because its identity may be dispatched later.
        this->openLedgerEntry();
        return true;
    };
    const ServiceResult result = co_await callService(this->worker, std::move(request));
    Microunits cost = 0;
    if (result.outcome != ServiceOutcome::NotSent) {
        cost = co_await this->bill(service, result);
    }
    ClaimClosing closing(finalClaim(granted.claim, result), granted.version, 0);
    co_await this->claims.close(this->claimObject, std::move(closing));
    if (result.outcome != ServiceOutcome::Answered) {
        co_return co_await this->refuse(result.error);
    }
    co_return co_await this->answer(result.response, cost);
}

Asio::awaitable<std::string> ServiceHandler::replay(const Claim &claim)
{
    this->requestId = claim.requestId;
    if (!claim.answer.hasBody) {
        ApiError error = apiError("outcome_unknown", "the call ran, but its response was too large to keep", Ran::Yes);
        co_return co_await this->refuse(std::move(error));
    }
    logEvent(LogLevel::Info, "claim.replayed", {{"request_id", this->requestId}, {"claim", this->claimObject}});
    HttpResponse response;
    response.status = claim.answer.status;
    response.headers.push_back({"Content-Type", claim.answer.contentType});
    response.headers.push_back({"X-Request-Id", this->requestId});
    response.body = claim.answer.body;
    co_await this->exchange.respond(std::move(response));
    co_return "ok";
}

Asio::awaitable<std::string> ServiceHandler::refuse(ApiError error)
{
    logEvent(LogLevel::Info,
             "request.refused",
             {{"request_id", this->requestId}, {"account", this->account.name}, {"code", error.code}, {"ran", ranName(error.ran)}});
    co_await this->exchange.respond(errorResponse(error, this->requestId));
    co_return error.code;
}

Asio::awaitable<std::string> ServiceHandler::answer(HttpResponse response, Microunits cost)
{
    HttpResponse forwarded;
    forwarded.status = response.status;
    forwarded.headers.push_back({"Content-Type", contentTypeOf(response)});
    forwarded.headers.push_back({"X-Request-Id", this->requestId});
    forwarded.headers.push_back({"Godwitfork-Cost-Microunits", std::to_string(cost)});
    forwarded.body = std::move(response.body);
    co_await this->exchange.respond(std::move(forwarded));
    co_return "ok";
}

void ServiceHandler::openLedgerEntry() const
{
    OpenRequest open {this->requestId, this->account.name, this->worker.settings.site};
    Asio::post(this->worker.control.executionContext(), [&control = this->worker.control, open = std::move(open)] { control.ledger().open(open); });
}

Asio::awaitable<Microunits> ServiceHandler::bill(const Service &service, const ServiceResult &result)
{
    const bool answered = result.outcome == ServiceOutcome::Answered;
    const Microunits price = answered && result.response.status < firstErrorStatus ? service.price : 0;
    // A call that may have run costs the operator its price, since the caller got no response.
    const Microunits houseCost = result.outcome == ServiceOutcome::Uncertain ? service.price : 0;
    BillingRecordBuilder builder;
    builder.requestId(this->requestId).account(this->account.name).site(this->worker.settings.site).admitted(this->admitted);
    builder.step({service.name, "", result.endpoint, 0, 0, price + houseCost});
    builder.outcome(answered ? RequestOutcome::Completed : RequestOutcome::Failed).amount(price).houseCost(houseCost);
    auto record = builder.build();
    if (!record) {
        logEvent(LogLevel::Error, "ledger.invalid_record", {{"request_id", this->requestId}, {"reason", record.error().message}});
        co_return price;
    }
    ControlPlane &control = this->worker.control;
    if (!answered) {
        // A failed call costs the account nothing, so its error does not wait for the record.
        Asio::co_spawn(control.executionContext(), control.ledger().commit(std::move(record).value()), Asio::detached);
        co_return price;
    }
    co_await Asio::co_spawn(control.executionContext(), control.ledger().commit(std::move(record).value()), Asio::use_awaitable);
    co_return price;
}

} // namespace Godwitfork
