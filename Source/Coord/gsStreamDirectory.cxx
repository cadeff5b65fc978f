/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsStreamDirectory.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

using Entry = gsStreamDirectory::Entry;
using Results = std::vector<gsStreamLookupResult>;

/** Copies of a record in the hall of its host, and in other halls. */
constexpr std::size_t HallCopies = 3;
constexpr std::size_t OtherHallCopies = 2;

/** The hosts that hold the copies of a stream's record. */
std::vector<std::string> Holders(std::vector<std::string> const& hosts,
                                 gsStreamId stream, std::size_t count)
{
  std::vector<std::string_view> names(hosts.begin(), hosts.end());
  return gsRendezvousTop(names, std::to_string(stream), count);
}

gsStreamMessage MakeMessage(std::string const& host, gsStreamMessageKind kind,
                            gsStreamId stream)
{
  gsStreamMessage message;
  message.Host = host;
  message.Kind = kind;
  message.Stream = stream;
  return message;
}

void Renew(gsStreamDirectory& directory, gsStreamId stream, Entry& entry,
           gsTime now)
{
  entry.RenewedAt = now;
  directory.RenewalOrder.emplace_back(now, stream);
}

/** Evicts the records that have expired, and the oldest ones above the limit.
 */
void Evict(gsStreamDirectory& directory, gsTime now)
{
  gsStreamDirectorySettings const& settings = directory.Settings;
  auto& order = directory.RenewalOrder;
  while (!order.empty()) {
    auto const [renewedAt, stream] = order.front();
    auto found = directory.Streams.find(stream);
    bool isCurrent =
      found != directory.Streams.end() && found->second.RenewedAt == renewedAt;
    bool isOver = directory.Streams.size() > settings.MaxStreams;
    if (isCurrent && !isOver && now - renewedAt <= settings.Retention) {
      return;
    }
    if (isCurrent) {
      directory.Evicted += isOver ? 1 : 0;
      directory.Streams.erase(found);
    }
    order.pop_front();
  }
}

void Store(gsStreamDirectory& directory, gsStreamId stream,
           gsStreamRecord const& record, gsTime now)
{
  auto [found, isNew] = directory.Streams.try_emplace(stream);
  Entry& entry = found->second;
  bool isSameOrigin = entry.Record.Origin == record.Origin;
  bool isOutdated =
    !isNew && isSameOrigin && record.Revision < entry.Record.Revision;
  if (isOutdated) {
    return;
  }
  bool conflicts =
    !isNew && !isSameOrigin && entry.Record.Version != record.Version;
  entry.IsAmbiguous = entry.IsAmbiguous || conflicts;
  entry.Record = record;
  Renew(directory, stream, entry, now);
  Evict(directory, now);
}

std::uint32_t VersionOf(Entry const& entry)
{
  return entry.IsAmbiguous ? 0 : entry.Record.Version;
}

/** The version of a stream, as far as this host and others know it. */
struct Outcome
{
  std::uint32_t Version = 0;
  bool IsInferred = false;
  bool IsVoid = false; ///< Nothing can be inferred, whatever others infer.
};

gsStreamMessage MakeReply(std::string const& host, gsStreamId stream,
                          Outcome const& outcome)
{
  gsStreamMessage reply =
    MakeMessage(host, gsStreamMessageKind::Reply, stream);
  reply.Record.Version = outcome.Version;
  reply.Record.Revision = outcome.IsVoid ? gsStreamMessage::VoidRevision : 0;
  reply.Flag = outcome.IsInferred;
  return reply;
}

/** Ends a look-up: tells the hosts that asked, and this host if it did. */
void Conclude(gsStreamDirectory& directory, gsStreamId stream,
              Outcome const& outcome, gsStreamMessages& messages,
              Results& results)
{
  auto lookup = directory.Lookups.find(stream);
  if (lookup == directory.Lookups.end()) {
    return;
  }
  for (std::string const& asker : lookup->second.Askers) {
    messages.push_back(MakeReply(asker, stream, outcome));
  }
  if (lookup->second.IsOwn) {
    results.push_back({ stream, outcome.Version, outcome.IsInferred,
                        lookup->second.Awaited.size() });
  }
  directory.Lookups.erase(lookup);
}

/** Ends a look-up without a record by what was inferred. What this host goes
 * by has to be confirmed; other hosts that asked confirm it themselves. */
