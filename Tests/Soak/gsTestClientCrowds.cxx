/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Crowds of clients that send much, or nothing, and stay open, at each
 * listener of one host with the memory and the descriptors of a small machine,
 * on real processes. The host has to live, stay within its memory, give its
 * descriptors back, and answer an ordinary request.
 */
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "gsClientCrowd.h"
#include "gsRoutedSystem.h"

namespace {

constexpr std::size_t KiB = 1U << 10U;
constexpr std::uint64_t MachineMib = 120;
/** Of the users' machines. */
constexpr std::size_t MachineDescriptors = 4100;
/** Descriptors that may be open beside those before a crowd came: connections
 * to upstreams that are kept. */
constexpr std::size_t SpareDescriptors = 16;
constexpr int IdleTimeoutMs = 3000;
/** A crowd that sends no more within this time has sent what it can. */
constexpr double SettleSeconds = 1;

std::string UnfinishedBody(std::size_t bytes, std::size_t chunk)
{
  return gsUnfinishedRequest("/plain/x", { bytes, chunk, 1 });
}

class ClientCrowds : public testing::Test
{
protected:
  static gsRoutedPlan Plan(std::size_t descriptors = MachineDescriptors)
  {
    gsRoutedPlan plan;
    plan.Hosts = 1;
    plan.DirectRunners = true;
    plan.Memory = { { "mode", "on" }, { "total_mb", MachineMib } };
    plan.MaxDescriptors = descriptors;
    plan.IdleTimeoutMs = IdleTimeoutMs;
    return plan;
  }

  void Start(gsRoutedPlan const& plan = Plan())
  {
    this->System = std::make_unique<gsRoutedSystem>(plan);
    ASSERT_TRUE(this->System->SendAndWait("host0", "plain")->Good());
    this->DescriptorsBefore = this->System->OpenDescriptors("host0");
  }

  std::unique_ptr<gsClientCrowd> Come(
    std::string const& address, std::size_t clients, std::string bytes,
    gsCrowdReading reading = gsCrowdReading::All)
  {
    return std::make_unique<gsClientCrowd>(this->System->EventLoop(), address,
                                           clients, std::move(bytes), reading);
  }

  /** Runs until a crowd has sent what it can. */
  void RunUntilSent(gsClientCrowd const& crowd)
  {
    std::uint64_t before = 0;
    do {
      before = crowd.Sent();
      this->System->RunFor(SettleSeconds);
    } while (crowd.Sending() > 0 && crowd.Sent() != before);
  }

  /** An ordinary caller sends until it is answered. */
  void ExpectServed()
  {
    gsRoutedReplyPtr reply;
    std::size_t sent = 0;
    bool served = this->System->RunUntil(
      [&] {
        if (reply != nullptr && !reply->Done) {
          return false;
        }
        bool good = reply != nullptr && reply->Good();
        if (!good) {
          reply = this->System->Send("host0", "plain");
          ++sent;
        }
        return good;
      },
      30);
    std::cout << "requests_until_served: " << sent << '\n';
    EXPECT_TRUE(served) << "no ordinary request was answered";
  }

  /** Checks the host beside and after a crowd, which leaves. */
  void ExpectSound(gsClientCrowd& crowd,
                   std::size_t maxDescriptors = MachineDescriptors)
  {
    ASSERT_TRUE(this->System->Running("host0")) << "the host has ended";
    this->ExpectServed();
    std::size_t beside = this->System->OpenDescriptors("host0");
    EXPECT_LE(beside, maxDescriptors);
    std::cout << "descriptors_beside: " << beside
              << "\nopen_clients: " << crowd.Open() << '\n';
    crowd.Leave();
    std::size_t after = 0;
    bool closed = this->System->RunUntil(
      [&] {
        this->System->RunFor(0.2);
        after = this->System->OpenDescriptors("host0");
        return after <= this->DescriptorsBefore + SpareDescriptors;
      },
      30);
    EXPECT_TRUE(closed) << after << " descriptors are open, before "
                        << this->DescriptorsBefore;
    gsRoutedReplyPtr reply = this->System->SendAndWait("host0", "plain");
    EXPECT_TRUE(reply->Good()) << "status " << reply->Status;
    std::uint64_t peak = this->System->PeakMemoryKib("host0");
    std::cout << "peak_memory_kib: " << peak << '\n';
    EXPECT_LE(peak, MachineMib * KiB);
    EXPECT_TRUE(this->System->Running("host0")) << "the host has ended";
  }

  void ExpectBears(std::string const& address, std::size_t clients,
                   std::string bytes)
  {
    std::unique_ptr<gsClientCrowd> crowd =
      this->Come(address, clients, std::move(bytes));
    this->RunUntilSent(*crowd);
    this->ExpectSound(*crowd);
  }

  std::unique_ptr<gsRoutedSystem> System;
  std::size_t DescriptorsBefore = 0;
};

} // namespace

