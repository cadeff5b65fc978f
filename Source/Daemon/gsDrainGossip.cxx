/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDrainGossip.h"

#include <charconv>
#include <optional>

#include "gsLog.h"
#include "gsLoop.h"
#include "gsUpstreamList.h"

namespace {

/** Parses the start time that identifies an incarnation. */
std::optional<std::uint64_t> ParseStartTime(std::string const& text)
{
  std::uint64_t startedAt = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, startedAt);
  bool isValid =
    !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return isValid ? std::optional<std::uint64_t>(startedAt) : std::nullopt;
}

} // namespace

void gsDrainGossip::Send(gsIncarnation const& upstream,
                         std::vector<std::string> const& hosts)
{
  for (std::string const& host : hosts) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Leaving* wire = frame->add_leaving();
      wire->set_upstream(upstream.Id);
      wire->set_incarnation(std::to_string(upstream.StartedAt));
    }
  }
}

void gsDrainGossip::Publish(gsIncarnation const& upstream)
{
  if (this->Cluster != nullptr) {
    std::string const& hall = this->Fleet.Settings.Hall;
    this->Send(upstream, gsGossipReceivers(*this->Cluster, hall, hall));
  }
}

void gsDrainGossip::OnReceive(std::string const& host,
                              gradescale::Frame const& frame)
{
  if (frame.leaving().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  std::string const hall(gsHallOf(this->Cluster->Members(), host));
  bool isRelay =
    gsHallRelay(this->Cluster->Members(), now) == this->Cluster->Self();
  for (gradescale::Leaving const& wire : frame.leaving()) {
    std::optional<std::uint64_t> startedAt =
      ParseStartTime(wire.incarnation());
    if (!startedAt || !gsIsPrintableId(wire.upstream())) {
      continue;
    }
    gsIncarnation const upstream{ wire.upstream(), *startedAt };
    gsUpstreamAnnouncement announcement;
    announcement.Leaving = true;
    if (!gsApplyAnnouncement(this->Fleet, upstream, announcement, now)) {
      continue;
    }
    gsLogLine("upstream_told_leaving")
      .With("upstream", upstream.Id)
      .With("born", upstream.StartedAt)
      .With("from", host);
    if (isRelay) {
      this->Send(upstream, gsGossipReceivers(*this->Cluster, hall,
                                             this->Fleet.Settings.Hall));
    }
  }
}
