/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The upstreams as one host sees them. A row holds what the platform lists of
 * an upstream and what this host has learned of it: its own open attempts
 * exactly, the other hosts' by their last word, failures, and which prompt
 * parts it has read lately. gsPlacement chooses one for a request,
 * gsArrangement divides them between kinds of requests. Nothing here reads a
 * clock or does I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsEngineOrder.h"
#include "gsHallReach.h"
#include "gsInterference.h"
#include "gsLoadExchange.h"
#include "gsRateLimit.h"
#include "gsTypes.h"
#include "gsUpstreamWord.h"

/** A part of a prompt; parts with the same name are the same text. */
struct gsPromptPart
{
  std::uint64_t Name = 0;
  std::uint32_t Tokens = 0;
};

/** One start of an upstream: it may start again under its id, and then knows
 * nothing of before. */
struct gsIncarnation
{
  std::string Id;
  std::uint64_t Born = 0; ///< Unix milliseconds; 0 where none is told.

  friend bool operator==(gsIncarnation const& a, gsIncarnation const& b)
  {
    return a.Born == b.Born && a.Id == b.Id;
  }
};

/** An upstream as the platform lists it. */
struct gsListedUpstream
{
  std::string Id; ///< The same after it has started again.
  /** When this incarnation of it started, Unix milliseconds; 0 where the
   * platform tells none: the id names one incarnation then. */
  std::uint64_t Born = 0;
  std::string Service;
  std::string Address; ///< IP:port; another upstream may have it later.
  std::string Hall;
  std::uint32_t Slots = 1;
  bool Leaving = false;
  /** The platform may take it away at short notice, with all such upstreams of
   * its hall. */
  bool Withdrawable = false;
  gsTime ColdLeft{}; ///< For how long it was slow yet, when its row was read.
};

/** Open work at an upstream. */
struct gsOpenWork
{
  std::uint32_t Running = 0;
  std::uint64_t ReadTokens = 0;   ///< Of prompts without a first token yet.
  std::uint64_t MemoryTokens = 0; ///< Of prompts and answers together.
};

/** Work that a service was lately asked for; sums that decay with time. */
struct gsDemand
{
  double Long = 0;  ///< Of requests that interfere with others; tokens.
  double Tight = 0; ///< Of all others; tokens.
  gsTime At{};
  /** The same of all other hosts, by their last word. */
  double OthersLong = 0;
  double OthersTight = 0;
  /**
   * How long an attempt holds a slot of an engine for long prompts, and of any
   * other; smoothed, milliseconds, zero until one has ended.
   */
  double HoldLong = 0;
  double HoldTight = 0;
  gsTime Since{};     ///< Of the first request of any host; zero before.
  gsTime DecidedAt{}; ///< When this host last decided how to divide engines,
  gsTime SlowAt{};    ///< and which of them are slow.
};

/** An upstream's row. */
struct gsFleetRow
{
  gsListedUpstream Listed;
  std::uint32_t Hash = 0; ///< Of the incarnation; names it between hosts.
  /** When this host learned that it had started again under its id; zero if it
   * has not. */
  gsTime RestartedAt{};
  /** It is one of the slow engines of its service, as was decided for all. */
  bool Slow = false;
  /** It is cold until then, and collapses above a few requests a second. */
  gsTime ColdUntil{};
  gsTime ColdSentAt{}; ///< When this host last sent it one while cold.
  /**
   * Group that the engine was in before the last change of the division;
   * absent for one that was not listed then.
   */
  std::optional<gsFleetGroup> GroupBefore;
  gsOpenWork Own;    ///< Attempts of this host; exact.
  gsOpenWork Others; ///< Of all other hosts, by their last word.
  gsTime OthersAt{}; ///< When the oldest part of that word was said.
  /** Gets nothing until then, after it was not reachable. */
  gsTime AvoidUntil{};
  std::uint32_t Unreachable = 0; ///< Times in a row.
  /** It has turned work away lately, and counts as full until then: a price,
   * where Heard excludes it for the rest that it asked for. */
  gsTime FullUntil{};
  /** What it has said of itself in answers. Of this incarnation; kept when the
   * row is written anew, goes or comes back. */
  gsHeardWord Heard;
  /** Share of failed attempts, smoothed; decays with time. */
  double FailShare = 0;
  gsTime FailAt{};
  gsTime LastHeard{};             ///< Last byte of any answer.
  gsTime KeepIdle = gsSeconds(4); ///< Longest rest of a kept connection.
  /**
   * Least pause between an engine's events of late, milliseconds: how fast it
   * is when nothing holds it up. Zero until it has sent some.
   */
  double Pace = 0;
  gsTime PaceSince{};       ///< Begin of the time over which it is the least.
  double LeastPause = 0;    ///< Of the events since; milliseconds,
  std::uint32_t Pauses = 0; ///< and how many they are.
  double OthersPace = 0;    ///< Least that another host has measured.
  /** Parts read there by this host's requests, newest last. */
  std::unordered_map<std::uint64_t, gsTime> Parts;
  /** It stands in gsFleet::Working. */
  bool Working = false;
};

