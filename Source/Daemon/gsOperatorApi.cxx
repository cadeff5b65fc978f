/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsOperatorApi.h"

#include <algorithm>

#include "gsDocumentJson.h"
#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsSecret.h"

namespace {

constexpr gsTime QueryPeriod = gsMilliseconds(100);
/** Time after a change or a status query for which hosts are queried. */
constexpr gsTime TrackDuration = gsSeconds(30);
constexpr std::string_view ChangePrefix = "/v1/changes/";

void Respond(gsHttpExchange& exchange, unsigned status, gsJson const& body)
{
  exchange.Respond(
    status, { { "Content-Type", "application/json" } },
    body.dump(-1, ' ', false, gsJson::error_handler_t::replace));
}

void RespondError(gsHttpExchange& exchange, unsigned status,
                  gsError const& error)
{
  Respond(exchange, status,
          { { "error",
              { { "code", error.Code },
                { "message", error.Message },
                { "step", error.Step },
                { "peer", error.Peer } } } });
}

unsigned StatusFor(gsError const& error)
{
  if (error.Code == "conflict") {
    return gsStatusConflict;
  }
  if (error.Code == "not_known" || error.Code == "not_ready") {
    return gsStatusUnavailable;
  }
  if (error.Code == "unknown_upstream") {
    return gsStatusNotFound;
  }
  return gsStatusBadRequest;
}

char const* HealthName(gsHealth health)
{
  switch (health) {
    case gsHealth::Healthy:
      return "healthy";
    case gsHealth::Ejected:
      return "ejected";
    case gsHealth::Probing:
      break;
  }
  return "probing";
}

gsJson PoolToJson(gsPool const& pool)
{
  gsJson queue = gsJson::array();
  for (gsTierQueue const& tier : pool.Tiers) {
    queue.push_back(tier.Waiting);
  }
  gsJson upstreams = gsJson::array();
  for (gsUpstreamRow const& row : pool.Upstreams) {
    upstreams.push_back({ { "name", row.Name },
                          { "running", row.Running + row.RunningReserved },
                          { "limit", static_cast<std::uint32_t>(row.Limit) },
                          { "health", HealthName(row.Health) },
                          { "leaving", row.Leaving } });
  }
  return { { "name", pool.Name },
           { "waiting_by_tier", std::move(queue) },
           { "upstreams", std::move(upstreams) } };
}

gsJson MemberToJson(gsMember const& member)
{
  return { { "host", member.Host },
           { "hall", member.Hall },
           { "state", gsMemberStateName(member.State) } };
}

} // namespace

gsOperatorApi::gsOperatorApi(gsLoop& loop, gsOperatorParts parts)
  : Parts(parts)
  , Timer(loop, [this] { this->QueryMissing(); })
{
}

void gsOperatorApi::OnExchange(std::shared_ptr<gsHttpExchange> const& exchange)
{
  constexpr std::string_view scheme = "Bearer ";
  std::string_view header = exchange->Header("Authorization");
  bool authorized = header.substr(0, scheme.size()) == scheme &&
                    gsSameSecret(header.substr(scheme.size()),
                                 this->Parts.Settings.Operators.Token);
  if (!authorized) {
    RespondError(*exchange, gsStatusUnauthorized,
                 { "unknown_token",
                   "The operators' token is missing or wrong.", "authenticate",
                   exchange->Peer });
    return;
  }
  if (exchange->TooLarge) {
    RespondError(*exchange, gsStatusTooLarge,
                 { "body_too_large", "The body is over the limit.", "receive",
                   exchange->Peer });
    return;
  }
  std::string const& path = exchange->Path;
  if (exchange->Method == "GET" && path == "/v1/status") {
    this->ShowStatus(*exchange);
  } else if (exchange->Method == "GET" && path == "/v1/config") {
    Respond(*exchange, gsStatusOk, gsToJson(this->Parts.Config.Document()));
  } else if (exchange->Method == "POST" && path == "/v1/changes") {
    this->SubmitChange(exchange);
  } else if (exchange->Method == "GET" &&
             path.compare(0, ChangePrefix.size(), ChangePrefix) == 0) {
    this->ShowChange(*exchange, path.substr(ChangePrefix.size()));
  } else {
    RespondError(
      *exchange, gsStatusNotFound,
      { "unknown_path",
        "There is nothing at " + exchange->Method + " " + path + ".", "route",
        exchange->Peer });
  }
}

