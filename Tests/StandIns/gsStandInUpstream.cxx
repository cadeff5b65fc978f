/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-in for an upstream: a model engine that batches continuously, or a
 * plain service. Each answer is made of the request's own content, so that a
 * test can tell whose answer it is. GET /account tells what was run.
 *
 * Faults on demand by POST /control with any of
 *   {"mode": "normal" | "error" | "cut" | "stall" | "twice" | "wrong_id" |
 *            "no_end" | "refuse",
 *    "after_tokens": N, "gap_ms": N, "first_ms": N, "slots": N,
 *    "leaving": bool}.
 */
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "gsSecret.h"
#include "gsStandIn.h"

namespace {

using Exchange = std::shared_ptr<gsHttpExchange>;

struct Settings
{
  std::string Listen;
  std::string Kind = "engine";
  std::string Mode = "normal";
  int AfterTokens = 3;
  double GapMs = 5;
  double FirstMs = 5;
  int Tokens = 8;
  std::size_t Slots = 16;
  bool Leaving = false;
};

struct Run
{
  Exchange Caller;
  std::string Content;
  bool Stream = false;
  int Tokens = 0;
  int Sent = 0;
  std::unique_ptr<gsTimer> Timer;
};

struct AccountRow
{
  int Started = 0;
  int Finished = 0;
};

/** Number after "tokens=" in the content, or the default. */
int TokensOf(std::string const& content, int fallback)
{
  std::size_t mark = content.find("tokens=");
  return mark == std::string::npos ? fallback
                                   : std::atoi(content.c_str() + mark + 7);
}

class Upstream
{
public:
  Upstream(gsLoop& loop, Settings settings)
    : Loop(loop)
    , Set(std::move(settings))
    , Incarnation(gsRandomId())
  {
  }

  void OnExchange(Exchange const& exchange)
  {
    if (exchange->Path == "/control") {
      this->Control(exchange);
    } else if (exchange->Path == "/account") {
      this->ShowAccount(exchange);
    } else if (exchange->Path == "/load") {
      gsAnswerJson(*exchange, { { "running", this->Running.size() },
                                { "waiting", this->Waiting.size() },
                                { "leaving", this->Set.Leaving },
                                { "incarnation", this->Incarnation } });
    } else {
      this->Take(exchange);
    }
  }

private:
  void Control(Exchange const& exchange)
  {
    gsJson body = gsJson::parse(exchange->Body, nullptr, false);
    if (!body.is_object()) {
      gsAnswerJson(*exchange, { { "error", "expected an object" } }, 400);
      return;
    }
    this->Set.Mode = body.value("mode", this->Set.Mode);
    this->Set.AfterTokens = body.value("after_tokens", this->Set.AfterTokens);
    this->Set.GapMs = body.value("gap_ms", this->Set.GapMs);
    this->Set.FirstMs = body.value("first_ms", this->Set.FirstMs);
    this->Set.Slots = body.value("slots", this->Set.Slots);
    this->Set.Leaving = body.value("leaving", this->Set.Leaving);
    gsAnswerJson(*exchange, { { "mode", this->Set.Mode } });
  }

  void ShowAccount(Exchange const& exchange)
  {
    gsJson rows = gsJson::object();
    for (auto const& [content, row] : this->Account) {
      rows[content] = { { "started", row.Started },
                        { "finished", row.Finished } };
    }
    gsAnswerJson(*exchange, { { "runs", rows },
                              { "tokens", this->TokensSent },
                              { "most_running", this->MostRunning } });
  }

  void Take(Exchange const& exchange)
  {
    auto run = std::make_shared<Run>();
    run->Caller = exchange;
    if (this->Set.Kind == "plain") {
      run->Content = exchange->Body;
      run->Tokens = 1;
    } else {
      gsJson body = gsJson::parse(exchange->Body, nullptr, false);
      if (!body.is_object() || !body.contains("messages")) {
        gsAnswerJson(*exchange, { { "error", "bad request" } }, 400);
        return;
      }
      run->Content = body["messages"].back().value("content", "");
      run->Stream = body.value("stream", false);
      run->Tokens = TokensOf(run->Content, this->Set.Tokens);
    }
    this->Waiting.push_back(run);
    this->StartWaiting();
  }

  void StartWaiting()
  {
    while (!this->Waiting.empty() && this->Running.size() < this->Set.Slots) {
      std::shared_ptr<Run> run = this->Waiting.front();
      this->Waiting.pop_front();
      if (!run->Caller->Gone()) {
        this->Start(run);
      }
    }
  }

  void Start(std::shared_ptr<Run> const& run)
  {
    ++this->Account[run->Content].Started;
    this->Running.push_back(run);
    this->MostRunning = std::max(this->MostRunning, this->Running.size());
    run->Caller->OnGone = [this, weak = std::weak_ptr<Run>(run)] {
      if (auto gone = weak.lock()) {
        this->Remove(gone);
      }
    };
    run->Timer = std::make_unique<gsTimer>(
      this->Loop, [this, weak = std::weak_ptr<Run>(run)] {
        if (auto due = weak.lock()) {
          this->Step(due);
        }
      });
    run->Timer->Once(gsFromSeconds(this->Set.FirstMs / 1e3));
  }

