/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableExchange.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "gsCompress.h"
#include "gsLog.h"
#include "gsTableWire.h"

namespace {

/** Updates up to this size are sent in one frame with other messages. */
constexpr std::size_t MaxInlineBytes = 4096;
/** Bytes of tables that may wait for links before no more whole values are
 * sent to hosts of earlier releases. */
constexpr std::uint64_t MaxWaitingBytes = 262144;
/** Maximum size of a received update. */
constexpr std::size_t MaxUpdateBytes = 64U << 20U;
/** An incomplete payload is discarded after this time without a segment. */
constexpr gsTime SegmentTimeout = gsSeconds(3);

/** Whether it contains all changes between its two versions. */
bool IsChange(gradescale::TableNews const& update)
{
  return !update.whole() && !update.too_large() && !update.busy();
}

/** Whether an update continues one that was added to a frame before it. */
bool Continues(gradescale::TableNews const& earlier,
               gradescale::TableNews const& later)
{
  return IsChange(earlier) && IsChange(later) &&
         earlier.table() == later.table() &&
         earlier.above_version() <= later.above_version() &&
         later.above_version() <= earlier.version() &&
         earlier.version() <= later.version();
}

/** Adds the rows of an earlier update that a later one does not replace. */
void Merge(gradescale::TableNews const& earlier, gradescale::TableNews& later)
{
  std::set<std::string> keys;
  for (gradescale::TableRow const& row : later.rows()) {
    keys.insert(row.key());
  }
  for (gradescale::TableRow const& row : earlier.rows()) {
    if (keys.count(row.key()) == 0) {
      *later.add_rows() = row;
    }
  }
  later.set_above_version(earlier.above_version());
}

/** Adds an update to a frame, in place of those that it continues. */
void AddOrMerge(gradescale::Frame& frame, gradescale::TableNews update)
{
  auto* updates = frame.mutable_table_news();
  for (int i = updates->size() - 1; i >= 0; --i) {
    if (Continues(updates->Get(i), update)) {
      Merge(updates->Get(i), update);
      updates->DeleteSubrange(i, 1);
    }
  }
  *frame.add_table_news() = std::move(update);
}

/** Replaces the value of a row by patches. */
void SetPatches(gradescale::TableRow& row,
                std::vector<gsRowPatch> const& patches)
{
  row.clear_value();
  for (gsRowPatch const& patch : patches) {
    gradescale::RowPatch* wire = row.add_patches();
    wire->set_base_version(patch.BaseVersion);
    wire->set_version(patch.Version);
    wire->set_compressed(patch.Bytes);
    wire->set_value_hash(patch.ValueHash);
  }
}

std::vector<gsRowPatch> ParsePatches(gradescale::TableRow const& row)
{
  std::vector<gsRowPatch> patches;
  for (gradescale::RowPatch const& wire : row.patches()) {
    patches.push_back({ wire.base_version(), wire.version(), wire.compressed(),
                        wire.value_hash() });
  }
  return patches;
}

/** Whether two requests have the same answer. */
bool HaveSameAnswer(gsBulkRequest const& a, gsBulkRequest const& b)
{
  return a.Topic == b.Topic && a.AboveVersion == b.AboveVersion &&
         a.RepairVersion == b.RepairVersion && a.WholeValues == b.WholeValues;
}

void LogAnswer(gsBulkRequest const& request,
               gradescale::TableNews const& answer)
{
  gsLogLine("table_query_answered")
    .With("table", request.Topic)
    .With("host", request.Receiver)
    .With("above", request.AboveVersion)
    .With("version", answer.version())
    .With("bytes", std::uint64_t(answer.ByteSizeLong()))
    .With("whole_values", request.WholeValues);
}

} // namespace

bool gsHasLateRows(gsTableUpdate const& update)
{
  return !update.IsSnapshot &&
         std::any_of(update.Rows.begin(), update.Rows.end(),
                     [&update](gsTableRow const& row) {
                       return row.Version <= update.BaseVersion;
                     });
}

gsTableExchange::gsTableExchange(gsAdapter const& adapter,
                                 gsTableExchangeEvents events)
  : Adapter(adapter)
  , Events(std::move(events))
{
}

void gsTableExchange::Start(gsHallCluster& cluster)
{
  this->Cluster = &cluster;
  gsBulkNumberFrom(this->Outgoing, cluster.Members().Self.Incarnation);
}

