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
constexpr std::size_t maxKeyBytes = 255;
constexpr int firstErrorStatus = 400;

RanStatus toRan(ClaimRan ran)
{
    switch (ran) {
    case ClaimRan::No:
        return RanStatus::No;
    case ClaimRan::Yes:
        return RanStatus::Yes;
    case ClaimRan::Unknown:
        return RanStatus::Unknown;
    }
    return RanStatus::Unknown;
}

ApiError toApiError(const ClaimStep &step)
{
    const RanStatus ran = toRan(step.ran);
    switch (step.refusal) {
    case ClaimRefusal::KeyReused:
        return apiError("idempotency_key_reused", "the idempotency key was already used for a different request", ran);
    case ClaimRefusal::InProgress:
        return apiError("request_in_progress", "a request with this idempotency key is in progress", ran);
    case ClaimRefusal::OutcomeUnknown:
        return apiError("outcome_unknown", "a request with this idempotency key may have been executed; it is not repeated", ran);
    case ClaimRefusal::DeadlineExceeded:
        return apiError("deadline_exceeded", "the deadline passed before the call was sent", ran);
    case ClaimRefusal::StoreUnavailable:
    case ClaimRefusal::None:
        break;
    }
    return apiError("store_unavailable", "the object store did not confirm the claim for this idempotency key", ran);
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
    , startedAt(monotonicNow())
    , admittedAt(wallNow())
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
    const auto deadline = requestDeadline(this->exchange.request(), this->startedAt, this->worker.settings);
    if (!deadline) {
        co_return co_await this->refuse(deadline.error());
    }
    if (!this->worker.status.isLedgerAccepting()) {
        ApiError error =
            apiError("store_unavailable",
                     "the billing ledger accepts no new records: its memory limit is reached, or neither a peer nor the store is reachable; retry later");
        co_return co_await this->refuse(std::move(error));
    }
    if (this->snapshot->endpointsServing(this->serviceName).empty()) {
        ApiError error = apiError("no_endpoint", "no active endpoint serves '" + this->serviceName + "'");
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
    // The response does not reveal whether a service that the account may not use exists.
    if (found == services.end() || !allowed) {
        return apiError("service_not_found", "there is no service '" + this->serviceName + "'");
    }
    return &found->second;
}

ServiceRequest ServiceHandler::makeServiceRequest(const Service &service, MonotonicTime deadline) const
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
    request.endpoints = this->snapshot->endpointsServing(service.name);
    request.deadline = deadline;
    request.idempotency = service.idempotency;
    return request;
}

Asio::awaitable<std::string> ServiceHandler::runIdempotent(const Service &service, MonotonicTime deadline)
{
    this->openLedgerEntry();
    ServiceRequest request = this->makeServiceRequest(service, deadline);
    const ServiceResult result = co_await callService(this->worker, std::move(request));
    const Microunits cost = co_await this->commitBillingRecord(service, result);
    if (result.outcome != ServiceOutcome::Answered) {
        co_return co_await this->refuse(result.error);
    }
    co_return co_await this->forwardResponse(result.response, cost);
}

Claim ServiceHandler::makeClaim(const std::string &key, MonotonicTime deadline)
{
    Claim claim;
    claim.requestId = this->requestId;
    claim.bodyHash = claimBodyHash(this->serviceName, this->serviceTarget, this->exchange.request().body);
    claim.owner = this->worker.control.incarnation();
    claim.token = randomHex(this->worker.random, claimTokenBytes);
    // The claim is valid until the deadline of the request, so that no retry treats it as abandoned while the service is
    // still executing the call.
    claim.notAfter = wallNow() + (deadline - monotonicNow());
    this->claimObject = claimName(this->account.name, key);
    return claim;
}