/** Words of an upstream whose row is away for now. */
struct gsKeptWord
{
  std::uint64_t Born = 0;
  gsHeardWord Heard;
  gsTime At{}; ///< When it was put aside.
};

/** What the choice depends on, beside the rows. */
struct gsFleetSettings
{
  std::string Host; ///< This host's name,
  std::string Hall; ///< and its hall.
  /** The region of each hall; empty where there is but one. */
  std::map<std::string, std::string, std::less<>> Regions;
  double RunningTokens = 40;   ///< Cost of one running request.
  double OtherHallTokens = 60; ///< Cost of an upstream of another hall.
  double FailTokens = 20000;   ///< Cost of an upstream that always fails.
  double QueuedTokens = 1500;  ///< Cost of each request above the slots.
  /** Cost of reading a shared token that another engine holds, above 1. */
  double AgainWeight = 100;
  /** The same where that engine can hand it over. */
  double MovedWeight = 10;
  /** Fewer shared tokens than this are not worth the handing over. */
  std::uint32_t MinMovedTokens = 64;
  /** Cost of an engine that is for the other kind, */
  double OtherGroupTokens = 30000;
  /** and, for a long prompt, of holding up the tight streams there. */
  double HoldUpTokens = 600000;
  /** Cost of a token that waits, while the request can be in target. */
  double EarlyWeight = 0.2;
  /** Cost of a token that waits beyond TargetShare of the target. */
  double LateWeight = 1;
  double TargetShare = 0.5;
  /**
   * A step of an engine makes one token of each request that it runs, and
   * takes as long as reading so many prompt tokens.
   */
  double StepTokens = 240;
  bool Groups = true;
  /** Cost of an engine whose memory the request would fill. */
  double FullTokens = 5000;
  /** Cost of an answer that would surely begin beyond its target. */
  double MissTokens = 450000;
  /**
   * Engines that hold nothing of a subject cost up to so much, in an order of
   * the subject's own. Without it all hosts send what leaves its engine to the
   * one that their view, some tenths of a second old, shows as the emptiest.
   */
  double SpreadTokens = 100000;
  /** Share of an engine's memory that requests may take together. */
  double MemoryShare = 0.95;
  /** Demand is known well enough to divide engines by it after so long. */
  gsTime DemandPatience = gsMilliseconds(300);
  /** Long enough for a steady border, short enough to follow a burst. */
  gsTime DemandHalfLife = gsSeconds(2);
  /**
   * Each change of the division moves subjects; the more engines there are,
   * the more of them cross the border each time. So it is decided no more
   * often than after the first time and the second for each engine, and which
   * engines are slow no more often than after the third for each.
   */
  gsTime DecisionGap = gsMilliseconds(250);
  gsTime DecisionGapOfEach = gsMilliseconds(7);
  gsTime SlowGapOfEach = gsMilliseconds(30);
  gsTime PartMemory = gsSeconds(20);
  /** Older words are not believed; see gsLoadSettings::MostAge. */
  gsTime OthersMemory = gsMilliseconds(7500);
  std::size_t PartsMost = 2000; ///< Remembered for each upstream.
  /** Words of upstreams without a row are kept for so long: a platform that is
   * away for minutes loses rows and brings them back. */
  gsTime KeptWordMemory = std::chrono::minutes(10);
  std::size_t KeptWordsMost = 1024; ///< Of a fleet's releases: some 100 KB.
  gsHallReachSettings HallReach;
};

/**
 * All upstreams. Rows come, change and go one by one; what that takes does not
 * grow with their number, but for moving a few bytes of each in the orders.
 */
struct gsFleet
{
  gsFleetSettings Settings;
  std::vector<gsFleetRow> Rows; ///< In no order; the last fills a gap.
  std::unordered_map<std::string, std::size_t> ById;
  /** By gsFleetRow::Hash; of two with the same one of them. */
  std::unordered_map<std::uint32_t, std::size_t> ByHash;
  /** Rows by service: slow engines first, then by hash. */
  std::unordered_map<std::string, std::vector<std::size_t>> ByService;
  /** Rows by service, on the ring from which subjects' homes are taken. */
  std::unordered_map<std::string, gsEngineRing> Rings;
  std::map<std::string, std::size_t> HallRows; ///< How many each hall has.
  std::size_t LeavingRows = 0;                 ///< Of upstreams that leave.
  /** Hashes of the rows that this host may have something to tell of. */
  std::vector<std::uint32_t> Working;
  std::unordered_map<std::string, gsDemand> Demand; ///< By service.
  /** How each service's engines are divided, as last decided by any host. */
  std::unordered_map<std::string, gsEngineArrangement> Arrangements;
  gsHallReaches Halls; ///< Which other halls can be reached.
  /** When any upstream of a hall was last heard from; by hall. */
  std::map<std::string, gsTime, std::less<>> HallHeard;
  /** Halls whose upstreams get nothing new, by the operator's word, and since
   * when. */
  std::map<std::string, gsTime, std::less<>> Evacuated;
  std::unordered_map<std::string, gsEnginePace> Paces; ///< By service.
  /** By id; none of an upstream that has a row. */
  std::unordered_map<std::string, gsKeptWord> KeptWords;
  gsRateLimits RateLimits; ///< By gsFleetRow::Hash.
};

