/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Log lines, when nobody reads them. */
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "gsLog.h"
#include "gsLoop.h"

namespace {

/** Standard output is a pipe that this object reads only when asked. */
class UnreadOutput
{
public:
  UnreadOutput()
    : Before(dup(STDOUT_FILENO))
  {
    if (pipe2(this->Ends, O_CLOEXEC) == 0) {
      dup2(this->Ends[1], STDOUT_FILENO);
    }
    fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~UnreadOutput()
  {
    dup2(this->Before, STDOUT_FILENO);
    close(this->Before);
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  UnreadOutput(UnreadOutput const&) = delete;
  UnreadOutput& operator=(UnreadOutput const&) = delete;

  std::string Read() const
  {
    std::string all;
    char block[4096];
    ssize_t count = read(this->Ends[0], block, sizeof(block));
    while (count > 0) {
      all.append(block, static_cast<std::size_t>(count));
      count = read(this->Ends[0], block, sizeof(block));
    }
    return all;
  }

private:
  int Before;
  int Ends[2] = { -1, -1 };
};

} // namespace

TEST(Log, AReaderThatDoesNotReadIsNotWaitedFor)
{
  gsLogSetUp(gsLogLevel::Info);
  std::string before;
  std::string after;
  gsTime took{};
  {
    UnreadOutput output;
    gsTime begin = gsLoop::Now();
    for (int i = 0; i < 3000; ++i) {
      gsLogLine("test").With("number", i).With("text", std::string(100, 'x'));
    }
    took = gsLoop::Now() - begin;
    before = output.Read();
    gsLogLine("later").With("number", 0);
    after = output.Read();
  }
  EXPECT_LT(gsToSeconds(took), 5.0);
  EXPECT_NE(before.find("number=1 "), std::string::npos);
  EXPECT_EQ(before.find("number=2999 "), std::string::npos);
  EXPECT_NE(after.find("event=log_dropped lines="), std::string::npos);
  EXPECT_NE(after.find("event=later"), std::string::npos);
}

TEST(Log, ABurstIsBounded)
{
  gsLogSetUp(gsLogLevel::Info);
  std::size_t bytes = 0;
  {
    UnreadOutput output;
    for (int i = 0; i < 50000; ++i) {
      gsLogLine("test").With("number", i);
      bytes += i % 50 == 0 ? output.Read().size() : 0;
    }
    bytes += output.Read().size();
  }
  constexpr std::size_t lineBytes = 75;
  EXPECT_LT(bytes, 20000 * lineBytes);
}
