/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsStreamSharing.h"

#include <algorithm>
#include <utility>

#include "gsLoop.h"
#include "gsRouteServices.h"

namespace {

void ToWire(gsStreamMessage const& message, gradescale::StreamVersion& wire)
{
  wire.set_kind(static_cast<std::uint32_t>(message.Kind));
  wire.set_stream(message.Stream);
  wire.set_version(message.Record.Version);
  wire.set_origin(message.Record.Origin);
  wire.set_revision(message.Record.Revision);
  wire.set_service(message.Service);
  wire.set_flag(message.Flag);
}

/** \return Empty for a kind of message that this release does not know. */
std::optional<gsStreamMessage> FromWire(std::string const& host,
                                        gradescale::StreamVersion const& wire)
{
  auto first = static_cast<std::uint32_t>(gsStreamMessageKind::Record);
  auto last = static_cast<std::uint32_t>(gsStreamMessageKind::Note);
  if (wire.kind() < first || wire.kind() > last) {
    return std::nullopt;
  }
  gsStreamMessage message;
  message.Host = host;
  message.Kind = static_cast<gsStreamMessageKind>(wire.kind());
  message.Stream = wire.stream();
  message.Record = { wire.version(), wire.origin(), wire.revision() };
  message.Service = wire.service();
  message.Flag = wire.flag();
  return message;
}

/** Why a version is unknown: the tables could not be read. */
constexpr std::string_view ListNotCurrent = "list_not_current";

/** Interval at which notes are sent, several in one frame. */
constexpr gsTime NoteInterval = gsMilliseconds(400);

/** Adds a note to a frame. The version is left out if it is that of the note
 * before. */
void AddNote(gsStreamMessage const& note, std::uint32_t& lastVersion,
             gradescale::Frame& frame)
{
  auto const& messages = frame.stream_versions();
  bool follows = !messages.empty() &&
                 messages.rbegin()->kind() ==
                   static_cast<std::uint32_t>(gsStreamMessageKind::Note);
  bool isRepeated = follows && lastVersion == note.Record.Version;
  gradescale::StreamVersion& wire = *frame.add_stream_versions();
  wire.set_kind(static_cast<std::uint32_t>(note.Kind));
  wire.set_stream(note.Stream);
  if (!isRepeated) {
    wire.set_version(note.Record.Version);
  }
  lastVersion = note.Record.Version;
}

} // namespace

gsStreamSharing::gsStreamSharing(gsFleet& fleet, std::uint64_t incarnation)
  : Fleet(fleet)
{
  this->Directory.Settings.Origin = incarnation;
}

void gsStreamSharing::Start(gsHallCluster& cluster, gsStreamTables tables)
{
  this->Cluster = &cluster;
  this->Tables = std::move(tables);
}

/** The hosts that keep records and to which this host has links. */
gsStreamPeers gsStreamSharing::Peers(gsTime now) const
{
  gsStreamPeers peers;
  if (this->Cluster == nullptr) {
    return peers;
  }
  gsHallMembership const& members = this->Cluster->Members();
  auto add = [this](std::vector<std::string> const& hosts, std::size_t count,
                    std::vector<std::string>& keepers) {
    for (std::size_t i = 0; i < std::min(count, hosts.size()); ++i) {
      if (this->EarlierHosts.count(hosts[i]) == 0 &&
          hosts[i] != this->Cluster->Self()) {
        keepers.push_back(hosts[i]);
      }
    }
  };
  add(gsHallDutyOrder(members, now), members.Settings.MaxCoordinators,
      peers.Coordinators);
  std::vector<std::string> others = gsOtherCoordinators(members, now);
  add(others, others.size(), peers.OtherHalls);
  return peers;
}

/** The name with a hash under which a route's services or, for hosts of
 * earlier releases, a service's versions are kept; empty if there is none. */
std::string_view gsStreamSharing::NameOf(std::uint32_t hash) const
{
  for (auto const& [name, history] : this->Fleet.VersionHistories) {
    if (gsServiceHash(name) == hash) {
      return name;
    }
  }
  return {};
}

bool gsStreamSharing::IsListCurrent() const
{
  std::optional<gsTime> age = this->ListAge();
  return age && *age <= this->Tables.MaxAge;
}