/** Encodes an update in a format that the receiver can parse. */
gradescale::TableNews gsTableExchange::Encode(gsTableReceiver const& receiver,
                                              std::string const& table,
                                              gsTableUpdate const& update,
                                              bool wholeValues) const
{
  gradescale::TableNews wire;
  if (table == this->Adapter.Tables.Upstreams) {
    gsToWire(table,
             gsConvertTableUpdate(update, receiver.Format, this->Adapter),
             wire);
    return wire;
  }
  gsToWire(table, update, wire);
  if (receiver.Format < gsRowFormat::Patched || wholeValues) {
    return wire;
  }
  for (gradescale::TableRow& row : *wire.mutable_rows()) {
    std::vector<gsRowPatch> patches;
    if (row.value().size() >= gsMinPatchedBytes) {
      patches = this->RoutesHistory.PatchesSince(row.key(), receiver.Version);
    }
    if (!patches.empty()) {
      SetPatches(row, patches);
    }
  }
  return wire;
}

void gsTableExchange::Push(gsTableReceiver const& receiver,
                           std::string const& table,
                           gsTableUpdate const& update)
{
  if (receiver.Format < gsRowFormat::Patched) {
    this->PushToOlderRelease(receiver, table, update);
    return;
  }
  gradescale::Frame* frame = this->Cluster->ToHost(receiver.Host);
  if (frame == nullptr) {
    return;
  }
  gradescale::TableNews wire = this->Encode(receiver, table, update, false);
  if (wire.ByteSizeLong() > MaxInlineBytes && !gsHasLateRows(update)) {
    wire.Clear();
    wire.set_table(table);
    wire.set_version(update.Version);
    wire.set_too_large(true);
  }
  AddOrMerge(*frame, std::move(wire));
}

/** Whether so many bytes of tables wait for links that no more should be added
 * without an acknowledgement. */
bool gsTableExchange::AreLinksBusy() const
{
  gsPeerNet const* net = this->Cluster->Net();
  return net != nullptr && net->Backlog().Bytes.Tables > MaxWaitingBytes;
}

/** Sends whole values, unless links are busy: the host then learns from the
 * header that it lacks the update, and queries it. */
void gsTableExchange::PushToOlderRelease(gsTableReceiver const& receiver,
                                         std::string const& table,
                                         gsTableUpdate const& update)
{
  gradescale::Frame* frame = this->Cluster->ToHost(receiver.Host);
  if (frame == nullptr) {
    return;
  }
  gradescale::TableNews wire = this->Encode(receiver, table, update, true);
  if (wire.ByteSizeLong() <= MaxInlineBytes || !this->AreLinksBusy()) {
    AddOrMerge(*frame, std::move(wire));
  }
}

void gsTableExchange::Answer(gsBulkRequest const& request, gsRowFormat format)
{
  if (format < gsRowFormat::Patched) {
    if (auto update = this->Events.MakeAnswer(request)) {
      this->PushToOlderRelease({ request.Receiver, format, 0 }, request.Topic,
                               *update);
    }
    return;
  }
  std::optional<gradescale::TableNews> answer = this->MakeAnswer(request);
  gradescale::Frame* frame =
    answer ? this->Cluster->ToHost(request.Receiver) : nullptr;
  if (frame == nullptr) {
    return;
  }
  if (answer->ByteSizeLong() <= MaxInlineBytes) {
    // Does not wait for the transfers of large answers.
    LogAnswer(request, *answer);
    AddOrMerge(*frame, std::move(*answer));
  } else if (gsBulkEnqueue(this->Outgoing, request)) {
    this->SendDue(gsLoop::Now());
  } else {
    gradescale::TableNews* busy = frame->add_table_news();
    busy->set_table(request.Topic);
    busy->set_busy(true);
  }
}

/** The answer to a request in the newest format; empty if this host cannot
 * answer it. */
std::optional<gradescale::TableNews> gsTableExchange::MakeAnswer(
  gsBulkRequest const& request) const
{
  std::optional<gsTableUpdate> update = this->Events.MakeAnswer(request);
  if (!update) {
    return std::nullopt;
  }
  return this->Encode(
    { request.Receiver, gsNewestRowFormat, request.AboveVersion },
    request.Topic, *update, request.WholeValues);
}

/** Starts the transfer of an answer, which may have changed since it was
 * requested. */
void gsTableExchange::BeginAnswer(gsBulkRequest const& request)
{
  if (std::optional<gradescale::TableNews> answer =
        this->MakeAnswer(request)) {
    LogAnswer(request, *answer);
    gsBulkStart(this->Outgoing, request, this->Compress(request, *answer));
  }
}

/** Compresses an answer, unless the last one was the same. */
std::shared_ptr<std::string const> gsTableExchange::Compress(
  gsBulkRequest const& request, gradescale::TableNews const& update)
{
  bool isSame = this->Cached.Bytes != nullptr &&
                HaveSameAnswer(this->Cached.Request, request) &&
                this->Cached.Version == update.version();
  if (!isSame) {
    this->Cached = { request, update.version(),
                     std::make_shared<std::string const>(
                       gsCompress(update.SerializeAsString())) };
  }
  return this->Cached.Bytes;
}