  void Remove(std::shared_ptr<Run> const& run)
  {
    run->Timer->Stop();
    run->Caller->OnGone = nullptr;
    this->Running.remove(run);
    this->Loop.Defer([this] { this->StartWaiting(); });
  }

  gsHeaders Headers(Run const& run, char const* type) const
  {
    std::string id(run.Caller->Header("X-Request-Id"));
    if (this->Set.Mode == "wrong_id") {
      id = "another";
    }
    return { { "Content-Type", type }, { "X-Request-Id", id } };
  }

  static std::string Token(Run const& run, int index)
  {
    return run.Content + "#" + std::to_string(index) + " ";
  }

  static std::string Event(std::string const& token)
  {
    return "data: " +
           gsJson{
             { "choices", { { { "delta", { { "content", token } } } } } }
           }.dump() +
           "\n\n";
  }

  /** Gap between tokens; it grows with the batch. */
  gsTime Gap() const
  {
    double load =
      static_cast<double>(this->Running.size()) /
      static_cast<double>(std::max<std::size_t>(1, this->Set.Slots));
    return gsFromSeconds(this->Set.GapMs / 1e3 * (0.5 + 0.5 * load));
  }

  bool Fault(std::shared_ptr<Run> const& run)
  {
    std::string const& mode = this->Set.Mode;
    if (mode == "error" && run->Sent == 0) {
      gsAnswerJson(*run->Caller, { { "error", "on demand" } }, 500);
      this->Remove(run);
      return true;
    }
    if (run->Sent < this->Set.AfterTokens) {
      return false;
    }
    if (mode == "cut") {
      if (!run->Caller->Began()) {
        run->Caller->BeginStream(200, this->Headers(*run, "text/plain"));
        run->Caller->Write("half");
      }
      run->Caller->Abort();
      this->Remove(run);
      return true;
    }
    if (mode == "no_end" && run->Stream) {
      // A proper end of the transfer in the middle of the answer.
      run->Caller->End();
      this->Remove(run);
      return true;
    }
    return mode == "stall";
  }

  void Step(std::shared_ptr<Run> const& run)
  {
    if (this->Fault(run)) {
      return;
    }
    if (run->Sent < run->Tokens) {
      if (run->Stream) {
        if (run->Sent == 0) {
          run->Caller->BeginStream(200,
                                   this->Headers(*run, "text/event-stream"));
        }
        run->Caller->Write(Event(Token(*run, run->Sent)));
      }
      ++run->Sent;
      ++this->TokensSent;
      if (run->Sent < run->Tokens) {
        run->Timer->Once(this->Gap());
        return;
      }
    }
    this->Finish(run);
  }

  void Finish(std::shared_ptr<Run> const& run)
  {
    ++this->Account[run->Content].Finished;
    if (run->Stream) {
      run->Caller->Write("data: [DONE]\n\n");
      if (this->Set.Mode == "twice") {
        run->Caller->Write(Event("another's") + "data: [DONE]\n\n");
      }
      run->Caller->End();
    } else if (this->Set.Kind == "plain") {
      run->Caller->Respond(200, this->Headers(*run, "text/plain"),
                           "served:" + run->Content);
    } else {
      std::string text;
      for (int i = 0; i < run->Tokens; ++i) {
        text += Token(*run, i);
      }
      run->Caller->Respond(
        200, this->Headers(*run, "application/json"),
        gsJson{ { "choices", { { { "message", { { "content", text } } } } } },
                { "usage", { { "completion_tokens", run->Tokens } } } }
          .dump());
    }
    this->Remove(run);
  }

  gsLoop& Loop;
  Settings Set;
  std::string Incarnation;
  std::deque<std::shared_ptr<Run>> Waiting;
  std::list<std::shared_ptr<Run>> Running;
  std::map<std::string, AccountRow> Account;
  std::uint64_t TokensSent = 0;
  std::size_t MostRunning = 0;
};

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for an upstream.");
  Settings settings;
  app.add_option("--listen", settings.Listen, "IP:port.")->required();
  app.add_option("--kind", settings.Kind, "engine or plain.");
  app.add_option("--gap-ms", settings.GapMs, "Between tokens, full batch.");
  app.add_option("--first-ms", settings.FirstMs, "Until the first token.");
  app.add_option("--tokens", settings.Tokens, "Tokens an answer.");
  app.add_option("--slots", settings.Slots, "Requests in the batch.");
  CLI11_PARSE(app, argc, argv);
  gsLoop loop;
  std::string listen = settings.Listen;
  Upstream upstream(loop, std::move(settings));
  return gsServe(loop, listen, [&upstream](Exchange const& exchange) {
    upstream.OnExchange(exchange);
  });
}
