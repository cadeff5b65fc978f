/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Exchanges with other hosts at which software version streams began that
 * their callers may resume, and reads the platform's tables where that has to
 * be inferred. gsStreamDirectory decides what is sent; hosts of earlier
 * releases, which say nothing of it in their frames, are sent nothing.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsMetrics.h"
#include "gsStreamDirectory.h"

/** The result of looking up at which version a stream began. */
struct gsFoundVersion
{
  std::uint32_t Version = 0; ///< Zero if it is unknown.
  /** What the version is taken from, or why it is unknown; for the log. */
  std::string_view Source;
  std::size_t Unanswered = 0; ///< Hosts that were asked and did not reply.
};

/** What is known of the replicas of the platform's tables. */
struct gsStreamTables
{
  /** See gsTableSync::Age. */
  std::function<std::optional<gsTime>()> Age;
  gsTime MaxAge{}; ///< Up to it, they count as up to date.
  /** Reads what they lack; see gsTableBarrier::Request. */
  std::function<void(std::function<void(bool)>)> Confirm;
};

class gsStreamSharing
{
public:
  using OnCopied = std::function<void()>;
  using OnFound = std::function<void(gsFoundVersion const& found)>;

  /** The fleet must outlive this object. */
  gsStreamSharing(gsFleet& fleet, std::uint64_t incarnation);

  /**
   * The cluster must outlive this object.
   *
   * \param tables The replicas that versions are inferred from.
   */
  void Start(gsHallCluster& cluster, gsStreamTables tables);

  /** Age of the list of upstreams; empty if it is not known. */
  std::optional<gsTime> ListAge() const
  {
    return this->Tables.Age ? this->Tables.Age() : std::nullopt;
  }

  /**
   * Records at which version a stream is sent to an upstream. If other hosts
   * can infer it, one of them is sent a note later; at the first start of all
   * hosts, those that read the stored rows can.
   *
   * \param route From gsRouteHistoryName.
   * \param copied Called once another host has a copy of the record.
   * \return Whether a copy was sent; copied is not called otherwise.
   */
  bool Publish(gsStreamId stream, std::string const& route,
               std::uint32_t version, OnCopied copied);
  /** Drops the record of a stream that another host sends to an upstream. */
  void Withdraw(gsStreamId stream);
  /** No longer calls back when a copy has arrived. */
  void StopAwaiting(gsStreamId stream) { this->Copies.erase(stream); }

  /** Looks up at which version a stream of a route began. The callback may be
   * called before the function returns. */
  void LookUp(gsStreamId stream, std::string const& route, OnFound found);

  /** Processes the messages in a frame from another host. */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);
  /** Says in a frame that this host keeps records. */
  static void FillHeader(gradescale::Frame& frame);
  /** To be called about ten times a second. */
  void Tick(gsTime now);
  void WriteGauges(gsMetrics& metrics) const;

private:
  /** A copy of a record that another host has not acknowledged yet. */
  struct AwaitedCopy
  {
    std::uint32_t Revision = 0; ///< Of the record.
    OnCopied Copied;
  };

  /** What this host infers on a route's streams without a record. */
  struct Inference
  {
    /** Zero if there are several, and empty if this host cannot tell. */
    std::optional<std::uint32_t> Version;
    /** The only version that this host has seen; zero if there are several. */
    std::uint32_t OnlySeen = 0;
    std::string_view Cause;
  };

  /** A look-up that is under way. */
  struct PendingLookup
  {
    std::string Route;
    Inference Own;
    bool IsConfirmed = false; ///< Own follows from tables read meanwhile.
    OnFound Found;
  };

  static std::string_view SourceOf(gsStreamLookupResult const& result,
                                   PendingLookup const& lookup);
  gsStreamPeers Peers(gsTime now) const;
  bool IsListCurrent() const;
  Inference Infer(std::string_view route, gsTime now) const;
  Inference InferIfCurrent(std::string_view route, gsTime now) const;
  void ConfirmInferences(gsTime now);
  void OnConfirmed(gsStreamId stream, bool passed);
  void SendNotes(gsTime now);
  std::string_view NameOf(std::uint32_t hash) const;
  void Send(gsStreamMessages const& messages);
  void Deliver(std::vector<gsStreamLookupResult> const& results);
  void ReceiveAck(gsStreamMessage const& message);

  gsFleet& Fleet;
  gsStreamDirectory Directory;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsStreamTables Tables;            ///< Set by Start.
  gsStreamMessages Notes;           ///< To be sent.
  gsTime NotesSentAt{};
  /** Hosts of earlier releases, which keep no records. */
  std::set<std::string, std::less<>> EarlierHosts;
  std::map<gsStreamId, AwaitedCopy> Copies;
  std::multimap<gsStreamId, PendingLookup> Lookups;
};
