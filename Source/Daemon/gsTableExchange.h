/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Carries updates of tables between hosts. The bytes that a host sends for a
 * change depend on what has changed, and not on the size of a table:
 *
 * - Large values are sent as patches to hosts that have a recent version.
 * - An update that is still large is only announced. Hosts that lack it query
 *   it, and receive it compressed and in segments, at the rate at which their
 *   links take them.
 * - An update that waits for a link is merged with the next one.
 *
 * Hosts of earlier releases are sent whole values in one frame, as long as few
 * bytes wait for links.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gsBulkTransfer.h"
#include "gsHallCluster.h"
#include "gsRowFormat.h"
#include "gsRowHistory.h"
#include "gsTableReplica.h"

/** Whether an update contains changes at versions that its receivers are
 * assumed to have. An answer to a query for newer versions would not contain
 * them. */
bool gsHasLateRows(gsTableUpdate const& update);

struct gsTableExchangeEvents
{
  /** Returns the update that answers a request; empty if this host cannot
   * answer it. */
  std::function<std::optional<gsTableUpdate>(gsBulkRequest const& request)>
    MakeAnswer;
  /** An update was received in segments. */
  std::function<void(std::string const& host,
                     gradescale::TableNews const& update)>
    OnUpdate;
};

/** A host that an update is sent to. */
struct gsTableReceiver
{
  std::string Host;
  gsRowFormat Format = gsRowFormat::Platform; ///< Newest that it can parse.
  std::uint64_t Version = 0; ///< Of the last change of the table that it has.
};

class gsTableExchange
{
public:
  gsTableExchange(gsAdapter const& adapter, gsTableExchangeEvents events);
  /** Has to be called before all other methods; the cluster has to outlive
   * this object. */
  void Start(gsHallCluster& cluster);

  /** Records the versions of large rows of the table of routes. */
  void RecordRoutes(gsTableReplica::Rows const& rows)
  {
    this->RoutesHistory.Update(rows);
  }

  /** Sends an update unrequested, or announces it if it is large. */
  void Push(gsTableReceiver const& receiver, std::string const& table,
            gsTableUpdate const& update);

  /** Answers a host's query as soon as links allow, or with "busy". */
  void Answer(gsBulkRequest const& request, gsRowFormat format);

  /** Receives segments and acknowledgements. */
  void ReceiveFrame(std::string const& host, gradescale::Frame const& frame);

  /**
   * Decodes an update and restores the values that it contains as patches.
   *
   * \param rows Rows of this host's replica of the table.
   * \return Empty if a patch cannot be applied.
   */
  std::optional<gsTableUpdate> Decode(gradescale::TableNews const& wire,
                                      gsTableReplica::Rows const& rows) const;

  /** When a segment of an incomplete update last arrived from a host; zero if
   * none did. */
  gsTime ProgressAt(std::string_view host) const;

  /** Ends transfers that have stopped; to be called several times per second.
   */
  void Tick(gsTime now);

private:
  /** The last payload that was made, for requests that are alike. */
  struct CachedPayload
  {
    gsBulkRequest Request;
    std::uint64_t Version = 0;
    std::shared_ptr<std::string const> Bytes;
  };

  gradescale::TableNews Encode(gsTableReceiver const& receiver,
                               std::string const& table,
                               gsTableUpdate const& update,
                               bool wholeValues) const;
  void PushToOlderRelease(gsTableReceiver const& receiver,
                          std::string const& table,
                          gsTableUpdate const& update);
  bool AreLinksBusy() const;
  void SendDue(gsTime now);
  std::optional<gradescale::TableNews> MakeAnswer(
    gsBulkRequest const& request) const;
  void BeginAnswer(gsBulkRequest const& request);
  std::shared_ptr<std::string const> Compress(
    gsBulkRequest const& request, gradescale::TableNews const& update);
  void ReceiveSegment(std::string const& host,
                      gradescale::BulkSegment const& wire);
  void ReceivePayload(std::string const& host, std::string const& payload);

  gsAdapter const& Adapter;
  gsTableExchangeEvents Events;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsRowHistory RoutesHistory;
  gsBulkSender Outgoing;
  gsBulkReceiver Incoming;
  CachedPayload Cached;
};
