/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWireCodec.h"

#include <algorithm>

namespace {

std::uint64_t ToMicros(gsTime time)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

gsTime FromMicros(std::uint64_t micros)
{
  return gsTime(static_cast<std::int64_t>(micros));
}

gsHallHost FromWire(gradescale::HallHost const& wire)
{
  gsHallHost host;
  host.Host = wire.host();
  host.Hall = wire.hall();
  host.Address = wire.address();
  host.Incarnation = wire.incarnation();
  host.Millicores = wire.millicores();
  host.Leaving = wire.leaving();
  host.ForwardAddress = wire.forward_address();
  return host;
}

void ToWire(gsHallHost const& host, gradescale::HallHost* wire)
{
  wire->set_host(host.Host);
  wire->set_hall(host.Hall);
  wire->set_address(host.Address);
  wire->set_incarnation(host.Incarnation);
  wire->set_millicores(host.Millicores);
  wire->set_leaving(host.Leaving);
  wire->set_forward_address(host.ForwardAddress);
}

gsHallSummary FromWire(gradescale::HallSummary const& wire)
{
  gsHallSummary summary;
  summary.Hall = wire.hall();
  summary.HostCount = wire.hosts();
  for (gradescale::HallHost const& host : wire.first()) {
    summary.FirstHosts.push_back(FromWire(host));
  }
  return summary;
}

void ToWire(gsHallSummary const& summary, gradescale::HallSummary* wire)
{
  wire->set_hall(summary.Hall);
  wire->set_hosts(summary.HostCount);
  for (gsHallHost const& host : summary.FirstHosts) {
    ToWire(host, wire->add_first());
  }
}

} // namespace

gsRequestId gsFromWire(gradescale::RequestId const& wire)
{
  return { wire.host(), wire.sequence(), wire.attempt() };
}

gsGrantRequest gsFromWire(gradescale::Ask const& wire)
{
  // A validated document contains no higher tier.
  constexpr std::uint32_t maxTier = 255;
  gsGrantRequest ask;
  ask.Id = gsFromWire(wire.id());
  ask.Pool = wire.pool();
  ask.Organisation = wire.organisation();
  ask.Template = wire.template_name();
  ask.Tier = std::min(wire.tier(), maxTier);
  ask.Weight = wire.weight();
  ask.PromptTokens = wire.prompt_tokens();
  ask.PriorWaitTime = FromMicros(wire.waited_us());
  ask.MaxWait = FromMicros(wire.max_wait_us());
  ask.AffinityHash = wire.affinity();
  ask.FirstTokenTarget = FromMicros(wire.target_first_token_us());
  ask.TokenIntervalTarget = FromMicros(wire.target_gap_us());
  ask.AvoidUpstream = wire.avoid();
  ask.ForceQueue = wire.force();
  ask.WaitWhileEjected = wire.patient();
  return ask;
}

gsMember gsFromWire(gradescale::Member const& wire)
{
  gsMember member;
  member.Host = wire.host();
  member.Hall = wire.hall();
  member.Address = wire.address();
  member.Incarnation = wire.incarnation();
  member.Refutation = wire.refutation();
  member.State = static_cast<gsMemberState>(
    std::min(wire.state(), static_cast<std::uint32_t>(gsMemberState::Dead)));
  return member;
}

gsGrantMeasurements gsMeasuredFromWire(gradescale::Release const& wire)
{
  return { wire.tokens(), FromMicros(wire.first_token_us()),
           FromMicros(wire.gap_us()), FromMicros(wire.duration_us()) };
}

void gsToWire(gsRequestId const& id, gradescale::RequestId* wire)
{
  wire->set_host(id.Host);
  wire->set_sequence(id.Sequence);
  wire->set_attempt(id.Attempt);
}