void gsOperatorApi::UpdateHostList(gsHostList const& list)
{
  this->ListedHosts = list.Hosts;
}

std::vector<std::string> gsOperatorApi::LiveHosts(std::string_view hall) const
{
  gsMembership const& table = this->Parts.Cluster.Members();
  std::set<std::string> hosts;
  if (table.Self.Hall == hall) {
    hosts.insert(table.Self.Host);
  }
  for (gsMember const& member : table.Members) {
    if (member.Hall == hall && member.State != gsMemberState::Dead) {
      hosts.insert(member.Host);
    }
  }
  for (gsListedHost const& row : this->ListedHosts) {
    if (row.Hall == hall && !row.Leaving) {
      hosts.insert(row.Host);
    }
  }
  return { hosts.begin(), hosts.end() };
}

std::vector<std::string> gsOperatorApi::AllLiveHosts() const
{
  gsMembership const& table = this->Parts.Cluster.Members();
  std::set<std::string> halls{ table.Self.Hall };
  for (gsMember const& member : table.Members) {
    halls.insert(member.Hall);
  }
  for (gsListedHost const& row : this->ListedHosts) {
    halls.insert(row.Hall);
  }
  std::vector<std::string> hosts;
  for (std::string const& hall : halls) {
    std::vector<std::string> hallHosts = this->LiveHosts(hall);
    hosts.insert(hosts.end(), hallHosts.begin(), hallHosts.end());
  }
  return hosts;
}

std::vector<std::string> gsOperatorApi::MissingHosts(
  std::uint64_t version) const
{
  gsVersionTracker acceptance = this->Versions;
  acceptance.TargetVersion = version;
  gsVersionTrackerRecord(acceptance, this->Parts.Cluster.Self(),
                         this->Parts.Config.Version());
  return gsVersionTrackerMissingHosts(acceptance, this->AllLiveHosts());
}

void gsOperatorApi::RecordVersion(std::string const& host,
                                  std::uint64_t version)
{
  gsVersionTrackerRecord(this->Versions, host, version);
}

void gsOperatorApi::TrackVersion(std::uint64_t version)
{
  this->TrackedVersion = std::max(this->TrackedVersion, version);
  this->TrackUntil = gsLoop::Now() + TrackDuration;
  this->Timer.Every(QueryPeriod);
  this->QueryMissing();
}

void gsOperatorApi::SendVersionQuery(std::string const& host,
                                     std::uint64_t version, bool hall)
{
  gradescale::Frame* frame = this->Parts.Cluster.ToHost(host);
  if (frame == nullptr) {
    return;
  }
  gradescale::VersionQuery* query = frame->add_version_queries();
  query->set_sequence(this->NextQuerySequence++);
  query->set_version(version);
  query->set_whole_hall(hall);
}

/**
 * Queries each host of the own hall, and one host of each other hall for its
 * whole hall. The query contains the version, so that an outdated host fetches
 * it.
 */
void gsOperatorApi::QueryMissing()
{
  std::vector<std::string> missing = this->MissingHosts(this->TrackedVersion);
  if (missing.empty() || gsLoop::Now() > this->TrackUntil) {
    this->Timer.Stop();
    return;
  }
  gsMembership const& table = this->Parts.Cluster.Members();
  std::set<std::string> halls;
  for (std::string const& host : missing) {
    gsMember const* member = gsFindMember(table, host);
    if (member == nullptr) {
      continue;
    }
    if (member->Hall == table.Self.Hall) {
      this->SendVersionQuery(host, this->TrackedVersion, false);
    } else {
      halls.insert(member->Hall);
    }
  }
  for (std::string const& hall : halls) {
    std::string partner = gsCrossHallPeer(table, hall);
    if (!partner.empty()) {
      this->SendVersionQuery(partner, this->TrackedVersion, true);
    }
  }
}

