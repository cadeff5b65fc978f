/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRestClient.h"

#include "gsLoop.h"

namespace {

constexpr gsTime Timeout = gsSeconds(15);
constexpr unsigned FirstError = 400;

} // namespace

gsAnswer gsCallAndWait(gsCall call)
{
  gsLoop loop;
  gsAnswer answer;
  {
    gsHttpClient client(loop);
    auto onData = std::move(call.OnData);
    auto onHeaders = std::move(call.OnHeaders);
    call.OnHeaders = [&](unsigned status, gsHeaders const& headers) {
      answer.Headers = headers;
      if (onHeaders) {
        onHeaders(status, headers);
      }
    };
    call.OnData = [&](std::string_view bytes) {
      answer.Body.append(bytes);
      return !onData || onData(bytes);
    };
    call.OnEnd = [&](gsCallEnd const& end) {
      answer.End = end;
      loop.Stop();
    };
    client.Start(std::move(call));
    loop.Run();
  }
  return answer;
}

gsResult<gsJson> gsCallOperator(gsOperatorEndpoint const& endpoint,
                                std::string_view method, std::string_view path,
                                std::string body)
{
  gsCall call;
  call.Method = method;
  call.Url = "http://" + endpoint.Address + std::string(path);
  call.Headers = { { "Authorization", "Bearer " + endpoint.Token },
                   { "Content-Type", "application/json" } };
  call.Body = std::move(body);
  call.TotalTimeout = Timeout;
  gsAnswer answer = gsCallAndWait(std::move(call));
  if (!answer.End.IsWhole()) {
    return gsError{ "unreachable",
                    "No answer from the operators' interface at " +
                      endpoint.Address + ": " + answer.End.Error,
                    "connect", endpoint.Address };
  }
  gsJson json = gsJson::parse(answer.Body, nullptr, false);
  if (answer.End.Status >= FirstError) {
    gsError error{ "refused",
                   "The daemon answered with status " +
                     std::to_string(answer.End.Status) + ".",
                   "request", endpoint.Address };
    if (json.is_object() && json.contains("error")) {
      gsJson const& given = json["error"];
      error.Code = given.value("code", error.Code);
      error.Message = given.value("message", error.Message);
      error.Step = given.value("step", error.Step);
    }
    return error;
  }
  if (json.is_discarded()) {
    return gsError{ "bad_answer", "The daemon's answer is not JSON.",
                    "request", endpoint.Address };
  }
  return json;
}
