/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNearMissAnnouncements.h"

#include <algorithm>
#include <unordered_map>

namespace {

using Announcement = gsNearMissCollector::Announcement;
using SentRequest = gsNearMissCollector::SentRequest;

/** Requests of a host to an upstream in the order of the log, by KeyOf. */
using RequestsByLink =
  std::unordered_map<std::string, std::vector<SentRequest const*>>;

/** Key of a pair of a host and an upstream. */
std::string KeyOf(std::string const& host, std::string const& upstream)
{
  return host + '\n' + upstream;
}

/** Counts the requests that were sent between two times after an
 * announcement; both times are exclusive. */
gsIgnoredAnnouncement CountRequests(
  Announcement const& announcement,
  std::vector<SentRequest const*> const& requests, gsTime from, gsTime until)
{
  gsIgnoredAnnouncement ignored;
  ignored.Upstream = announcement.Upstream;
  ignored.Host = announcement.Host;
  ignored.AnnouncedAt = announcement.ReceivedAt;
  for (SentRequest const* sent : requests) {
    if (sent->SentAt > from && sent->SentAt < until) {
      ++ignored.RequestCount;
      ignored.LastRequestDelay = sent->SentAt - announcement.ReceivedAt;
      ignored.LastRequest = sent->RequestId;
    }
  }
  return ignored;
}

} // namespace

std::vector<gsIgnoredAnnouncement> gsFindIgnoredAnnouncements(
  gsNearMissCollector const& collector)
{
  RequestsByLink requests;
  for (SentRequest const& sent : collector.SentRequests) {
    requests[KeyOf(sent.Host, sent.Upstream)].push_back(&sent);
  }
  std::vector<gsIgnoredAnnouncement> ignoredAnnouncements;
  for (Announcement const& announcement : collector.Announcements) {
    auto found =
      requests.find(KeyOf(announcement.Host, announcement.Upstream));
    if (found == requests.end()) {
      continue;
    }
    gsIgnoredAnnouncement sentWhileLeaving = CountRequests(
      announcement, found->second,
      announcement.ReceivedAt + gsNearMissAnnouncementGracePeriod,
      announcement.ValidUntil);
    sentWhileLeaving.Leaving = true;
    if (announcement.Leaving && sentWhileLeaving.RequestCount > 0) {
      ignoredAnnouncements.push_back(sentWhileLeaving);
    }
    gsIgnoredAnnouncement sentDuringDelay = CountRequests(
      announcement, found->second,
      announcement.ReceivedAt + gsNearMissRetryDelayGracePeriod,
      std::min(announcement.ValidUntil,
               announcement.ReceivedAt + announcement.RetryDelay));
    if (sentDuringDelay.RequestCount > gsNearMissMaxRetryDelayRequests) {
      ignoredAnnouncements.push_back(sentDuringDelay);
    }
  }
  std::stable_sort(
    ignoredAnnouncements.begin(), ignoredAnnouncements.end(),
    [](gsIgnoredAnnouncement const& a, gsIgnoredAnnouncement const& b) {
      return a.AnnouncedAt < b.AnnouncedAt;
    });
  return ignoredAnnouncements;
}
