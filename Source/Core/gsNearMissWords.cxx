/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNearMissWords.h"

#include <algorithm>
#include <unordered_map>

namespace {

using Word = gsNearMissReader::Word;
using Sent = gsNearMissReader::Sent;

/** A host's requests to one upstream, in the order of the log. */
using Sendings = std::unordered_map<std::string, std::vector<Sent const*>>;

std::string KeyOf(std::string const& host, std::string const& upstream)
{
  return host + '\n' + upstream;
}

/** Counts the requests of a span after a word. */
gsIgnoredWord Count(Word const& word, std::vector<Sent const*> const& sendings,
                    gsTime from, gsTime until)
{
  gsIgnoredWord ignored;
  ignored.Upstream = word.Upstream;
  ignored.Host = word.Host;
  ignored.At = word.At;
  for (Sent const* sent : sendings) {
    if (sent->At > from && sent->At < until) {
      ++ignored.Count;
      ignored.Last = sent->At - word.At;
      ignored.LastRequest = sent->Request;
    }
  }
  return ignored;
}

} // namespace

std::vector<gsIgnoredWord> gsIgnoredWords(gsNearMissReader const& reader)
{
  Sendings sendings;
  for (Sent const& sent : reader.Sendings) {
    sendings[KeyOf(sent.Host, sent.Upstream)].push_back(&sent);
  }
  std::vector<gsIgnoredWord> all;
  for (Word const& word : reader.Words) {
    auto found = sendings.find(KeyOf(word.Host, word.Upstream));
    if (found == sendings.end()) {
      continue;
    }
    gsIgnoredWord leaves =
      Count(word, found->second, word.At + gsNearWordBound, word.Until);
    leaves.Leaving = true;
    if (word.Leaving && leaves.Count > 0) {
      all.push_back(leaves);
    }
    gsIgnoredWord rests =
      Count(word, found->second, word.At + gsNearRestBegins,
            std::min(word.Until, word.At + word.Rest));
    if (rests.Count > gsNearRestMost) {
      all.push_back(rests);
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](gsIgnoredWord const& a, gsIgnoredWord const& b) {
                     return a.At < b.At;
                   });
  return all;
}
