/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Directory of the prompt prefixes that engines hold. A subject is the last
 * shared part of a prompt; a holding is an engine that has its shared parts
 * cached, or is processing them. Hosts record the holdings that their own
 * requests create and exchange the changes through the relays of their halls,
 * so that all hosts send the requests of a subject to the same engines.
 *
 * Each host also measures the engine time that each subject needs, and reports
 * its largest subjects.
 *
 * Messages may be lost: each holding is reported again when it is used. The
 * state is bounded and is one plain struct. Callers pass in the current time
 * and send the returned messages.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsLoadExchange.h"
#include "gsTypes.h"

/** A subject of a service. */
struct gsPrefixKey
{
  std::uint32_t Service = 0; ///< Hash of its name.
  std::uint64_t Subject = 0;

  friend bool operator==(gsPrefixKey const& a, gsPrefixKey const& b)
  {
    return a.Service == b.Service && a.Subject == b.Subject;
  }
  friend bool operator<(gsPrefixKey const& a, gsPrefixKey const& b)
  {
    return a.Service != b.Service ? a.Service < b.Service
                                  : a.Subject < b.Subject;
  }
};

struct gsPrefixKeyHash
{
  std::size_t operator()(gsPrefixKey const& key) const
  {
    // Subjects are hashes already.
    return static_cast<std::size_t>(key.Subject ^ key.Service);
  }
};

/** An engine that holds the shared parts of a subject or processes them. */
struct gsPrefixHolding
{
  std::uint32_t Engine = 0; ///< Hash of its incarnation.
  std::uint32_t Tokens = 0; ///< Of the shared parts.
  bool IsReading = false;   ///< It is still processing them.
  /** It gets the requests of the subject. Other holders are only used as
   * sources of transfers. */
  bool IsServing = true;
  gsTime AddedAt{}; ///< When it began to serve the subject.
  gsTime UsedAt{};  ///< Last use by any host.
  /** Last use by another host; zero if none is known. */
  gsTime OthersUsedAt{};
  gsTime ReportedAt{}; ///< Last report by this or another host.
  /** Own requests that wait there for their first event. */
  std::uint32_t OwnReaders = 0;
};

/** State of one subject. */
struct gsPrefixSubject
{
  std::vector<gsPrefixHolding> Holdings; ///< At most MaxEnginesPerSubject.
  /** When an engine was last added to others that serve the subject; zero if
   * none was. */
  gsTime GrownAt{};
  /** Since when more engines serve the subject than its demand needs; zero if
   * that is not the case. */
  gsTime ExcessSince{};
  /** When an engine that serves the subject was last predicted by any host to
   * need more than half of the target for a first event. */
  gsTime NeededAt{};
  /** Engine time of this host's requests in milliseconds, as an exponentially
   * decaying sum. */
  double OwnMillis = 0;
  gsTime DecayedAt{}; ///< When the decay was last applied.
};

/** A change of a holding, as sent between hosts. */
struct gsPrefixChange
{
  gsPrefixKey Key;
  std::uint32_t Engine = 0;
  std::uint32_t Tokens = 0;
  /** The engine begins to serve the subject and processes the parts. Of an
   * engine that is known to hold them: it is still needed. */
  bool IsReading = false;
  bool IsDropped = false; ///< The engine no longer holds the parts.
  gsTime UsedAt{};
};

/** Demand of a subject: engine time per second, in microseconds. */
using gsPrefixDemandMap = std::map<gsPrefixKey, std::uint32_t>;

/** What one host sends to another. */
struct gsPrefixUpdate
{
  gsLoadScope Scope = gsLoadScope::Host;
  std::vector<gsPrefixChange> Changes; ///< At most MaxChangesPerMessage.
  /** The largest demands; empty if the last ones remain valid. */
  gsPrefixDemandMap Demands;
};

/** An update to be sent to a host. */
struct gsPrefixMessage
{
  std::string To;
  gsPrefixUpdate Update;
};

struct gsPrefixDirectorySettings
{
  std::size_t MaxHoldings = 8192;
  std::size_t MaxEnginesPerSubject = 8;
  std::size_t MaxChangesPerMessage = 100;
  std::size_t MaxReportedDemands = 32;
  gsTime HoldingLifetime = gsSeconds(20); ///< Without use.
  /** An engine that has not produced a first event by then is not believed to
   * process the parts any more: the host that sent the request may be gone. */
  gsTime MaxReadingTime = gsSeconds(10);
  /** Minimum interval between two additions of an engine to a subject. It is
   * longer than a change takes to reach all hosts. */
  gsTime GrowInterval = gsSeconds(1);
  /** Time for which a subject has more engines than it needs before one is
   * removed. */
  gsTime ShrinkDelay = gsSeconds(5);
  /** Minimum interval between two reports of the same holding: shorter within
   * NewHoldingTime of its addition, so that a lost message is soon replaced,
   * and longer later, to save bytes. */
  gsTime RefreshInterval = gsSeconds(1);
  gsTime LateRefreshInterval = gsSeconds(5);
  gsTime NewHoldingTime = gsSeconds(5);
  gsTime DemandInterval = gsSeconds(1); ///< Between demand reports.
  /** Relays report the demand of a subject from this share of an engine on.
   * Less does not change the number of its engines. */
  double MinRelayedDemand = 0.05;
  gsTime DemandLifetime = gsMilliseconds(2500); ///< Of received demands.
  /** Long enough that one request of ten times the usual length does not let
   * a subject need another engine; a queue adds one faster. */
  gsTime DemandHalfLife = gsSeconds(5);
};

