/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRequestParser.h"

#include <nlohmann/json.hpp>

#include "gsLoop.h"
#include "gsRendezvous.h"
#include "gsSecret.h"

namespace {

using Json = nlohmann::json;

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t AffinityPrefixBytes = 256;
constexpr std::size_t BytesPerToken = 4;
constexpr char const* FieldSeparator = "|";

gsError MakeError(std::string code, std::string message, std::string step)
{
  return gsError{ std::move(code), std::move(message), std::move(step), {} };
}

/** Hash that is equal for requests with a shared context: of the
 * Gradescale-Context header if present, otherwise of the start of the prompt
 * or of the first message. 0 if there is no JSON body. */
std::uint64_t AffinityHash(gsHttpExchange const& exchange,
                           std::string const& organisation, Json const* body)
{
  std::string_view context = exchange.Header("Gradescale-Context");
  if (!context.empty()) {
    return gsHashText(organisation + FieldSeparator + std::string(context));
  }
  if (body == nullptr) {
    return 0;
  }
  std::string firstInput;
  if (body->contains("prompt")) {
    firstInput = (*body)["prompt"].dump();
  } else if (body->contains("messages") && (*body)["messages"].is_array() &&
             !(*body)["messages"].empty()) {
    firstInput = (*body)["messages"][0].dump();
  }
  return gsHashText(organisation + FieldSeparator +
                    firstInput.substr(0, AffinityPrefixBytes));
}

} // namespace

gsRequestParser::gsRequestParser(std::uint64_t hostNumber,
                                 std::uint64_t maxBodyKib)
  : HostNumber(hostNumber)
  , MaxBodyKib(maxBodyKib)
{
}

void gsRequestParser::ApplyDocument(gsDocument const& document)
{
  this->Document = &document;
  this->Keys.clear();
  for (gsOrganisation const& row : document.Organisations) {
    for (std::string const& hash : row.KeyHashes) {
      this->Keys[hash] = { hash, row.Name };
    }
  }
}

gsResult<gsOrganisation const*> gsRequestParser::Authenticate(
  gsHttpExchange const& exchange) const
{
  constexpr std::string_view scheme = "Bearer ";
  std::string_view header = exchange.Header("Authorization");
  if (header.substr(0, scheme.size()) != scheme) {
    return gsError{ "missing_key",
                    "The request has no 'Authorization: Bearer KEY' header.",
                    "authenticate", exchange.Peer };
  }
  std::string hash = gsSha256(header.substr(scheme.size()));
  auto entry = this->Keys.find(hash);
  gsOrganisation const* organisation = nullptr;
  if (entry != this->Keys.end() && gsSameSecret(entry->second.Hash, hash)) {
    organisation =
      gsFindByName(this->Document->Organisations, entry->second.Organisation);
  }
  if (organisation == nullptr) {
    return gsError{ "unknown_key", "The key is not known here.",
                    "authenticate", exchange.Peer };
  }
  return organisation;
}

gsResult<std::string> gsRequestParser::ResolveTemplateName(
  gsHttpExchange const& exchange, std::string const& service) const
{
  std::string_view className = exchange.Header("Gradescale-Class");
  if (!className.empty()) {
    return std::string(className);
  }
  gsDocument const& document = *this->Document;
  if (gsFindByName(document.Templates, service) != nullptr) {
    return service;
  }
  for (gsTemplate const& row : document.Templates) {
    if (row.Service == service) {
      return row.Name;
    }
  }
  return gsError{ "unknown_template",
                  "No template serves '" + service +
                    "'; name one in the header Gradescale-Class.",
                  "resolve",
                  {} };
}