// Guards against bodies without a length that hold more than is counted.
TEST_F(ClientCrowds, LargeBodiesInLargeChunks)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 300,
                    UnfinishedBody(1000 * KiB, 64 * KiB));
}

TEST_F(ClientCrowds, LargeBodiesInOneChunk)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 300,
                    UnfinishedBody(1000 * KiB, 1000 * KiB));
}

// Guards against bodies of any size that no budget bounds.
TEST_F(ClientCrowds, SmallBodiesInChunks)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 3800,
                    UnfinishedBody(16000, 4 * KiB));
}

TEST_F(ClientCrowds, SmallBodiesWithALength)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 3800,
                    UnfinishedBody(16000, 0));
}

TEST_F(ClientCrowds, BodiesInVerySmallChunks)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 3000,
                    UnfinishedBody(16000, 1));
}

TEST_F(ClientCrowds, LargeBodiesInVerySmallChunks)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 400,
                    UnfinishedBody(200 * KiB, 1));
}

TEST_F(ClientCrowds, UnfinishedHeads)
{
  this->Start();
  this->ExpectBears(this->System->AddressOf("host0"), 3800,
                    "POST /plain/x HTTP/1.1\r\nHost: service.example\r\nX: " +
                      std::string(14 * KiB, 'x'));
}

// Guards against a crowd at the listener for requests of other hosts.
TEST_F(ClientCrowds, LargeBodiesAtTheForwardListener)
{
  this->Start();
  this->ExpectBears(this->System->ForwardAddressOf("host0"), 300,
                    UnfinishedBody(1000 * KiB, 64 * KiB));
}

TEST_F(ClientCrowds, SmallBodiesAtTheForwardListener)
{
  this->Start();
  this->ExpectBears(this->System->ForwardAddressOf("host0"), 3800,
                    UnfinishedBody(16000, 4 * KiB));
}

TEST_F(ClientCrowds, BodiesAtTheOperatorsListener)
{
  this->Start();
  this->ExpectBears(this->System->OperatorsAddressOf("host0"), 300,
                    UnfinishedBody(1000 * KiB, 64 * KiB));
}

TEST_F(ClientCrowds, SilentConnectionsAtThePeersListener)
{
  this->Start();
  this->ExpectBears(this->System->PeerAddressOf("host0"), 3800, "");
}

// Guards against a host that accepts no more once it was out of descriptors.
TEST_F(ClientCrowds, SilentConnectionsAboveTheDescriptors)
{
  constexpr std::size_t descriptors = 400;
  this->Start(Plan(descriptors));
  auto crowd = this->Come(this->System->AddressOf("host0"), 600, "");
  this->RunUntilSent(*crowd);
  this->System->RunFor(1);
  this->ExpectSound(*crowd, descriptors);
}

TEST_F(ClientCrowds, SilentConnectionsAtAllListenersAboveTheDescriptors)
{
  constexpr std::size_t descriptors = 400;
  this->Start(Plan(descriptors));
  auto callers = this->Come(this->System->AddressOf("host0"), 300, "");
  auto hosts = this->Come(this->System->ForwardAddressOf("host0"), 300, "");
  auto operators =
    this->Come(this->System->OperatorsAddressOf("host0"), 300, "");
  auto peers = this->Come(this->System->PeerAddressOf("host0"), 300, "");
  this->System->RunFor(3);
  callers->Leave();
  hosts->Leave();
  operators->Leave();
  this->ExpectSound(*peers, descriptors);
}