/** What follows from the replicas as they are. */
gsStreamSharing::Inference gsStreamSharing::Infer(std::string_view route,
                                                  gsTime now) const
{
  gsInferredVersion inferred = gsInferRouteVersion(this->Fleet, route, now);
  Inference inference;
  inference.Cause = gsVersionInferenceName(inferred.Cause);
  inference.OnlySeen = inferred.OnlySeen;
  if (inferred.Version != 0 ||
      inferred.Cause == gsVersionInference::SeveralVersions) {
    inference.Version = inferred.Version;
  }
  return inference;
}

/** The same, unless they are out of date. That several versions are in service
 * follows from old ones as well. */
gsStreamSharing::Inference gsStreamSharing::InferIfCurrent(
  std::string_view route, gsTime now) const
{
  Inference inference = this->Infer(route, now);
  bool hasSeveral = inference.Version == 0U;
  return hasSeveral || this->IsListCurrent()
           ? inference
           : Inference{ std::nullopt, 0, ListNotCurrent };
}

/** What the result of a look-up is taken from, or why it is unknown. */
std::string_view gsStreamSharing::SourceOf(gsStreamLookupResult const& result,
                                           PendingLookup const& lookup)
{
  if (!result.IsInferred) {
    return result.Version != 0 ? "peer_record" : "records_differ";
  }
  bool infers = lookup.Own.Version.value_or(0) != 0;
  if (result.Version != 0 || !infers) {
    return lookup.Own.Cause;
  }
  return lookup.IsConfirmed ? "inferences_differ" : ListNotCurrent;
}

void gsStreamSharing::Send(gsStreamMessages const& messages)
{
  for (gsStreamMessage const& message : messages) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(message.Host)) {
      ToWire(message, *frame->add_stream_versions());
    }
  }
}

bool gsStreamSharing::Publish(gsStreamId stream, std::string const& route,
                              std::uint32_t version, OnCopied copied)
{
  gsTime now = gsLoop::Now();
  Inference own = this->InferIfCurrent(route, now);
  bool isFirst = this->Fleet.Settings.IsFirstStart && own.OnlySeen == version;
  if (own.Version == version || isFirst) {
    std::optional<gsStreamMessage> note =
      gsStreamNote(this->Directory, this->Peers(now), stream, version, now);
    if (note) {
      this->Notes.push_back(std::move(*note));
    }
    return false;
  }
  gsStreamMessages copies =
    gsStreamPublish(this->Directory, this->Peers(now), stream, version, now);
  this->Send(copies);
  if (copies.empty()) {
    return false;
  }
  this->Copies[stream] = { copies.front().Record.Revision, std::move(copied) };
  return true;
}

void gsStreamSharing::LookUp(gsStreamId stream, std::string const& route,
                             OnFound found)
{
  gsTime now = gsLoop::Now();
  if (std::optional<std::uint32_t> known =
        gsStreamFind(this->Directory, stream, now)) {
    found({ *known, *known != 0 ? "record" : "records_differ", 0 });
    return;
  }
  Inference own = this->Infer(route, now);
  this->Lookups.emplace(stream,
                        PendingLookup{ route, own, false, std::move(found) });
  std::uint32_t hash = gsServiceHash(route);
  std::vector<gsStreamLookupResult> results;
  this->Send(gsStreamLookUp(this->Directory, this->Peers(now), stream, hash,
                            own.Version, now, results));
  this->Deliver(results);
  this->ConfirmInferences(now);
}

/** Reads the tables for look-ups that go by what this host infers. */
void gsStreamSharing::ConfirmInferences(gsTime now)
{
  for (gsStreamId stream : gsStreamTakeUnconfirmed(this->Directory, now)) {
    if (!this->Tables.Confirm) {
      this->OnConfirmed(stream, false);
      continue;
    }
    this->Tables.Confirm(
      [this, stream](bool passed) { this->OnConfirmed(stream, passed); });
  }
}

void gsStreamSharing::OnConfirmed(gsStreamId stream, bool passed)
{
  gsTime now = gsLoop::Now();
  std::optional<std::uint32_t> inferred;
  auto [first, last] = this->Lookups.equal_range(stream);
  for (auto lookup = first; lookup != last; ++lookup) {
    PendingLookup& pending = lookup->second;
    pending.Own = passed ? this->Infer(pending.Route, now)
                         : Inference{ std::nullopt, 0, ListNotCurrent };
    pending.IsConfirmed = passed;
    inferred = pending.Own.Version;
  }
  std::vector<gsStreamLookupResult> results;
  this->Send(gsStreamConfirm(this->Directory, stream, inferred, now, results));
  this->Deliver(results);
}