void gsOperatorApi::OnVersionQuery(std::uint64_t link,
                                   gradescale::VersionQuery const& query)
{
  gradescale::Frame* frame = this->Parts.Cluster.OnLink(link);
  if (frame == nullptr) {
    return;
  }
  gradescale::VersionReply* reply = frame->add_version_replies();
  reply->set_sequence(query.sequence());
  reply->set_version(this->Parts.Config.Version());
  if (!query.whole_hall()) {
    return;
  }
  std::string const& hall = this->Parts.Settings.Hall;
  gsVersionTracker acceptance = this->Versions;
  acceptance.TargetVersion = query.version();
  gsVersionTrackerRecord(acceptance, this->Parts.Cluster.Self(),
                         this->Parts.Config.Version());
  std::vector<std::string> hosts = this->LiveHosts(hall);
  std::vector<std::string> missing =
    gsVersionTrackerMissingHosts(acceptance, hosts);
  for (std::string const& host : hosts) {
    bool isMissing =
      std::find(missing.begin(), missing.end(), host) != missing.end();
    if (!isMissing) {
      reply->add_reached(host);
    } else if (host != this->Parts.Cluster.Self()) {
      this->SendVersionQuery(host, query.version(), false);
    }
  }
}

void gsOperatorApi::OnVersionReply(std::string const& host,
                                   gradescale::VersionReply const& reply)
{
  this->RecordVersion(host, reply.version());
  for (std::string const& reached : reply.reached()) {
    this->RecordVersion(reached, this->TrackedVersion);
  }
}

void gsOperatorApi::ShowStatus(gsHttpExchange& exchange) const
{
  gsMembership const& table = this->Parts.Cluster.Members();
  gsJson members = gsJson::array({ MemberToJson(table.Self) });
  members[0]["config_version"] = this->Parts.Config.Version();
  for (gsMember const& member : table.Members) {
    gsJson row = MemberToJson(member);
    auto version = this->Versions.ConfirmedVersions.find(member.Host);
    if (version != this->Versions.ConfirmedVersions.end()) {
      row["config_version"] = version->second;
    }
    members.push_back(std::move(row));
  }
  gsJson pools = gsJson::array();
  for (auto const& [name, pool] : this->Parts.Dispatcher.Pools()) {
    std::string dispatcher =
      this->Parts.Cluster.DispatcherOf(table.Self.Hall, name);
    gsJson row = PoolToJson(pool);
    row["dispatcher"] = dispatcher;
    pools.push_back(std::move(row));
  }
  Respond(exchange, gsStatusOk,
          { { "host", table.Self.Host },
            { "hall", table.Self.Hall },
            { "ready", this->Parts.Config.Ready() },
            { "config_version", this->Parts.Config.Version() },
            { "open_requests", this->Parts.Gateway.OpenRequestCount() },
            { "members", std::move(members) },
            { "pools", std::move(pools) } });
}

gsJson gsOperatorApi::ChangeState(gsChange const& change)
{
  std::vector<std::string> missing = this->MissingHosts(change.Version);
  if (!missing.empty()) {
    this->TrackVersion(change.Version);
  }
  return { { "id", change.Id },
           { "version", change.Version },
           { "summary", change.Summary },
           { "state", missing.empty() ? "accepted" : "stored" },
           { "missing", missing } };
}

void gsOperatorApi::SubmitChange(
  std::shared_ptr<gsHttpExchange> const& exchange)
{
  std::string caller = exchange->Peer;
  auto done = [this, exchange, caller](gsResult<gsChange> const& result) {
    if (!result) {
      gsLogLine("change_refused", gsLogLevel::Warn)
        .With("operator", caller)
        .With(result.error());
      RespondError(*exchange, StatusFor(result.error()), result.error());
      return;
    }
    gsChange const& change = result.value();
    gsLogLine("change_stored")
      .With("operator", caller)
      .With("change", change.Id)
      .With("version", change.Version)
      .With("summary", change.Summary);
    gsJson state = this->ChangeState(change);
    bool accepted = state["state"] == "accepted";
    Respond(*exchange, accepted ? gsStatusOk : gsStatusAccepted, state);
  };
  this->Parts.Config.Submit(std::move(exchange->Body), done);
}

void gsOperatorApi::ShowChange(gsHttpExchange& exchange, std::string const& id)
{
  gsChange const* change = gsFindChange(this->Parts.Config.Document(), id);
  if (change == nullptr) {
    RespondError(exchange, gsStatusNotFound,
                 { "unknown_change",
                   "No change with the id '" + id +
                     "' is known here, or it is too long ago.",
                   "change",
                   {} });
    return;
  }
  Respond(exchange, gsStatusOk, this->ChangeState(*change));
}