Asio::awaitable<std::string> ServiceHandler::runClaimed(const Service &service, MonotonicTime deadline)
{
    const std::string key = headerValue(this->exchange.request().headers, "Idempotency-Key");
    if (key.empty()) {
        ApiError error = apiError("idempotency_key_required", "calls to '" + service.name + "' require an Idempotency-Key header");
        co_return co_await this->refuse(std::move(error));
    }
    if (key.size() > maxKeyBytes) {
        ApiError error = apiError("invalid_request", "Idempotency-Key must not exceed " + std::to_string(maxKeyBytes) + " bytes");
        co_return co_await this->refuse(std::move(error));
    }
    ClaimAttempt attempt(this->makeClaim(key, deadline));
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
    // Responds to the caller first, because releasing the claim may have to wait for the store.
    ApiError error = toApiError(step);
    const std::string code = co_await this->refuse(std::move(error));
    if (step.needsRelease) {
        ClaimClosing closing(releasedClaim(step.claim), step.version, this->takeoverVersion);
        co_await this->claims.close(this->claimObject, std::move(closing));
    }
    co_return code;
}

Asio::awaitable<std::string> ServiceHandler::dispatch(const Service &service, MonotonicTime deadline, ClaimStep grantedStep)
{
    this->requestId = grantedStep.claim.requestId;
    logEvent(LogLevel::Info, "claim.granted", {{"request_id", this->requestId}, {"claim", this->claimObject}, {"fencing", grantedStep.version}});
    ServiceRequest request = this->makeServiceRequest(service, deadline);
    request.message.headers.push_back({"Godwitfork-Fencing", std::to_string(grantedStep.version)});
    request.mayWrite = [this, claim = grantedStep.claim] {
        if (!mayDispatch(claim, wallNow())) {
            return false;
        }
        // Opened only when the call is about to be sent: a call that is cancelled or cannot connect must leave no entry, because
        // a later attempt may dispatch the same request id.
        this->openLedgerEntry();
        return true;
    };
    const ServiceResult result = co_await callService(this->worker, std::move(request));
    Microunits cost = 0;
    if (result.outcome != ServiceOutcome::NotSent) {
        cost = co_await this->commitBillingRecord(service, result);
    }
    ClaimClosing closing(finalClaim(grantedStep.claim, result), grantedStep.version, 0);
    co_await this->claims.close(this->claimObject, std::move(closing));
    if (result.outcome != ServiceOutcome::Answered) {
        co_return co_await this->refuse(result.error);
    }
    co_return co_await this->forwardResponse(result.response, cost);
}

Asio::awaitable<std::string> ServiceHandler::replay(const Claim &claim)
{
    this->requestId = claim.requestId;
    if (!claim.answer.hasBody) {
        ApiError error =
            apiError("outcome_unknown", "the call was executed, but its response was too large or not valid UTF-8 and was not stored", RanStatus::Yes);
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
             {{"request_id", this->requestId}, {"account", this->account.name}, {"code", error.code}, {"ran", ranStatusName(error.ran)}});
    co_await this->exchange.respond(errorResponse(error, this->requestId));
    co_return error.code;
}

Asio::awaitable<std::string> ServiceHandler::forwardResponse(HttpResponse response, Microunits cost)
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

Asio::awaitable<Microunits> ServiceHandler::commitBillingRecord(const Service &service, const ServiceResult &result)
{
    const bool answered = result.outcome == ServiceOutcome::Answered;
    const Microunits price = answered && result.response.status < firstErrorStatus ? service.price : 0;
    // The operator bears the price of a call that may have been executed, because the caller received no response.
    const Microunits operatorCost = result.outcome == ServiceOutcome::Uncertain ? service.price : 0;
    BillingRecordBuilder builder;
    builder.requestId(this->requestId).account(this->account.name).site(this->worker.settings.site).admitted(this->admittedAt);
    builder.step({service.name, "", result.endpoint, 0, 0, price + operatorCost});
    builder.outcome(answered ? RequestOutcome::Completed : RequestOutcome::Failed).amount(price).houseCost(operatorCost);
    auto record = builder.build();
    if (!record) {
        logEvent(LogLevel::Error, "ledger.invalid_record", {{"request_id", this->requestId}, {"reason", record.error().message}});
        co_return price;
    }
    ControlPlane &control = this->worker.control;
    if (!answered) {
        // A failed call is not charged, so the error response does not wait until the record is durable.
        Asio::co_spawn(control.executionContext(), control.ledger().commit(std::move(record).value()), Asio::detached);
        co_return price;
    }
    co_await Asio::co_spawn(control.executionContext(), control.ledger().commit(std::move(record).value()), Asio::use_awaitable);
    co_return price;
}

} // namespace Godwitfork
