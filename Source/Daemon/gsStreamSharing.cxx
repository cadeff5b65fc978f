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
  auto last = static_cast<std::uint32_t>(gsStreamMessageKind::Reply);
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

} // namespace

gsStreamSharing::gsStreamSharing(gsFleet& fleet, std::uint64_t incarnation)
  : Fleet(fleet)
{
  this->Directory.Settings.Origin = incarnation;
}

void gsStreamSharing::Start(gsHallCluster& cluster,
                            std::function<bool()> isCurrent,
                            std::function<std::optional<gsTime>()> listAge)
{
  this->Cluster = &cluster;
  this->IsListCurrent = std::move(isCurrent);
  this->AgeOfList = std::move(listAge);
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

gsStreamSharing::Inference gsStreamSharing::Infer(std::string_view route,
                                                  gsTime now) const
{
  if (!this->IsListCurrent || !this->IsListCurrent()) {
    return { std::nullopt, 0, "list_not_current" };
  }
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

/** What the result of a look-up is taken from, or why it is unknown. */
std::string_view gsStreamSharing::SourceOf(gsStreamLookupResult const& result,
                                           Inference const& own)
{
  if (!result.IsInferred) {
    return result.Version != 0 ? "peer_record" : "records_differ";
  }
  if (result.Version != 0) {
    return own.Version ? own.Cause : "peer_inference";
  }
  bool differs = own.Version.value_or(0) != 0;
  return differs ? "inferences_differ" : own.Cause;
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
  Inference own = this->Infer(route, now);
  bool isFirst = this->Fleet.Settings.IsFirstStart && own.OnlySeen == version;
  if (own.Version == version || isFirst) {
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
  this->Lookups.emplace(stream, PendingLookup{ own, std::move(found) });
  std::uint32_t hash = gsServiceHash(route);
  std::vector<gsStreamLookupResult> results;
  this->Send(gsStreamLookUp(this->Directory, this->Peers(now), stream, hash,
                            own.Version, now, results));
  this->Deliver(results);
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
        { result.Version, SourceOf(result, lookup.Own), result.Unanswered });
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
  for (gradescale::StreamVersion const& wire : frame.stream_versions()) {
    std::optional<gsStreamMessage> message = FromWire(host, wire);
    if (!message) {
      continue;
    }
    std::optional<std::uint32_t> inferred;
    if (message->Kind == gsStreamMessageKind::Query) {
      inferred = this->Infer(this->NameOf(message->Service), now).Version;
    }
    this->Send(gsStreamReceive(this->Directory, peers, *message, inferred, now,
                               results));
    if (message->Kind == gsStreamMessageKind::Ack) {
      this->ReceiveAck(*message);
    }
  }
  this->Deliver(results);
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
}

void gsStreamSharing::WriteGauges(gsMetrics& metrics) const
{
  metrics.Set("gradescale_stream_records", {},
              static_cast<double>(this->Directory.Streams.size()));
  metrics.Set("gradescale_stream_records_evicted_total", {},
              static_cast<double>(this->Directory.Evicted));
}