void ConcludeUnrecorded(gsStreamDirectory& directory, gsStreamId stream,
                        gsStreamMessages& messages, Results& results)
{
  gsStreamLookup& lookup = directory.Lookups.at(stream);
  Outcome outcome;
  outcome.IsInferred = true;
  outcome.IsVoid = lookup.IsInferenceVoid;
  outcome.Version = outcome.IsVoid ? 0 : lookup.Inferred;
  if (lookup.IsOwn) {
    bool isConfirmed = lookup.OwnInference == gsInferenceState::Confirmed;
    results.push_back({ stream, isConfirmed ? outcome.Version : 0, true,
                        lookup.Awaited.size() });
    lookup.IsOwn = false;
  }
  Conclude(directory, stream, outcome, messages, results);
}

/** Whether a look-up without a record has nothing left to wait for. */
bool IsOver(gsStreamDirectory const& directory, gsStreamLookup const& lookup,
            gsTime now)
{
  if (now >= lookup.BeganAt + directory.Settings.ConfirmTimeout) {
    return true;
  }
  bool isConfirming = !lookup.IsInferenceVoid &&
                      (lookup.OwnInference == gsInferenceState::Unconfirmed ||
                       lookup.OwnInference == gsInferenceState::Requested);
  return !isConfirming && (lookup.Awaited.empty() || now >= lookup.Deadline);
}

/** Adds what a host without a record infers: empty if it cannot tell. Hosts
 * that disagree have seen different upstreams, so that neither is right for
 * certain. */
void AddInference(gsStreamLookup& lookup, std::optional<std::uint32_t> version)
{
  if (version) {
    bool disagrees = lookup.Inferred != 0 && lookup.Inferred != *version;
    lookup.IsInferenceVoid =
      lookup.IsInferenceVoid || disagrees || *version == 0;
    lookup.Inferred = *version != 0 ? *version : lookup.Inferred;
  }
}

/** What the sender of a reply without a record infers. */
std::optional<std::uint32_t> InferenceOf(gsStreamMessage const& reply)
{
  bool isKnown = reply.Record.Version != 0 ||
                 reply.Record.Revision == gsStreamMessage::VoidRevision;
  return isKnown ? std::optional(reply.Record.Version) : std::nullopt;
}

gsStreamMessages MakeQueries(gsStreamId stream, gsStreamLookup const& lookup,
                             bool arePassedOn)
{
  gsStreamMessages messages;
  for (std::string const& host : lookup.Awaited) {
    gsStreamMessage query =
      MakeMessage(host, gsStreamMessageKind::Query, stream);
    query.Service = lookup.Service;
    query.Flag = arePassedOn;
    messages.push_back(std::move(query));
  }
  return messages;
}

/** Drops the copy that a record without a version withdraws. \return Whether
 * there was one. */
bool DropWithdrawn(gsStreamDirectory& directory,
                   gsStreamMessage const& message)
{
  auto found = directory.Streams.find(message.Stream);
  bool isWithdrawn = message.Record.Version == 0 &&
                     found != directory.Streams.end() &&
                     !found->second.IsAmbiguous &&
                     found->second.Record.Origin == message.Record.Origin &&
                     found->second.Record.Revision <= message.Record.Revision;
  if (isWithdrawn) {
    directory.Streams.erase(found);
  }
  return isWithdrawn;
}

/** The messages that copy a record to other hosts. */
gsStreamMessages MakeCopies(gsStreamPeers const& peers, gsStreamId stream,
                            gsStreamRecord const& record)
{
  gsStreamMessages messages;
  std::vector<std::string> holders =
    Holders(peers.Coordinators, stream, HallCopies);
  std::vector<std::string> const others =
    Holders(peers.OtherHalls, stream, OtherHallCopies);
  bool isPassedOn = others.empty();
  holders.insert(holders.end(), others.begin(), others.end());
  for (std::string const& host : holders) {
    gsStreamMessage copy =
      MakeMessage(host, gsStreamMessageKind::Record, stream);
    copy.Record = record;
    copy.Flag = std::exchange(isPassedOn, false);
    messages.push_back(std::move(copy));
  }
  return messages;
}

void ReceiveRecord(gsStreamDirectory& directory, gsStreamPeers const& peers,
                   gsStreamMessage const& message, gsTime now,
                   gsStreamMessages& messages, Results& results)
{
  bool isDropped = DropWithdrawn(directory, message);
  if (!isDropped) {
    Store(directory, message.Stream, message.Record, now);
  }
  gsStreamMessage ack =
    MakeMessage(message.Host, gsStreamMessageKind::Ack, message.Stream);
  ack.Record = message.Record;
  messages.push_back(std::move(ack));
  if (message.Flag) {
    for (std::string const& host :
         Holders(peers.OtherHalls, message.Stream, OtherHallCopies)) {
      gsStreamMessage copy = message;
      copy.Host = host;
      copy.Flag = false;
      messages.push_back(std::move(copy));
    }
  }
  if (isDropped) {
    return;
  }
  // A look-up may have begun before the copy arrived.
  Outcome outcome;
  outcome.Version = VersionOf(directory.Streams.at(message.Stream));
  Conclude(directory, message.Stream, outcome, messages, results);
}

