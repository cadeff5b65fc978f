/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests the log when its output is not read, and its rate limit. */
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "gsLog.h"
#include "gsLoop.h"

namespace {

/** Redirects standard output to a pipe that is read only by Read. */
class UnreadOutput
{
public:
  UnreadOutput()
    : OriginalOutput(dup(STDOUT_FILENO))
  {
    if (pipe2(this->Pipe, O_CLOEXEC) == 0) {
      dup2(this->Pipe[1], STDOUT_FILENO);
    }
    fcntl(this->Pipe[0], F_SETFL, O_NONBLOCK);
  }
  ~UnreadOutput()
  {
    dup2(this->OriginalOutput, STDOUT_FILENO);
    close(this->OriginalOutput);
    close(this->Pipe[0]);
    close(this->Pipe[1]);
  }
  UnreadOutput(UnreadOutput const&) = delete;
  UnreadOutput& operator=(UnreadOutput const&) = delete;

  std::string Read() const
  {
    std::string all;
    char buffer[4096];
    ssize_t count = read(this->Pipe[0], buffer, sizeof(buffer));
    while (count > 0) {
      all.append(buffer, static_cast<std::size_t>(count));
      count = read(this->Pipe[0], buffer, sizeof(buffer));
    }
    return all;
  }

private:
  int OriginalOutput;
  int Pipe[2] = { -1, -1 };
};

} // namespace

TEST(Log, DropsLinesWhenOutputIsNotRead)
{
  gsLogSetUp(gsLogLevel::Info);
  std::string before;
  std::string after;
  gsTime elapsed{};
  {
    UnreadOutput output;
    gsTime begin = gsLoop::Now();
    for (int i = 0; i < 3000; ++i) {
      gsLogLine("test").With("number", i).With("text", std::string(100, 'x'));
    }
    elapsed = gsLoop::Now() - begin;
    before = output.Read();
    gsLogLine("later").With("number", 0);
    after = output.Read();
  }
  EXPECT_LT(gsToSeconds(elapsed), 5.0);
  EXPECT_NE(before.find("number=1 "), std::string::npos);
  EXPECT_EQ(before.find("number=2999 "), std::string::npos);
  EXPECT_NE(after.find("event=log_dropped lines="), std::string::npos);
  EXPECT_NE(after.find("event=later"), std::string::npos);
}

TEST(Log, BoundsBurst)
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
