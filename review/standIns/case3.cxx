/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Case 3: requests whose paths hold segments of one or two dots.
 *
 * case3 PROGRAM FOLDER RECORD TROUBLE
 */
#include "standIns.h"

#include <cstdio>
#include <exception>

#include <unistd.h>

namespace {

using namespace review;

struct Sent
{
  std::string Target;
  std::string Key;
};

int RunCase(std::string const& program, std::string const& folder,
            std::string const& recordFile, bool trouble)
{
  // These outlive the function, as the threads of stand-ins use them.
  Record& record = *new Record(recordFile);
  Store& store = *new Store;
  Arrivals& reached = *new Arrivals;
  for (int i = 1; i <= 2; ++i) {
    StartRunner(store, reached, "i-sound-" + std::to_string(i), "service-a",
                i == 1 ? "zone-a" : "zone-b",
                [](int descriptor, Head const& head, std::string const&) {
                  return SendAll(descriptor,
                                 AnswerHead(head.Find("gradescale-attempt-id"),
                                            "Content-Length: 2\r\n") +
                                   "ok");
                });
  }
  Json open = Route("/open/", "idempotent", 4000, 300);
  open["allow_anonymous"] = true;
  Json closed = Route("/closed/", "non_idempotent", 4000, 300);
  store.Put("op", "config", Configuration(Json::array({ open, closed })));
  Host a(program, folder, "edge-a", "zone-a", store);
  Host b(program, folder, "edge-b", "zone-b", store);
  std::vector<std::string> seeds{ a.PeerAddress, b.PeerAddress };
  a.Start(seeds);
  b.Start(seeds);
  if (!a.WaitReady(15) || !b.WaitReady(15)) {
    record.Line("a host did not get ready");
    return 2;
  }
  Sleep(6); // They know each other, and their numbers.
  std::vector<Sent> const plain{ { "/closed/a/b/c", "key-one" },
                                 { "/closed/a?x=/../y", "key-one" },
                                 { "/open/a/b", "" } };
  std::vector<Sent> const dotted{ { "/closed/a/../b", "key-one" },
                                  { "/closed/./a", "key-one" },
                                  { "/closed/a/..", "key-one" },
                                  { "/open/../closed/a", "" } };
  int changed = 0;
  int ran = 0;
  int number = 0;
  for (Host const* host : { &a, &b }) {
    for (auto const* list : { &plain, trouble ? &dotted : &plain }) {
      for (Sent const& sent : *list) {
        std::string id = "path." + std::to_string(++number);
        int descriptor = Connect(host->Front);
        Reader reader(descriptor);
        Answer answer = Ask(descriptor, reader,
                            Request("POST", sent.Target, id, sent.Key, 3000));
        close(descriptor);
        record.Line("client " + id + ": POST " + sent.Target + " to " +
                    host->Name + (sent.Key.empty() ? ", no key" : ", a key") +
                    ": status " + std::to_string(answer.Status));
        for (Arrival const& arrival : reached.All()) {
          if (arrival.Id != id) {
            continue;
          }
          ++ran;
          bool same = arrival.FirstLine == "POST " + sent.Target + " HTTP/1.1";
          changed += same ? 0 : 1;
          record.Line("runner " + arrival.Runner + ": runs " + id + ": " +
                      arrival.FirstLine + ", tenant " +
                      (arrival.Tenant.empty() ? "none" : arrival.Tenant) +
                      (same ? "" : "  <-- another path"));
        }
      }
    }
  }
  record.Line("run: " + std::to_string(ran) +
              "; with a changed path: " + std::to_string(changed));
  if (ran == 0) {
    return 2;
  }
  return changed > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 5) {
    return 2;
  }
  int result = 2;
  try {
    result = RunCase(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  } catch (std::exception const& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  _exit(result);
}