void ReceiveQuery(gsStreamDirectory& directory, gsStreamPeers const& peers,
                  gsStreamMessage const& message,
                  std::optional<std::uint32_t> inferred, gsTime now,
                  gsStreamMessages& messages)
{
  std::optional<std::uint32_t> known =
    gsStreamFind(directory, message.Stream, now);
  bool isPassedOn = message.Flag && !peers.OtherHalls.empty();
  if (known || !isPassedOn) {
    Outcome outcome;
    outcome.Version = known.value_or(inferred.value_or(0));
    outcome.IsInferred = !known;
    outcome.IsVoid = !known && inferred == 0U;
    messages.push_back(MakeReply(message.Host, message.Stream, outcome));
    return;
  }
  auto [found, isNew] = directory.Lookups.try_emplace(message.Stream);
  gsStreamLookup& lookup = found->second;
  lookup.Askers.push_back(message.Host);
  AddInference(lookup, inferred);
  if (isNew) {
    lookup.Awaited = peers.OtherHalls;
    lookup.Service = message.Service;
    lookup.BeganAt = now;
    lookup.Deadline = now + directory.Settings.RelayTimeout;
    gsStreamMessages queries = MakeQueries(message.Stream, lookup, false);
    messages.insert(messages.end(), queries.begin(), queries.end());
  }
}

/** Stores a note and ends the look-up that it answers. */
void ReceiveNote(gsStreamDirectory& directory, gsStreamMessage const& message,
                 gsTime now, gsStreamMessages& messages, Results& results)
{
  Store(directory, message.Stream, message.Record, now);
  Outcome outcome;
  outcome.Version = VersionOf(directory.Streams.at(message.Stream));
  Conclude(directory, message.Stream, outcome, messages, results);
}

void ReceiveReply(gsStreamDirectory& directory, gsStreamMessage const& message,
                  gsTime now, gsStreamMessages& messages, Results& results)
{
  auto found = directory.Lookups.find(message.Stream);
  if (found == directory.Lookups.end()) {
    return;
  }
  if (!message.Flag) {
    Outcome outcome;
    outcome.Version = message.Record.Version;
    Conclude(directory, message.Stream, outcome, messages, results);
    return;
  }
  gsStreamLookup& lookup = found->second;
  AddInference(lookup, InferenceOf(message));
  auto& awaited = lookup.Awaited;
  awaited.erase(std::remove(awaited.begin(), awaited.end(), message.Host),
                awaited.end());
  if (IsOver(directory, lookup, now)) {
    ConcludeUnrecorded(directory, message.Stream, messages, results);
  }
}

} // namespace

gsStreamMessages gsStreamPublish(gsStreamDirectory& directory,
                                 gsStreamPeers const& peers, gsStreamId stream,
                                 std::uint32_t version, gsTime now)
{
  gsStreamRecord record{ version, directory.Settings.Origin,
                         directory.NextRevision++ };
  Store(directory, stream, record, now);
  return MakeCopies(peers, stream, record);
}

std::optional<gsStreamMessage> gsStreamNote(gsStreamDirectory& directory,
                                            gsStreamPeers const& peers,
                                            gsStreamId stream,
                                            std::uint32_t version, gsTime now)
{
  Store(directory, stream,
        { version, directory.Settings.Origin, directory.NextRevision++ }, now);
  std::vector<std::string> const holder =
    Holders(peers.Coordinators, stream, 1);
  if (holder.empty()) {
    return std::nullopt;
  }
  gsStreamMessage note =
    MakeMessage(holder.front(), gsStreamMessageKind::Note, stream);
  note.Record.Version = version;
  return note;
}

gsStreamMessages gsStreamWithdraw(gsStreamDirectory& directory,
                                  gsStreamPeers const& peers,
                                  gsStreamId stream)
{
  auto found = directory.Streams.find(stream);
  bool isOwn = found != directory.Streams.end() &&
               found->second.Record.Origin == directory.Settings.Origin;
  if (!isOwn) {
    return {};
  }
  directory.Streams.erase(found);
  return MakeCopies(
    peers, stream, { 0, directory.Settings.Origin, directory.NextRevision++ });
}

