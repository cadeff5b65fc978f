/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the cluster check on incoming peer links. */
#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

#include "Generated/gsPeer.pb.h"
#include "gsPeerNet.h"

namespace {

/** An address that parallel runs of the tests do not share. */
std::string TestAddress()
{
  constexpr int firstPort = 20000;
  constexpr int ports = 10000;
  return "127.0.0.1:" + std::to_string(firstPort + getpid() % ports);
}

/** Links two hosts and runs until a frame arrives or the link is refused. */
struct PeerPair
{
  PeerPair(std::string const& clientCluster, std::string const& serverCluster)
  {
    gsPeerNetEvents events;
    events.OnFrame = [this](std::uint64_t, gradescale::Frame const& frame) {
      this->ReceivedHost = frame.host();
      this->Loop.Stop();
    };
    events.OnDown = [](std::uint64_t, std::string const&) {};
    events.OnRefused = [this](std::string const&) {
      ++this->RefusedCount;
      this->Loop.Stop();
    };
    this->Server = this->Start(TestAddress(), serverCluster, events);
    this->Client = this->Start("", clientCluster, events);
    this->Client->Outgoing(this->Client->LinkTo(TestAddress()))
      ->set_host("dialler");
    gsTimer timer(this->Loop, [this] { this->Loop.Stop(); });
    timer.Once(gsSeconds(3));
    this->Loop.Run();
  }

  std::unique_ptr<gsPeerNet> Start(std::string const& listen,
                                   std::string const& cluster,
                                   gsPeerNetEvents const& events)
  {
    return std::move(
      gsPeerNet::Start(this->Loop, { listen, "token", cluster, {} }, events)
        .value());
  }

  gsLoop Loop;
  std::unique_ptr<gsPeerNet> Server;
  std::unique_ptr<gsPeerNet> Client;
  std::string ReceivedHost; ///< Sender of the first frame; empty if none.
  int RefusedCount = 0;
};

} // namespace

// Guards against linking to a host of another cluster, whose configuration
// would replace the local one.
TEST(PeerNet, RefusesHostsThatNameAnotherCluster)
{
  PeerPair pair("one", "two");
  EXPECT_EQ(pair.RefusedCount, 1);
  EXPECT_EQ(pair.ReceivedHost, "");
}

TEST(PeerNet, AcceptsHostsOfItsClusterAndThoseThatNameNone)
{
  EXPECT_EQ(PeerPair("one", "one").ReceivedHost, "dialler");
  EXPECT_EQ(PeerPair("", "one").ReceivedHost, "dialler");
  EXPECT_EQ(PeerPair("one", "").ReceivedHost, "dialler");
}