void gsToWire(gsGrantRequest const& ask, gradescale::Ask* wire)
{
  gsToWire(ask.Id, wire->mutable_id());
  wire->set_pool(ask.Pool);
  wire->set_organisation(ask.Organisation);
  wire->set_template_name(ask.Template);
  wire->set_tier(ask.Tier);
  wire->set_weight(ask.Weight);
  wire->set_prompt_tokens(ask.PromptTokens);
  wire->set_waited_us(ToMicros(ask.PriorWaitTime));
  wire->set_max_wait_us(ToMicros(ask.MaxWait));
  wire->set_affinity(ask.AffinityHash);
  wire->set_target_first_token_us(ToMicros(ask.FirstTokenTarget));
  wire->set_target_gap_us(ToMicros(ask.TokenIntervalTarget));
  wire->set_avoid(ask.AvoidUpstream);
  wire->set_force(ask.ForceQueue);
  wire->set_patient(ask.WaitWhileEjected);
}

void gsToWire(gsMember const& member, gradescale::Member* wire)
{
  wire->set_host(member.Host);
  wire->set_hall(member.Hall);
  wire->set_address(member.Address);
  wire->set_incarnation(member.Incarnation);
  wire->set_refutation(member.Refutation);
  wire->set_state(static_cast<std::uint32_t>(member.State));
}

void gsToWire(gsGrant const& grant, gradescale::Grant* wire)
{
  gsToWire(grant.Id, wire->mutable_id());
  wire->set_pool(grant.Pool);
  wire->set_upstream(grant.Upstream);
  wire->set_address(grant.Address);
  wire->set_start_within_us(ToMicros(grant.StartTimeout));
  wire->set_incarnation(grant.Incarnation);
}

void gsToWire(gsRefusal const& refusal, gradescale::Refusal* wire)
{
  gsToWire(refusal.Id, wire->mutable_id());
  wire->set_cause(gsRefusalCauseName(refusal.Cause));
  wire->set_retry_after_us(ToMicros(refusal.RetryAfter));
}

gsLoadReport gsFromWire(gradescale::LoadReport const& wire)
{
  gsLoadReport report;
  report.Scope = static_cast<gsLoadScope>(wire.scope());
  for (gradescale::UpstreamLoad const& load : wire.loads()) {
    gsUpstreamLoad& entry = report.Load.Upstreams[load.upstream()];
    entry = { load.running(),
              load.read_tokens(),
              load.memory_tokens(),
              load.pace_us(),
              load.speed_permille(),
              load.speed_age_ms(),
              load.speed_sample_ns(),
              load.speed_sample_kind(),
              load.speed_sample_age_ms() };
    for (gradescale::UrgencyLoad const& part : load.by_urgency()) {
      gsAddUrgencyLoad(entry.ByUrgency,
                       { part.priority(), part.running(), part.waiting(),
                         part.read_tokens(), part.memory_tokens() });
    }
  }
  for (gradescale::ServiceDemand const& demand : wire.demands()) {
    gsServiceDemand& entry = report.Load.Services[demand.service()];
    entry.LongTokens = demand.long_tokens();
    entry.TightTokens = demand.tight_tokens();
    for (gradescale::OpenAttempts const& open : demand.open_attempts()) {
      entry.OpenAttempts[open.priority()] = open.running();
    }
    for (gradescale::KindDemand const& kind : demand.kinds()) {
      entry.Kinds[kind.priority()] = { kind.engine_millis(),
                                       kind.waiting_millis() };
    }
    for (gradescale::OrganisationDemand const& organisation :
         demand.organisations()) {
      entry.Organisations[organisation.organisation()] =
        organisation.engine_millis();
    }
  }
  for (gradescale::EngineArrangement const& entry : wire.arrangements()) {
    report.Load.Arrangements[entry.service()] = { entry.version(),
                                                  entry.long_engines(),
                                                  { entry.slow().begin(),
                                                    entry.slow().end() } };
  }
  report.Load.UnreachableHalls = { wire.cut_off_halls().begin(),
                                   wire.cut_off_halls().end() };
  report.Age = gsMilliseconds(wire.age_ms());
  return report;
}