/** Changes to be forwarded, with the host that they were received from. */
struct gsPendingPrefixChange
{
  gsPrefixChange Change;
  std::string From;     ///< Empty for this host's own changes.
  bool IsOfHall = true; ///< From a host of this hall, or this host's own.
};

/** The last demands received from a host. */
struct gsReceivedPrefixDemand
{
  gsLoadScope Scope = gsLoadScope::Host;
  gsPrefixDemandMap Demands;
  gsTime ReceivedAt{};
};

/** Counts since the start of the process. */
struct gsPrefixCounts
{
  /** Tokens of shared parts that this host had processed while another engine
   * held them; an estimate. */
  std::uint64_t ReprocessedTokens = 0;
  std::uint64_t DroppedHoldings = 0; ///< Found to be no longer held.
  std::uint64_t Additions = 0; ///< Engines added to a subject by this host.
};

struct gsPrefixDirectory
{
  gsPrefixDirectorySettings Settings;
  std::string Self; ///< Name of this host.
  std::unordered_map<gsPrefixKey, gsPrefixSubject, gsPrefixKeyHash> Subjects;
  std::size_t HoldingCount = 0; ///< Over all subjects.
  std::vector<gsPendingPrefixChange> Pending;
  /** Last received demands by sender. */
  std::map<std::string, gsReceivedPrefixDemand> ReceivedDemands;
  /** Sum of the demands of all other hosts, from ReceivedDemands as of the
   * last report of demands. */
  gsPrefixDemandMap OthersDemand;
  gsTime DemandSentAt{};
  gsTime ExpiredAt{}; ///< When expired state was last removed.
  gsPrefixCounts Counts;
};

/** The state of a subject; null if nothing is known of it. */
gsPrefixSubject const* gsFindPrefixSubject(gsPrefixDirectory const& directory,
                                           gsPrefixKey const& key);

/** The holding of a subject at an engine if it has not expired, else null. */
gsPrefixHolding const* gsFindPrefixHolding(gsPrefixDirectory const& directory,
                                           gsPrefixKey const& key,
                                           std::uint32_t engine, gsTime now);

/** Whether a holding may still be relied on. */
bool gsIsValidHolding(gsPrefixDirectory const& directory,
                      gsPrefixHolding const& holding, gsTime now);

/** Whether an engine may be added to those that serve a subject: the last
 * addition by any host is long enough ago. */
bool gsMayAddPrefixEngine(gsPrefixDirectory const& directory,
                          gsPrefixKey const& key, gsTime now);

/**
 * Records that the first byte of a request was sent to an engine. It then
 * serves the subject. \return Whether it did not serve the subject before.
 */
bool gsRecordPrefixSent(gsPrefixDirectory& directory, gsPrefixKey const& key,
                        std::uint32_t engine, std::uint32_t tokens,
                        gsTime now);

/** Records the first event of a request: the engine holds the parts. */
void gsRecordPrefixHeld(gsPrefixDirectory& directory, gsPrefixKey const& key,
                        std::uint32_t engine, std::uint32_t tokens,
                        gsTime now);

/** Records that a request ended without a first event. The holding is removed
 * if no other request is known to have used it. */
void gsRecordPrefixFailed(gsPrefixDirectory& directory, gsPrefixKey const& key,
                          std::uint32_t engine, gsTime now);

/**
 * Records that an engine has processed parts again that it was believed to
 * hold. Its holding is dropped if another engine that serves the subject holds
 * them; otherwise it is kept, since the engine has just processed them.
 */
void gsRecordPrefixDropped(gsPrefixDirectory& directory,
                           gsPrefixKey const& key, std::uint32_t engine,
                           gsTime now);

/** Removes a holding on this host only. */
void gsRemovePrefixHolding(gsPrefixDirectory& directory,
                           gsPrefixKey const& key, std::uint32_t engine);

/** Lets an engine no longer serve a subject; it remains a source of
 * transfers. */
void gsStopPrefixServing(gsPrefixDirectory& directory, gsPrefixKey const& key,
                         std::uint32_t engine);

/** Adds engine time of a request of this host to its subject's demand. */
void gsRecordPrefixDemand(gsPrefixDirectory& directory, gsPrefixKey const& key,
                          double engineMillis, gsTime now);

/** Demand of a subject over all hosts: the share of an engine of speed 1 that
 * its requests need. */
double gsPrefixDemand(gsPrefixDirectory const& directory,
                      gsPrefixKey const& key, gsTime now);

/**
 * Applies an update from another host. A relay also forwards its changes:
 * those of its hall to the hall and to the other relays, those of another
 * hall's relay to its hall.
 */
void gsApplyPrefixUpdate(gsPrefixDirectory& directory, std::string const& from,
                         gsPrefixUpdate const& update, bool isRelay,
                         gsTime now);

/** Removes expired state. \return The updates to send; to be called about ten
 * times per second. */
std::vector<gsPrefixMessage> gsPrefixTick(gsPrefixDirectory& directory,
                                          gsLoadPeers const& peers,
                                          gsTime now);