std::optional<std::uint32_t> gsStreamFind(gsStreamDirectory const& directory,
                                          gsStreamId stream, gsTime now)
{
  auto found = directory.Streams.find(stream);
  bool isValid = found != directory.Streams.end() &&
                 now - found->second.RenewedAt <= directory.Settings.Retention;
  return isValid ? std::optional(VersionOf(found->second)) : std::nullopt;
}

gsStreamMessages gsStreamLookUp(gsStreamDirectory& directory,
                                gsStreamPeers const& peers, gsStreamId stream,
                                std::uint32_t service,
                                std::optional<std::uint32_t> inferred,
                                gsTime now,
                                std::vector<gsStreamLookupResult>& results)
{
  auto [found, isNew] = directory.Lookups.try_emplace(stream);
  gsStreamLookup& lookup = found->second;
  AddInference(lookup, inferred);
  if (!lookup.IsOwn) {
    lookup.IsOwn = true;
    lookup.OwnInference = inferred.value_or(0) != 0
                            ? gsInferenceState::Unconfirmed
                            : gsInferenceState::None;
    lookup.BeganAt = now;
    lookup.Deadline = now + directory.Settings.LookupTimeout;
  }
  if (!isNew) {
    return {};
  }
  lookup.Service = service;
  lookup.Awaited = peers.Coordinators;
  lookup.Awaited.insert(lookup.Awaited.end(), peers.OtherHalls.begin(),
                        peers.OtherHalls.end());
  gsStreamMessages messages =
    MakeQueries(stream, lookup, peers.OtherHalls.empty());
  if (IsOver(directory, lookup, now)) {
    ConcludeUnrecorded(directory, stream, messages, results);
  }
  return messages;
}

std::vector<gsStreamId> gsStreamTakeUnconfirmed(gsStreamDirectory& directory,
                                                gsTime now)
{
  std::vector<gsStreamId> due;
  for (auto& [stream, lookup] : directory.Lookups) {
    bool isDue = lookup.OwnInference == gsInferenceState::Unconfirmed &&
                 !lookup.IsInferenceVoid &&
                 (lookup.Awaited.empty() ||
                  now >= lookup.BeganAt + directory.Settings.ConfirmDelay);
    if (isDue) {
      lookup.OwnInference = gsInferenceState::Requested;
      due.push_back(stream);
    }
  }
  return due;
}

gsStreamMessages gsStreamConfirm(gsStreamDirectory& directory,
                                 gsStreamId stream,
                                 std::optional<std::uint32_t> inferred,
                                 gsTime now,
                                 std::vector<gsStreamLookupResult>& results)
{
  gsStreamMessages messages;
  auto found = directory.Lookups.find(stream);
  if (found == directory.Lookups.end() ||
      found->second.OwnInference != gsInferenceState::Requested) {
    return messages;
  }
  gsStreamLookup& lookup = found->second;
  AddInference(lookup, inferred);
  lookup.OwnInference = inferred.value_or(0) != 0 ? gsInferenceState::Confirmed
                                                  : gsInferenceState::None;
  if (IsOver(directory, lookup, now)) {
    ConcludeUnrecorded(directory, stream, messages, results);
  }
  return messages;
}

gsStreamMessages gsStreamReceive(gsStreamDirectory& directory,
                                 gsStreamPeers const& peers,
                                 gsStreamMessage const& message,
                                 std::optional<std::uint32_t> inferred,
                                 gsTime now,
                                 std::vector<gsStreamLookupResult>& results)
{
  gsStreamMessages messages;
  switch (message.Kind) {
    case gsStreamMessageKind::Record:
      ReceiveRecord(directory, peers, message, now, messages, results);
      break;
    case gsStreamMessageKind::Query:
      ReceiveQuery(directory, peers, message, inferred, now, messages);
      break;
    case gsStreamMessageKind::Reply:
      ReceiveReply(directory, message, now, messages, results);
      break;
    case gsStreamMessageKind::Note:
      ReceiveNote(directory, message, now, messages, results);
      break;
    case gsStreamMessageKind::Ack:
      break;
  }
  return messages;
}

gsStreamMessages gsStreamTick(gsStreamDirectory& directory, gsTime now,
                              std::vector<gsStreamLookupResult>& results)
{
  std::vector<gsStreamId> expired;
  for (auto const& [stream, lookup] : directory.Lookups) {
    if (IsOver(directory, lookup, now)) {
      expired.push_back(stream);
    }
  }
  gsStreamMessages messages;
  for (gsStreamId stream : expired) {
    ConcludeUnrecorded(directory, stream, messages, results);
  }
  Evict(directory, now);
  return messages;
}