void gsToWire(gsLoadReport const& report, gradescale::LoadReport* wire)
{
  wire->set_scope(static_cast<std::uint32_t>(report.Scope));
  wire->set_age_ms(static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(report.Age)
      .count()));
  for (auto const& [upstream, load] : report.Load.Upstreams) {
    gradescale::UpstreamLoad* entry = wire->add_loads();
    entry->set_upstream(upstream);
    entry->set_running(load.Running);
    entry->set_read_tokens(load.PendingPromptTokens);
    entry->set_memory_tokens(load.MemoryTokens);
    entry->set_pace_us(load.MinEventIntervalMicros);
    entry->set_speed_permille(load.SpeedPermille);
    entry->set_speed_age_ms(load.SpeedPermille != 0 ? load.SpeedAgeMillis : 0);
    if (load.SpeedSampleNanos != 0) {
      entry->set_speed_sample_ns(load.SpeedSampleNanos);
      entry->set_speed_sample_kind(load.SpeedSampleKind);
      entry->set_speed_sample_age_ms(load.SpeedSampleAgeMillis);
    }
    for (gsUrgencyLoad const& urgency : load.ByUrgency) {
      gradescale::UrgencyLoad* part = entry->add_by_urgency();
      part->set_priority(urgency.Priority);
      part->set_running(urgency.OpenAttempts);
      part->set_waiting(urgency.Waiting);
      part->set_read_tokens(urgency.PendingPromptTokens);
      part->set_memory_tokens(urgency.MemoryTokens);
    }
  }
  for (auto const& [service, demand] : report.Load.Services) {
    gradescale::ServiceDemand* entry = wire->add_demands();
    entry->set_service(service);
    entry->set_long_tokens(demand.LongTokens);
    entry->set_tight_tokens(demand.TightTokens);
    for (auto const& [priority, running] : demand.OpenAttempts) {
      gradescale::OpenAttempts* open = entry->add_open_attempts();
      open->set_priority(priority);
      open->set_running(running);
    }
    for (auto const& [priority, demanded] : demand.Kinds) {
      gradescale::KindDemand* kind = entry->add_kinds();
      kind->set_priority(priority);
      kind->set_engine_millis(demanded.EngineMillis);
      kind->set_waiting_millis(demanded.WaitingMillis);
    }
    for (auto const& [name, millis] : demand.Organisations) {
      gradescale::OrganisationDemand* organisation =
        entry->add_organisations();
      organisation->set_organisation(name);
      organisation->set_engine_millis(millis);
    }
  }
  for (auto const& [service, arrangement] : report.Load.Arrangements) {
    gradescale::EngineArrangement* entry = wire->add_arrangements();
    entry->set_service(service);
    entry->set_version(arrangement.Version);
    entry->set_long_engines(arrangement.LongEngines);
    entry->mutable_slow()->Add(arrangement.SlowEngines.begin(),
                               arrangement.SlowEngines.end());
  }
  for (std::uint32_t hall : report.Load.UnreachableHalls) {
    wire->add_cut_off_halls(hall);
  }
}

gsHallMessage gsFromWire(gradescale::HallNews const& wire)
{
  gsHallMessage message;
  if (wire.has_self()) {
    message.Sender = FromWire(wire.self());
  }
  message.DigestRequested = wire.asks();
  message.DigestHash = wire.digest_hash();
  if (wire.has_digest()) {
    message.Digest.emplace();
    message.Digest->ReceiverHall = FromWire(wire.receivers());
    for (gradescale::HallSummary const& other : wire.others()) {
      message.Digest->OtherHalls.push_back(FromWire(other));
    }
  }
  return message;
}

void gsToWire(gsHallMessage const& message, gradescale::HallNews* wire)
{
  if (message.Sender) {
    ToWire(*message.Sender, wire->mutable_self());
  }
  wire->set_asks(message.DigestRequested);
  wire->set_digest_hash(message.DigestHash);
  wire->set_has_digest(message.Digest.has_value());
  if (message.Digest) {
    ToWire(message.Digest->ReceiverHall, wire->mutable_receivers());
    for (gsHallSummary const& other : message.Digest->OtherHalls) {
      ToWire(other, wire->add_others());
    }
  }
}