gsResult<bool> gsRequestParser::ParseModelRequest(
  gsOpenRequest& request, gsOrganisation const& organisation)
{
  gsHttpExchange& exchange = *request.Exchange;
  if (exchange.Method != "POST") {
    return MakeError("wrong_method", exchange.Path + " takes POST only.",
                     "parse");
  }
  Json body = Json::parse(exchange.Body, nullptr, false);
  if (!body.is_object()) {
    return MakeError("bad_json", "The body is not a JSON object.", "parse");
  }
  auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return MakeError("bad_request",
                     "The field 'model' is missing or not a text.", "parse");
  }
  auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return MakeError("bad_request", "The field 'stream' is not true or false.",
                     "parse");
  }
  request.Stream = stream != body.end() && stream->get<bool>();
  gsResult<std::string> name =
    this->ResolveTemplateName(exchange, model->get<std::string>());
  if (!name) {
    return name.error();
  }
  gsResult<gsRequestClass> resolved =
    gsResolveClass(*this->Document, organisation, name.value());
  if (!resolved) {
    return resolved.error();
  }
  request.Class = resolved.value();
  body["model"] = request.Class.Service;
  // Engines serve lower numbers first. The priority that a caller sets is
  // overwritten.
  body["priority"] = request.Class.TierRank;
  auto limit = body.find("max_tokens");
  if (limit == body.end() || !limit->is_number_unsigned() ||
      limit->get<std::uint64_t>() > request.Class.MaxTokens) {
    body["max_tokens"] = request.Class.MaxTokens;
  }
  request.GrantRequest.AffinityHash =
    AffinityHash(exchange, organisation.Name, &body);
  request.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  exchange.Body.clear();
  request.Path = exchange.Path;
  request.ContentType = "application/json";
  return true;
}

gsResult<bool> gsRequestParser::ParseServiceRequest(
  gsOpenRequest& request, gsOrganisation const& organisation)
{
  gsHttpExchange& exchange = *request.Exchange;
  std::string servicePath = exchange.Path.substr(ServicePrefix.size());
  std::size_t slash = servicePath.find('/');
  std::string service = servicePath.substr(0, slash);
  gsResult<std::string> name = this->ResolveTemplateName(exchange, service);
  if (!name) {
    return name.error();
  }
  gsResult<gsRequestClass> resolved =
    gsResolveClass(*this->Document, organisation, name.value());
  if (!resolved) {
    return resolved.error();
  }
  request.Class = resolved.value();
  if (request.Class.Service != service) {
    return MakeError("unknown_service",
                     "Template '" + name.value() + "' does not serve '" +
                       service + "'.",
                     "resolve");
  }
  request.Path = slash == std::string::npos ? "/" : servicePath.substr(slash);
  request.GrantRequest.AffinityHash =
    AffinityHash(exchange, organisation.Name, nullptr);
  request.ContentType = std::string(exchange.Header("Content-Type"));
  request.Body = std::move(exchange.Body);
  return true;
}

gsResult<gsOpenRequestPtr> gsRequestParser::Parse(
  std::shared_ptr<gsHttpExchange> const& exchange,
  gsOrganisation const& organisation)
{
  if (exchange->TooLarge) {
    return MakeError("body_too_large",
                     "The body is over the limit of " +
                       std::to_string(this->MaxBodyKib) + " KiB.",
                     "receive");
  }
  auto request = std::make_shared<gsOpenRequest>();
  request->Exchange = exchange;
  request->Method = exchange->Method;
  request->ArrivedAt = gsLoop::Now();
  std::string const& path = exchange->Path;
  gsResult<bool> prepared =
    MakeError("unknown_path", "There is nothing at " + path + ".", "route");
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    prepared = this->ParseModelRequest(*request, organisation);
  } else if (path.compare(0, ServicePrefix.size(), ServicePrefix) == 0) {
    prepared = this->ParseServiceRequest(*request, organisation);
  }
  if (!prepared) {
    return prepared.error();
  }
  gsGrantRequest& ask = request->GrantRequest;
  ask.Id = { this->HostNumber, this->NextSequence++, 0 };
  ask.Organisation = organisation.Name;
  ask.Template = request->Class.Template;
  ask.Tier = request->Class.TierRank;
  ask.Weight = organisation.Share;
  ask.PromptTokens =
    static_cast<std::uint32_t>(request->Body.size() / BytesPerToken);
  ask.MaxWait = request->Class.MaxWait;
  ask.FirstTokenTarget = request->Class.FirstTokenTarget;
  ask.TokenIntervalTarget = request->Class.TokenIntervalTarget;
  return request;
}