void gsStreamSharing::Withdraw(gsStreamId stream)
{
  this->Send(
    gsStreamWithdraw(this->Directory, this->Peers(gsLoop::Now()), stream));
  this->Copies.erase(stream);
  this->Notes.erase(std::remove_if(this->Notes.begin(), this->Notes.end(),
                                   [stream](gsStreamMessage const& note) {
                                     return note.Stream == stream;
                                   }),
                    this->Notes.end());
}

/** Sends the notes that are due, those for one host in one frame. */
void gsStreamSharing::SendNotes(gsTime now)
{
  if (this->Notes.empty() || now - this->NotesSentAt < NoteInterval) {
    return;
  }
  this->NotesSentAt = now;
  std::map<std::string, std::uint32_t> lastVersions; // By host.
  for (gsStreamMessage const& note : std::exchange(this->Notes, {})) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(note.Host)) {
      AddNote(note, lastVersions[note.Host], *frame);
    }
  }
}

void gsStreamSharing::Deliver(std::vector<gsStreamLookupResult> const& results)
{
  for (gsStreamLookupResult const& result : results) {
    auto [first, last] = this->Lookups.equal_range(result.Stream);
    std::vector<PendingLookup> waiting;
    for (auto lookup = first; lookup != last; ++lookup) {
      waiting.push_back(std::move(lookup->second));
    }
    this->Lookups.erase(first, last);
    for (PendingLookup const& lookup : waiting) {
      lookup.Found(
        { result.Version, SourceOf(result, lookup), result.Unanswered });
    }
  }
}

void gsStreamSharing::OnReceive(std::string const& host,
                                gradescale::Frame const& frame)
{
  if (frame.keeps_stream_versions()) {
    this->EarlierHosts.erase(host);
  } else {
    this->EarlierHosts.insert(host);
  }
  if (frame.stream_versions().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  gsStreamPeers const peers = this->Peers(now);
  std::vector<gsStreamLookupResult> results;
  std::uint32_t noteVersion = 0;
  for (gradescale::StreamVersion const& wire : frame.stream_versions()) {
    std::optional<gsStreamMessage> message = FromWire(host, wire);
    if (!message) {
      continue;
    }
    if (message->Kind == gsStreamMessageKind::Note) {
      noteVersion = wire.version() != 0 ? wire.version() : noteVersion;
      message->Record = { noteVersion, frame.incarnation(), 0 };
    }
    std::optional<std::uint32_t> inferred;
    if (message->Kind == gsStreamMessageKind::Query) {
      inferred =
        this->InferIfCurrent(this->NameOf(message->Service), now).Version;
    }
    this->Send(gsStreamReceive(this->Directory, peers, *message, inferred, now,
                               results));
    if (message->Kind == gsStreamMessageKind::Ack) {
      this->ReceiveAck(*message);
    }
  }
  this->Deliver(results);
  this->ConfirmInferences(now);
}

/** Calls back once the latest record of a stream has been copied. */
void gsStreamSharing::ReceiveAck(gsStreamMessage const& message)
{
  auto found = this->Copies.find(message.Stream);
  if (found != this->Copies.end() &&
      found->second.Revision == message.Record.Revision) {
    OnCopied copied = std::move(found->second.Copied);
    this->Copies.erase(found);
    copied();
  }
}

void gsStreamSharing::FillHeader(gradescale::Frame& frame)
{
  frame.set_keeps_stream_versions(true);
}

void gsStreamSharing::Tick(gsTime now)
{
  if (this->Cluster == nullptr) {
    return;
  }
  // Records last as long as streams of a version that has gone.
  this->Directory.Settings.Retention = std::max(
    this->Directory.Settings.Retention, this->Fleet.Settings.MaxStreamTime);
  std::vector<gsStreamLookupResult> results;
  this->Send(gsStreamTick(this->Directory, now, results));
  this->Deliver(results);
  this->ConfirmInferences(now);
  this->SendNotes(now);
}

void gsStreamSharing::WriteGauges(gsMetrics& metrics) const
{
  metrics.Set("gradescale_stream_records", {},
              static_cast<double>(this->Directory.Streams.size()));
  metrics.Set("gradescale_stream_records_evicted_total", {},
              static_cast<double>(this->Directory.Evicted));
}
