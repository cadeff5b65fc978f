/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDrainGossip.h"

#include <charconv>
#include <optional>

#include "gsLog.h"
#include "gsLoop.h"
#include "gsUpstreamList.h"

namespace {

std::optional<std::uint64_t> ReadBirth(std::string const& text)
{
  std::uint64_t born = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, born);
  bool good = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return good ? std::optional<std::uint64_t>(born) : std::nullopt;
}

} // namespace

void gsDrainGossip::Send(gsIncarnation const& upstream,
                         std::vector<std::string> const& hosts)
{
  for (std::string const& host : hosts) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Leaving* wire = frame->add_leaving();
      wire->set_upstream(upstream.Id);
      wire->set_incarnation(std::to_string(upstream.Born));
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
  bool relays =
    gsHallRelay(this->Cluster->Members(), now) == this->Cluster->Self();
  for (gradescale::Leaving const& wire : frame.leaving()) {
    std::optional<std::uint64_t> born = ReadBirth(wire.incarnation());
    if (!born || !gsIsPlainId(wire.upstream())) {
      continue;
    }
    gsIncarnation const upstream{ wire.upstream(), *born };
    if (!gsNoteWord(this->Fleet, upstream, { true, {}, {}, false }, now)) {
      continue;
    }
    gsLogLine("upstream_told_leaving")
      .With("upstream", upstream.Id)
      .With("born", upstream.Born)
      .With("from", host);
    if (relays) {
      this->Send(upstream, gsGossipReceivers(*this->Cluster, hall,
                                             this->Fleet.Settings.Hall));
    }
  }
}
