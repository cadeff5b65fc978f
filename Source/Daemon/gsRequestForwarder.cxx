/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRequestForwarder.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <openssl/crypto.h>
#include <strings.h>

#include "gsLog.h"
#include "gsRendezvous.h"

namespace {

constexpr char const* TokenHeader = "X-Gradescale-Token";
constexpr char const* ClusterHeader = "X-Gradescale-Cluster";
constexpr char const* AttemptsHeader = "X-Gradescale-Attempts";

/** Cluster names may contain characters that headers must not. */
std::string HashedName(std::string const& name)
{
  return std::to_string(gsHashText(name));
}

bool IsSameSecret(std::string_view a, std::string_view b)
{
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool IsRestrictedToRegions(gsRoutedRequest const& request)
{
  return !request.Route->Regions.empty() ||
         (request.OrganisationRegions != nullptr &&
          !request.OrganisationRegions->empty());
}

/** Region of a hall; empty if it is not known. */
std::string_view RegionOf(gsFleet const& fleet, std::string const& hall)
{
  auto region = fleet.Settings.Regions.find(hall);
  return region == fleet.Settings.Regions.end() ? std::string_view()
                                                : region->second;
}

} // namespace

gsRequestForwarder::gsRequestForwarder(gsFleet& fleet,
                                       gsUpstreamCaller& caller,
                                       gsMetrics& metrics)
  : Fleet(fleet)
  , Caller(caller)
  , Metrics(metrics)
{
}

void gsRequestForwarder::Enable(
  gsForwardCredentials credentials,
  std::function<std::vector<gsForwardPeer>()> peers)
{
  this->Credentials = std::move(credentials);
  this->Peers = std::move(peers);
}

bool gsRequestForwarder::ShouldForward(gsRoutedRequest const& request,
                                       gsPlacement const& placement,
                                       gsTime now)
{
  bool mayForward = this->Peers && !request.IsForwarded &&
                    request.Primary == nullptr &&
                    request.ForwardedTo.size() < this->Settings.MaxForwards;
  if (!mayForward) {
    return false;
  }
  if (placement.Row == nullptr) {
    return placement.Cause == gsPlacementCause::Unreachable;
  }
  return request.ConnectFailures >= this->Settings.MaxConnectFailures ||
         (gsPathIsCut(this->Fleet.Path, this->Fleet.Rows.size(), now) &&
          !gsPathTakeProbe(this->Fleet.Path, now));
}

/** Hosts that may be sent a request. One that is restricted to regions does
 * not leave the region of this host. */
std::vector<gsForwardPeer> gsRequestForwarder::PeersFor(
  gsRoutedRequest const& request) const
{
  std::vector<gsForwardPeer> peers = this->Peers();
  if (IsRestrictedToRegions(request)) {
    std::string_view own = RegionOf(this->Fleet, this->Fleet.Settings.Hall);
    auto isElsewhere = [&](gsForwardPeer const& peer) {
      return peer.Hall != this->Fleet.Settings.Hall &&
             (own.empty() || RegionOf(this->Fleet, peer.Hall) != own);
    };
    peers.erase(std::remove_if(peers.begin(), peers.end(), isElsewhere),
                peers.end());
  }
  return peers;
}

bool gsRequestForwarder::TryForward(gsRoutedRequestPtr const& request,
                                    char const* cause, gsTime now)
{
  std::optional<gsForwardPeer> peer = gsChooseForwardPeer(
    this->PeersFor(*request), this->Avoided, request->ForwardedTo,
    gsHashText(request->Caller.AttemptId), now);
  gsLogLine line("forward");
  line.With("request", request->Caller.AttemptId)
    .With("cause", cause)
    .With("connect_failures", request->ConnectFailures)
    .With("cut", gsPathIsCut(this->Fleet.Path, this->Fleet.Rows.size(), now))
    .With("to", peer ? std::string_view(peer->Host) : "none");
  if (!peer) {
    return false;
  }
  request->ForwardedTo.push_back(peer->Host);
  std::uint32_t left =
    request->MaxAttempts -
    std::min(request->MaxAttempts - 1, request->SentAttempts);
  this->Caller.StartForward(
    request, *peer,
    { { TokenHeader, this->Credentials.Token },
      { ClusterHeader, HashedName(this->Credentials.Cluster) },
      { AttemptsHeader, std::to_string(left) } });
  return true;
}

void gsRequestForwarder::RecordEnd(gsRoutedRequest& request,
                                   gsAttempt const& attempt,
                                   gsAttemptResult const& result, gsTime now)
{
  bool isNotRun = result.Outcome == gsAttemptOutcome::NotExecuted;
  bool couldRun = !isNotRun && result.Outcome != gsAttemptOutcome::NotSent;
  if (isNotRun) {
    // It has reached no upstream, so that it is no attempt at one.
    request.SentAttempts -= std::min(request.SentAttempts, 1U);
  } else if (couldRun) {
    // The other host may have made all attempts that were left.
    request.SentAttempts = request.MaxAttempts;
  }
  gsRecordForward(this->Avoided, this->Settings, attempt.ForwardedTo, couldRun,
                  now);
  this->Metrics.Increment(
    "gradescale_forwarded_total",
    gsLabels({ { "direction", "out" },
               { "result", gsAttemptOutcomeName(result.Outcome) } }));
}

std::optional<std::uint32_t> gsRequestForwarder::CheckForwarded(
  gsHttpExchange const& exchange) const
{
  bool isPeer =
    !this->Credentials.Token.empty() &&
    IsSameSecret(exchange.Header(TokenHeader), this->Credentials.Token) &&
    exchange.Header(ClusterHeader) == HashedName(this->Credentials.Cluster);
  if (!isPeer) {
    return std::nullopt;
  }
  std::string_view text = exchange.Header(AttemptsHeader);
  std::uint32_t attempts = 0;
  std::from_chars(text.data(), text.data() + text.size(), attempts);
  return std::max(attempts, 1U);
}

void gsRequestForwarder::RemoveHeaders(gsHeaders& headers)
{
  auto isOwn = [](gsHeaders::value_type const& header) {
    char const* name = header.first.c_str();
    return strcasecmp(name, TokenHeader) == 0 ||
           strcasecmp(name, ClusterHeader) == 0 ||
           strcasecmp(name, AttemptsHeader) == 0;
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), isOwn),
                headers.end());
}
