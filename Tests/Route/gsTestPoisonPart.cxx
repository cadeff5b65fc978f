/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A part of prompts under which upstreams end, at one host between scripted
 * upstreams: requests that share nothing but this part, between sound ones
 * that share their organisation and their other parts.
 */
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr char const* Poison = "dead";
constexpr std::size_t UpstreamCount = 30;
/** Crashes after which the rule counts arrivals, and how many more of these it
 * allows. */
constexpr std::size_t RuleCrashes = 5;
constexpr std::size_t RuleArrivals = 3;

/** When an upstream ends under the part. */
enum class End
{
  BeforeHead,
  AfterHead,
};

/** Upstreams that end when they begin to answer a request with the part. They
 * are no longer listed then. */
class MortalUpstreams : public gsRouteBench
{
public:
  explicit MortalUpstreams(End end)
    : EndAt(end)
  {
    for (std::size_t i = 0; i < UpstreamCount; ++i) {
      this->Ended.push_back(false);
      this->Add(
        "u" + std::to_string(i),
        [this, i](Connection const& to, gsScriptedRequest const& request) {
          this->Take(i, to, request);
        });
    }
  }

  /** Sends a request with the parts, followed by one of its own. */
  gsCallerViewPtr SendParts(std::string const& parts,
                            std::string const& route = "stream")
  {
    std::string const number = std::to_string(++this->Sent);
    gsCallerSends sends;
    sends.Target = "/" + route + "/x";
    sends.Id = "id-" + number;
    sends.Body = "body " + number;
    sends.More.emplace_back("Gradescale-Prompt-Prefix",
                            parts + ",a" + number + ":20");
    sends.More.emplace_back("Gradescale-Token-Usage", "500,10");
    return this->SendAndWait(sends);
  }

  /** Ends an upstream for another reason. */
  void Kill(std::size_t index)
  {
    this->Ended[index] = true;
    for (Connection const& connection : this->Scripted[index]->Connections) {
      connection->Close();
    }
    this->ListLiving();
  }

  std::size_t PoisonArrivals = 0;
  std::size_t Sent = 0;

private:
  void Take(std::size_t index, Connection const& to,
            gsScriptedRequest const& request)
  {
    std::string const parts = request.Header("gradescale-prompt-prefix");
    bool isPoisoned = parts.find(Poison) != std::string::npos;
    this->PoisonArrivals += isPoisoned ? 1 : 0;
    if (this->Ended[index]) {
      to->Close();
    } else if (!isPoisoned) {
      to->Write(gsStreamHead(request) + gsChunk(gsEvent(0, "text")) +
                gsChunk(""));
    } else {
      if (this->EndAt == End::AfterHead) {
        to->Write(gsStreamHead(request));
      }
      this->Timers.push_back(std::make_unique<gsTimer>(
        this->Loop, [this, index] { this->Kill(index); }));
      this->Timers.back()->Once(gsMilliseconds(10));
    }
  }

  void ListLiving()
  {
    std::vector<gsListedUpstream> listed;
    for (gsFleetRow const& row : this->Fleet.Rows) {
      std::size_t index = std::stoul(row.Listed.Id.substr(1));
      if (!this->Ended[index]) {
        listed.push_back(row.Listed);
      }
    }
    gsFleetReplaceListing(this->Fleet, listed);
  }

  End EndAt;
  std::vector<bool> Ended;
  std::vector<std::unique_ptr<gsTimer>> Timers;
};

/** Sends twenty requests with the part between sound ones with the others.
 * \return Sound requests served, of twenty. */
std::size_t SendBoth(MortalUpstreams& bench, std::string const& poisoned,
                     std::string const& sound, std::string const& route)
{
  std::size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    bench.SendParts(poisoned, route);
    served += bench.SendParts(sound, route)->Status == 200 ? 1 : 0;
    bench.RunFor(0.12);
  }
  return served;
}

/** Parts with the poisonous one, and those of the sound requests. */
struct PartsCase
{
  char const* Poisoned;
  char const* Sound;
};

void ExpectStopped(PartsCase const& parts, std::string const& route)
{
  for (End end : { End::BeforeHead, End::AfterHead }) {
    MortalUpstreams bench(end);
    std::size_t served = SendBoth(bench, parts.Poisoned, parts.Sound, route);
    EXPECT_LE(bench.PoisonArrivals, RuleCrashes + RuleArrivals)
      << parts.Poisoned << " " << route;
    EXPECT_EQ(served, 20U) << parts.Poisoned << " " << route;
  }
}

} // namespace

// Guards against requests that share one part crashing one upstream after the
// other, each without evidence of its own.
TEST(PoisonPart, SecondPartIsRefusedOnAllRoutes)
{
  for (char const* route : { "stream", "resume" }) {
    ExpectStopped({ "c1:200,dead:100", "c1:200,c2:100" }, route);
  }
}

// Guards against a first part that is not recognised, or refused together with
// the organisation's other requests.
TEST(PoisonPart, FirstPartIsRefused)
{
  ExpectStopped({ "dead:200,c2:100", "c1:200,c2:100" }, "stream");
}

// Guards against sound parts that are refused with the one among them.
TEST(PoisonPart, OneOfFourPartsIsRefused)
{
  ExpectStopped({ "c1:200,c2:100,dead:100,c3:50", "c1:200,c2:100,c3:50" },
                "stream");
}

// Guards against sound parts that are refused because no sound request has
// been answered before they were suspected.
TEST(PoisonPart, PartsThatAlwaysComeTogetherAreToldApart)
{
  MortalUpstreams bench(End::BeforeHead);
  for (int i = 0; i < 6; ++i) {
    bench.SendParts("c1:200,dead:100");
    bench.RunFor(0.12);
  }
  EXPECT_LE(bench.PoisonArrivals, RuleCrashes);
  EXPECT_EQ(bench.SendParts("c1:200,c2:100")->Status, 200U);
  EXPECT_EQ(bench.SendParts("c1:200,c2:100")->Status, 200U);
  EXPECT_EQ(bench.SendParts("c1:200,dead:100")->Status, 503U);
}

// Guards against parts that are held responsible for crashes of another cause.
TEST(PoisonPart, IsNoneWhereUpstreamsEndForAnotherReason)
{
  MortalUpstreams bench(End::BeforeHead);
  for (std::size_t i = 0; i < 20; ++i) {
    gsCallerViewPtr served = bench.SendParts("c1:200,c2:100");
    EXPECT_EQ(served->Status, 200U) << i;
    bench.Kill(i);
    bench.RunFor(0.12);
  }
}
