/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsBulkTransfer.h"

#include <algorithm>
#include <utility>

namespace {

using Transfers = decltype(gsBulkSender::Transfers);

/** Erases a transfer and its bytes in flight. \return The next one. */
Transfers::iterator Erase(gsBulkSender& sender, Transfers::iterator transfer)
{
  sender.InFlight -= transfer->second.InFlight;
  return sender.Transfers.erase(transfer);
}

/** Started transfers have a segment in flight each, so that more of them would
 * only wait for each other. */
std::size_t MaxTransfers(gsBulkSettings const& settings)
{
  std::size_t segment = std::max<std::size_t>(settings.SegmentBytes, 1);
  return std::max<std::size_t>(settings.MaxInFlight / segment, 1);
}

} // namespace

void gsBulkNumberFrom(gsBulkSender& sender, std::uint64_t incarnation)
{
  sender.NextId = std::max(sender.NextId, incarnation);
}

bool gsBulkEnqueue(gsBulkSender& sender, gsBulkRequest request)
{
  auto same = std::find_if(sender.Waiting.begin(), sender.Waiting.end(),
                           [&request](gsBulkRequest const& one) {
                             return one.Receiver == request.Receiver &&
                                    one.Topic == request.Topic;
                           });
  if (same != sender.Waiting.end()) {
    *same = std::move(request);
    return true;
  }
  if (sender.Waiting.size() >= sender.Settings.MaxWaiting) {
    return false;
  }
  sender.Waiting.push_back(std::move(request));
  return true;
}

std::optional<gsBulkRequest> gsBulkNextRequest(gsBulkSender& sender)
{
  if (sender.Transfers.size() >= MaxTransfers(sender.Settings)) {
    return std::nullopt;
  }
  auto next =
    std::find_if(sender.Waiting.begin(), sender.Waiting.end(),
                 [&sender](gsBulkRequest const& request) {
                   return sender.Transfers.count(request.Receiver) == 0;
                 });
  if (next == sender.Waiting.end()) {
    return std::nullopt;
  }
  gsBulkRequest request = std::move(*next);
  sender.Waiting.erase(next);
  return request;
}

void gsBulkStart(gsBulkSender& sender, gsBulkRequest const& request,
                 std::shared_ptr<std::string const> payload)
{
  if (payload == nullptr || payload->empty()) {
    return;
  }
  gsBulkAbandon(sender, request.Receiver);
  gsBulkTransfer transfer;
  transfer.Id = sender.NextId++;
  transfer.Payload = std::move(payload);
  sender.Transfers.emplace(request.Receiver, std::move(transfer));
}

std::vector<gsBulkSegment> gsBulkSegments(gsBulkSender& sender, gsTime now)
{
  std::vector<gsBulkSegment> segments;
  for (auto& [receiver, transfer] : sender.Transfers) {
    std::string_view remaining = *transfer.Payload;
    remaining.remove_prefix(transfer.Acknowledged);
    std::string_view bytes = remaining.substr(0, sender.Settings.SegmentBytes);
    bool fits =
      sender.InFlight + bytes.size() <= sender.Settings.MaxInFlight ||
      sender.InFlight == 0;
    if (transfer.InFlight > 0 || !fits) {
      continue;
    }
    transfer.InFlight = bytes.size();
    transfer.SentAt = now;
    sender.InFlight += bytes.size();
    segments.push_back({ receiver, transfer.Id, transfer.Acknowledged,
                         transfer.Payload->size(), bytes });
  }
  return segments;
}

void gsBulkAcknowledge(gsBulkSender& sender, std::string_view receiver,
                       std::uint64_t transfer, std::size_t offset)
{
  auto found = sender.Transfers.find(receiver);
  if (found == sender.Transfers.end() || found->second.Id != transfer) {
    return;
  }
  gsBulkTransfer& entry = found->second;
  bool isExpected =
    entry.InFlight > 0 && offset == entry.Acknowledged + entry.InFlight;
  if (!isExpected) {
    return;
  }
  sender.InFlight -= std::exchange(entry.InFlight, 0);
  entry.Acknowledged = offset;
  if (offset == entry.Payload->size()) {
    sender.Transfers.erase(found);
  }
}

void gsBulkAbandon(gsBulkSender& sender, std::string_view receiver)
{
  auto found = sender.Transfers.find(receiver);
  if (found != sender.Transfers.end()) {
    Erase(sender, found);
  }
}

std::size_t gsBulkExpire(gsBulkSender& sender, gsTime now)
{
  std::size_t expired = 0;
  auto transfer = sender.Transfers.begin();
  while (transfer != sender.Transfers.end()) {
    bool isOverdue =
      transfer->second.InFlight > 0 &&
      now - transfer->second.SentAt > sender.Settings.AckTimeout;
    expired += isOverdue ? 1 : 0;
    transfer = isOverdue ? Erase(sender, transfer) : std::next(transfer);
  }
  return expired;
}

gsBulkReceipt gsBulkReceive(gsBulkReceiver& receiver, std::string_view sender,
                            gsBulkSegment const& segment, gsTime now)
{
  gsBulkReceipt receipt;
  std::string name(sender);
  if (segment.Offset == 0 && segment.Size <= receiver.MaxSize) {
    receiver.Assemblies[name] = { segment.Transfer, segment.Size, {}, now };
  }
  auto found = receiver.Assemblies.find(name);
  if (found == receiver.Assemblies.end()) {
    return receipt;
  }
  gsBulkReceiver::Assembly& assembly = found->second;
  bool continues = assembly.Transfer == segment.Transfer &&
                   assembly.Size == segment.Size &&
                   assembly.Bytes.size() == segment.Offset &&
                   segment.Bytes.size() <= segment.Size - segment.Offset;
  if (!continues) {
    return receipt;
  }
  assembly.Bytes.append(segment.Bytes);
  assembly.ReceivedAt = now;
  receipt.Acknowledge = assembly.Bytes.size();
  if (assembly.Bytes.size() == assembly.Size) {
    receipt.Payload = std::move(assembly.Bytes);
    receiver.Assemblies.erase(found);
  }
  return receipt;
}

void gsBulkExpire(gsBulkReceiver& receiver, gsTime timeout, gsTime now)
{
  auto assembly = receiver.Assemblies.begin();
  while (assembly != receiver.Assemblies.end()) {
    bool hasStopped = now - assembly->second.ReceivedAt > timeout;
    assembly =
      hasStopped ? receiver.Assemblies.erase(assembly) : std::next(assembly);
  }
}