void gsTableExchange::SendDue(gsTime now)
{
  while (std::optional<gsBulkRequest> request =
           gsBulkNextRequest(this->Outgoing)) {
    this->BeginAnswer(*request);
  }
  std::vector<std::string> unreachable;
  for (gsBulkSegment const& segment : gsBulkSegments(this->Outgoing, now)) {
    gradescale::Frame* frame = this->Cluster->ToHost(segment.Receiver);
    if (frame == nullptr) {
      unreachable.emplace_back(segment.Receiver);
      continue;
    }
    gradescale::BulkSegment* wire = frame->add_bulk_segments();
    wire->set_transfer(segment.Transfer);
    wire->set_offset(segment.Offset);
    wire->set_size(segment.Size);
    wire->set_data(segment.Bytes.data(), segment.Bytes.size());
  }
  for (std::string const& host : unreachable) {
    gsBulkAbandon(this->Outgoing, host);
  }
}

void gsTableExchange::ReceiveFrame(std::string const& host,
                                   gradescale::Frame const& frame)
{
  for (gradescale::BulkAck const& ack : frame.bulk_acks()) {
    gsBulkAcknowledge(this->Outgoing, host, ack.transfer(), ack.offset());
  }
  if (!frame.bulk_acks().empty()) {
    this->SendDue(gsLoop::Now());
  }
  for (gradescale::BulkSegment const& segment : frame.bulk_segments()) {
    this->ReceiveSegment(host, segment);
  }
}

void gsTableExchange::ReceiveSegment(std::string const& host,
                                     gradescale::BulkSegment const& wire)
{
  gsBulkSegment segment;
  segment.Transfer = wire.transfer();
  segment.Offset = wire.offset();
  segment.Size = wire.size();
  segment.Bytes = wire.data();
  gsBulkReceipt receipt =
    gsBulkReceive(this->Incoming, host, segment, gsLoop::Now());
  gradescale::Frame* answer =
    receipt.Acknowledge ? this->Cluster->ToHost(host) : nullptr;
  if (answer != nullptr) {
    gradescale::BulkAck* ack = answer->add_bulk_acks();
    ack->set_transfer(segment.Transfer);
    ack->set_offset(*receipt.Acknowledge);
  }
  if (receipt.Payload) {
    this->ReceivePayload(host, *receipt.Payload);
  }
}

void gsTableExchange::ReceivePayload(std::string const& host,
                                     std::string const& payload)
{
  std::optional<std::string> bytes = gsDecompress(payload, {}, MaxUpdateBytes);
  gradescale::TableNews update;
  if (!bytes || !update.ParseFromString(*bytes)) {
    gsLogLine("table_update_unreadable", gsLogLevel::Error)
      .With("from", host)
      .With("bytes", std::uint64_t(payload.size()));
    return;
  }
  this->Events.OnUpdate(host, update);
}

std::optional<gsTableUpdate> gsTableExchange::Decode(
  gradescale::TableNews const& wire, gsTableReplica::Rows const& rows) const
{
  gsTableUpdate update = gsParseTableUpdate(wire);
  for (int i = 0; i < wire.rows_size(); ++i) {
    if (wire.rows(i).patches().empty()) {
      continue;
    }
    gsTableRow& row = update.Rows[static_cast<std::size_t>(i)];
    auto known = rows.find(row.Key);
    bool isKnown = known != rows.end() && known->second.Version >= row.Version;
    std::optional<std::string> value =
      isKnown ? known->second.Value
              : this->RoutesHistory.Apply(row.Key, ParsePatches(wire.rows(i)));
    if (!value) {
      return std::nullopt;
    }
    row.Value = std::move(*value);
  }
  return update;
}

gsTime gsTableExchange::ProgressAt(std::string_view host) const
{
  auto found = this->Incoming.Assemblies.find(host);
  return found == this->Incoming.Assemblies.end() ? gsTime{}
                                                  : found->second.ReceivedAt;
}

void gsTableExchange::Tick(gsTime now)
{
  std::size_t expired = gsBulkExpire(this->Outgoing, now);
  if (expired > 0) {
    gsLogLine("table_transfer_expired", gsLogLevel::Warn)
      .With("transfers", std::uint64_t(expired))
      .With("waiting", std::uint64_t(this->Outgoing.Waiting.size()));
  }
  gsBulkExpire(this->Incoming, SegmentTimeout, now);
  this->SendDue(now);
}