/**
 * Takes an upstream in as it is listed now. A row that stays keeps what was
 * learned; one that has started again keeps nothing.
 */
void gsFleetPut(gsFleet& fleet, gsListedUpstream const& listed, gsTime now);

/** Forgets an upstream that is gone, but for its words: its row may be away
 * only for now. */
void gsFleetDrop(gsFleet& fleet, std::string_view id, gsTime now = gsTime{});

/** Takes a whole list: puts all of it, and drops what is not in it. */
void gsFleetTake(gsFleet& fleet, std::vector<gsListedUpstream> const& listed,
                 gsTime now = gsTime{});

/** Notes which halls are evacuated; the others are not any more. */
void gsNoteEvacuated(gsFleet& fleet, std::set<std::string> const& halls,
                     gsTime now);

/** Whether it leaves, by its row or by its own word. */
bool gsIsLeaving(gsFleetRow const& row);

/** Whether an upstream may get anything new: it does not leave nor rest, and
 * its hall is not evacuated. The one gate of all choices, and of the last look
 * before a request is sent. */
bool gsTakesWork(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

/**
 * Takes in what an upstream has said of itself in an answer, also while it has
 * no row. \return Whether it changes what holds of it.
 */
bool gsNoteWord(gsFleet& fleet, gsIncarnation const& upstream,
                gsUpstreamWord const& word, gsTime now);

/** The row of an upstream; null when it is gone. */
gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id);

/** The same of one incarnation; null also when it has started again. */
gsFleetRow* gsFleetFind(gsFleet& fleet, gsIncarnation const& incarnation);

gsIncarnation gsIncarnationOf(gsListedUpstream const& listed);

/** Names an incarnation between hosts; a row has it as gsFleetRow::Hash. */
std::uint32_t gsIncarnationHash(gsIncarnation const& incarnation);

/** The pace that any host has measured; zero when none has. */
double gsPaceOf(gsFleetRow const& row);

/** Notes a pause between two events of an engine's stream. */
void gsNotePause(gsFleet& fleet, gsFleetRow& row, gsTime pause, gsTime now);

/** Forgets paces that this host has not measured again for long. */
void gsForgetPaces(gsFleet& fleet, gsTime now);

/** Notes that there may be something to tell other hosts of a row. */
void gsNoteWorking(gsFleet& fleet, gsFleetRow& row);

/**
 * Calls back with each row of which this host has something to tell, and
 * forgets the others. What it costs goes by these rows, not by all.
 */
template<typename Function>
void gsForEachWorking(gsFleet& fleet, gsTime now, Function const& function);

/** Work at an upstream by this host and, as last heard, all others. */
gsOpenWork gsWorkAt(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

/** Notes that an upstream has read a prompt. */
void gsNoteParts(gsFleet const& fleet, gsFleetRow& row,
                 std::vector<gsPromptPart> const& parts, gsTime now);

/** Notes how an attempt ended at an upstream. */
void gsNoteOutcome(gsFleetRow& row, bool failed, gsTime now);

/**
 * Notes that an upstream has turned an attempt away: it holds work that no
 * host has told of, such as that of hosts that are gone.
 */
void gsNoteTurnedAway(gsFleet& fleet, gsFleetRow& row, gsTime now);

/** This host's work at an upstream, as other hosts should count it. */
gsOpenWork gsOwnWork(gsFleetRow const& row, gsTime now);

/** Notes that an upstream could not be reached. */
void gsNoteUnreachable(gsFleetRow& row, gsTime now);

/**
 * The same, and what it says of the upstream's hall; true if that is taken to
 * be cut off from now on.
 */
bool gsNoteNoConnection(gsFleet& fleet, gsFleetRow& row, gsTime now);

/**
 * Looks whether halls that are taken to be cut off were heard from again, or
 * were not tried for long. To be run now and then, also without requests.
 */
void gsRefreshHalls(gsFleet& fleet, gsTime now);

/** Notes bytes of an answer. */
void gsNoteHeard(gsFleet& fleet, gsFleetRow& row, gsTime now);

/** Share of failures now, after its decay. */
double gsFailShare(gsFleetRow const& row, gsTime now);

template<typename Function>
void gsForEachWorking(gsFleet& fleet, gsTime now, Function const& function)
{
  std::size_t kept = 0;
  for (std::uint32_t hash : fleet.Working) {
    auto found = fleet.ByHash.find(hash);
    if (found == fleet.ByHash.end()) {
      continue;
    }
    gsFleetRow& row = fleet.Rows[found->second];
    row.Working = row.Own.Running > 0 || now < row.FullUntil || row.Pace > 0;
    if (row.Working) {
      fleet.Working[kept++] = hash;
      function(row);
    }
  }
  fleet.Working.resize(kept);
}