// Guards against a listener for other hosts that takes the descriptors of all
// others, or accepts no more once there were none.
TEST_F(ClientCrowds, SilentConnectionsAtThePeersListenerAboveTheDescriptors)
{
  constexpr std::size_t descriptors = 400;
  this->Start(Plan(descriptors));
  auto crowd = this->Come(this->System->PeerAddressOf("host0"), 600, "");
  this->System->RunFor(3);
  this->ExpectSound(*crowd, descriptors);
  auto peer = this->Come(this->System->PeerAddressOf("host0"), 1,
                         "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  EXPECT_TRUE(this->System->RunUntil([&] { return peer->Received() > 0; }))
    << "the listener for other hosts is gone";
}

// Guards against connections that are never closed since their buffer is full
// of a chunk's size.
TEST_F(ClientCrowds, ChunkSizesWithoutAnEnd)
{
  this->Start();
  std::string const head = gsUnfinishedRequest("/plain/x", { 0, 1, 1 });
  this->ExpectBears(this->System->AddressOf("host0"), 40,
                    head + std::string(100 * KiB, '0'));
}

TEST_F(ClientCrowds, ChunkExtensionsWithoutAnEnd)
{
  this->Start();
  std::string const head = gsUnfinishedRequest("/plain/x", { 0, 1, 1 });
  this->ExpectBears(this->System->AddressOf("host0"), 40,
                    head + "5;x=" + std::string(100 * KiB, 'y'));
}

// Guards against streams that nobody reads, whose fixed part no budget counts.
TEST_F(ClientCrowds, StreamsThatNobodyReads)
{
  gsRoutedPlan plan = Plan(0);
  plan.Runners = 1;
  plan.Events = 40;
  plan.GapMs = 50;
  plan.PadBytes = 4 << 10;
  plan.Slots = 4000;
  this->Start(plan);
  auto crowd = this->Come(this->System->AddressOf("host0"), 2000,
                          gsUnfinishedRequest("/stream/x", { 1, 1, 0 }),
                          gsCrowdReading::Nothing);
  this->RunUntilSent(*crowd);
  this->ExpectSound(*crowd);
}

// Guards against requests that are handled one after the other for callers
// that take none of their answers, and against what they leave behind.
TEST_F(ClientCrowds, PipelinedRequestsWhoseAnswersNobodyReads)
{
  this->Start();
  std::string bytes;
  for (int i = 0; i < 200; ++i) {
    bytes += gsUnfinishedRequest("/plain/x", { 0, 0, 0 });
  }
  auto crowd = this->Come(this->System->AddressOf("host0"), 300, bytes,
                          gsCrowdReading::Nothing);
  this->RunUntilSent(*crowd);
  this->ExpectSound(*crowd);
}

// Guards against memory and descriptors of those that have left.
TEST_F(ClientCrowds, CrowdsThatComeAndGo)
{
  this->Start();
  for (int round = 0; round < 6; ++round) {
    auto crowd = this->Come(this->System->AddressOf("host0"), 1500,
                            UnfinishedBody(16000 + 8000 * round, 1 + round));
    this->System->RunFor(0.7);
  }
  auto last = this->Come(this->System->AddressOf("host0"), 1500,
                         UnfinishedBody(16000, 4 * KiB));
  this->RunUntilSent(*last);
  this->ExpectSound(*last);
}

// Guards against a planned stop that does not come to its end beside a crowd.
TEST_F(ClientCrowds, HostEndsWhileACrowdStands)
{
  this->Start();
  auto crowd = this->Come(this->System->AddressOf("host0"), 1500,
                          UnfinishedBody(16000, 4 * KiB));
  this->RunUntilSent(*crowd);
  this->System->Signal("host0", SIGTERM);
  EXPECT_TRUE(this->System->RunUntil(
    [this] { return !this->System->Running("host0"); }, 30));
}

// Guards against limits that a request within those of the configuration
// meets while nobody presses.
TEST_F(ClientCrowds, LargestRequestIsServedInCalm)
{
  this->Start();
  for (std::size_t chunk : { std::size_t{ 64 }, 64 * KiB, 4096 * KiB }) {
    auto client =
      this->Come(this->System->AddressOf("host0"), 1,
                 gsUnfinishedRequest("/plain/x", { 4096 * KiB, chunk, 0 }));
    std::size_t runs = this->System->AllRuns().size();
    EXPECT_TRUE(this->System->RunUntil(
      [&] { return this->System->AllRuns().size() > runs; }))
      << "chunks of " << chunk;
    EXPECT_EQ(client->Sending(), 0U);
  }
}

// The same for chunks of one byte, the largest head, and a connection that
// rests for four fifths of the idle timeout before its request.
TEST_F(ClientCrowds, ChunksOfOneByteAreServedInCalm)
{
  this->Start();
  std::size_t runs = this->System->AllRuns().size();
  auto client =
    this->Come(this->System->AddressOf("host0"), 1,
               gsUnfinishedRequest("/plain/x", { 4096 * KiB, 1, 0 }));
  EXPECT_TRUE(this->System->RunUntil(
    [&] { return this->System->AllRuns().size() > runs; }));
}

TEST_F(ClientCrowds, LargestHeadIsServedInCalm)
{
  constexpr std::size_t limit = 16 * KiB;
  this->Start();
  std::string request = gsUnfinishedRequest("/plain/x", { 1, 1, 0 });
  std::size_t head = request.find("\r\n\r\n");
  std::string const name = "\r\nX: ";
  std::size_t fill = limit - head - std::string("\r\n\r\n").size();
  request.insert(head, name + std::string(fill - name.size(), 'x'));
  std::size_t runs = this->System->AllRuns().size();
  auto client = this->Come(this->System->AddressOf("host0"), 1, request);
  EXPECT_TRUE(this->System->RunUntil(
    [&] { return this->System->AllRuns().size() > runs; }));
}

TEST_F(ClientCrowds, RestingConnectionIsServedInCalm)
{
  gsRoutedPlan plan = Plan();
  plan.KeepConnections = true;
  this->Start(plan);
  auto resting = this->Come(this->System->AddressOf("host0"), 1,
                            gsUnfinishedRequest("/plain/x", { 1, 1, 0 }));
  EXPECT_TRUE(this->System->RunUntil([&] { return resting->Received() > 0; }));
  this->System->RunFor(IdleTimeoutMs * 0.8 / 1000);
  EXPECT_EQ(resting->Open(), 1U) << "closed while it rested";
  EXPECT_TRUE(this->System->SendAndWait("host0", "plain")->Good());
}
