/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsToolSend.h"

#include <iostream>
#include <utility>

int gsSendRequest(gsSendOptions const& options)
{
  gsCall call;
  call.Method = "POST";
  call.Headers = { { "Authorization", "Bearer " + options.Key },
                   { "Content-Type", "application/json" } };
  if (!options.Template.empty()) {
    call.Headers.emplace_back("Gradescale-Class", options.Template);
  }
  if (!options.Idempotency.empty()) {
    call.Headers.emplace_back("Idempotency-Key", options.Idempotency);
  }
  if (options.Service.empty()) {
    gsJson message{ { "role", "user" }, { "content", options.Text } };
    call.Url = "http://" + options.Address + "/v1/chat/completions";
    call.Body = gsJson{
      { "model", options.Template },
      { "stream", options.Stream },
      { "messages", gsJson::array({ message }) }
    }.dump();
  } else {
    call.Url =
      "http://" + options.Address + "/v1/services/" + options.Service + "/";
    call.Body = options.Text;
  }
  call.OnData = [](std::string_view bytes) {
    std::cout << bytes << std::flush;
    return true;
  };
  gsAnswer answer = gsCallAndWait(std::move(call));
  if (!answer.Body.empty() && answer.Body.back() != '\n') {
    std::cout << '\n';
  }
  if (!answer.End.IsWhole()) {
    return gsToolFail({ answer.End.Status == 0 ? "unreachable" : "cut",
                        "The answer is not whole: " + answer.End.Error,
                        "receive", options.Address });
  }
  constexpr unsigned firstError = 400;
  return answer.End.Status < firstError ? gsToolOk : gsToolFailed;
}
