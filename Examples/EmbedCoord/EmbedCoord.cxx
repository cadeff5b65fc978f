/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Embeds the coordination library: three members in one process exchange
 * probes by function calls until each knows the others, and agree on the
 * owner of a key.
 */
#include <iostream>
#include <map>
#include <string>

#include "gsMembership.h"
#include "gsRendezvous.h"

namespace {

using Table = std::map<std::string, gsMembership>;

void Deliver(Table& tables, std::string const& from,
             gsMembershipOutput const& out, gsTime now)
{
  for (gsProbeMessage const& message : out.Messages) {
    gsMembership& target = tables.at(message.To);
    gsMembershipOutput answer;
    for (gsMember const& news : gsMembershipNextUpdates(tables.at(from))) {
      gsMembershipApplyUpdate(target, news, now, answer);
    }
    if (message.Type == gsProbeMessage::Kind::Ping) {
      gsMembershipOnPing(target, from, message.Sequence, answer);
    } else if (message.Type == gsProbeMessage::Kind::Ack) {
      gsMembershipOnAck(target, from, message.Sequence, message.Target,
                        answer);
    }
    Deliver(tables, message.To, answer, now);
  }
}

} // namespace

int main()
{
  Table tables;
  gsTime now{};
  for (std::string name : { "a", "b", "c" }) {
    gsMember self;
    self.Host = name;
    self.Hall = "hall";
    self.Incarnation = 1;
    gsMembershipStart(tables[name], self, now);
  }
  gsMembershipOutput joined;
  gsMembershipApplyUpdate(tables["a"], tables["b"].Self, now, joined);
  gsMembershipApplyUpdate(tables["b"], tables["c"].Self, now, joined);

  gsRandom random(1);
  constexpr int ticks = 100;
  for (int i = 0; i < ticks; ++i) {
    now += gsMilliseconds(100);
    for (auto& [name, table] : tables) {
      gsMembershipOutput out;
      gsMembershipTick(table, now, random, out);
      Deliver(tables, name, out, now);
    }
  }
  for (auto const& [name, table] : tables) {
    std::cout << name << " knows " << table.Members.size()
              << " others; 'key' belongs to "
              << *gsRendezvous(gsAliveHosts(table, "hall"), "key") << '\n';
  }
  return 0;
}
