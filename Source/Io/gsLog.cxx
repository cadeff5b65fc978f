/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLog.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "gsLoop.h"

namespace {

log4cxx::LoggerPtr const& Logger()
{
  static log4cxx::LoggerPtr const logger =
    log4cxx::Logger::getLogger("gradescale");
  return logger;
}

log4cxx::LevelPtr LevelOf(gsLogLevel level)
{
  switch (level) {
    case gsLogLevel::Debug:
      return log4cxx::Level::getDebug();
    case gsLogLevel::Warn:
      return log4cxx::Level::getWarn();
    case gsLogLevel::Error:
      return log4cxx::Level::getError();
    case gsLogLevel::Info:
      break;
  }
  return log4cxx::Level::getInfo();
}

bool NeedsQuotes(std::string_view value)
{
  return value.empty() ||
         value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

void AppendValue(std::string& text, std::string_view value)
{
  if (!NeedsQuotes(value)) {
    text += value;
    return;
  }
  text += '"';
  for (char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    bool control = static_cast<unsigned char>(c) < ' ';
    text += control ? ' ' : c;
  }
  text += '"';
}

/** Bounds what is written in a burst, and never waits for the reader. */
class Gate
{
public:
  /** Whether a line may be written now; counts it if not. */
  bool Pass()
  {
    gsTime now = gsLoop::Now();
    double seconds = gsToSeconds(now - this->Last);
    this->Last = now;
    this->Saved = std::min(Burst, this->Saved + seconds * PerSecond);
    if (this->Saved < 1 || !Writable()) {
      ++this->Dropped;
      return false;
    }
    this->Saved -= 1;
    return true;
  }

  /** Lines dropped since it was last asked. */
  std::uint64_t TakeDropped() { return std::exchange(this->Dropped, 0); }

private:
  static constexpr double PerSecond = 2000;
  static constexpr double Burst = 4000;

  /** A line is shorter than what a writable pipe takes at once. */
  static bool Writable()
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  }

  gsTime Last = gsLoop::Now();
  double Saved = Burst;
  std::uint64_t Dropped = 0;
};

Gate& TheGate()
{
  static Gate gate;
  return gate;
}

/** Longest line; a pipe takes as much without waiting. */
constexpr std::size_t LongestLine = 3900;

void WriteLine(gsLogLevel level, std::string& text)
{
  if (!TheGate().Pass()) {
    return;
  }
  std::uint64_t dropped = TheGate().TakeDropped();
  if (dropped > 0) {
    Logger()->forcedLog(log4cxx::Level::getWarn(),
                        "event=log_dropped lines=" + std::to_string(dropped));
  }
  if (text.size() > LongestLine) {
    text.resize(LongestLine);
  }
  Logger()->forcedLog(LevelOf(level), text);
}

} // namespace

void gsLogSetUp(gsLogLevel least)
{
  log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
    LOG4CXX_STR("ts=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p %m%n")));
  log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
    layout, log4cxx::ConsoleAppender::getSystemOut()));
  log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(LevelOf(least));
}

gsLogLevel gsLogLevelNamed(std::string_view name)
{
  if (name == "debug") {
    return gsLogLevel::Debug;
  }
  if (name == "warn") {
    return gsLogLevel::Warn;
  }
  if (name == "error") {
    return gsLogLevel::Error;
  }
  return gsLogLevel::Info;
}

gsLogLine::gsLogLine(std::string_view event, gsLogLevel level)
  : Level(level)
  , Enabled(Logger()->isEnabledFor(LevelOf(level)))
{
  if (this->Enabled) {
    constexpr std::size_t usual = 256;
    this->Text.reserve(usual);
    this->Text = "event=";
    AppendValue(this->Text, event);
  }
}

gsLogLine::~gsLogLine()
{
  if (this->Enabled) {
    WriteLine(this->Level, this->Text);
  }
}

gsLogLine& gsLogLine::With(std::string_view key, std::string_view value)
{
  if (this->Enabled) {
    this->Text += ' ';
    this->Text += key;
    this->Text += '=';
    AppendValue(this->Text, value);
  }
  return *this;
}

gsLogLine& gsLogLine::With(std::string_view key, char const* value)
{
  return this->With(key, std::string_view(value));
}

gsLogLine& gsLogLine::With(std::string_view key, std::string const& value)
{
  return this->With(key, std::string_view(value));
}

gsLogLine& gsLogLine::With(std::string_view key, std::uint64_t value)
{
  return this->With(key, std::string_view(std::to_string(value)));
}

gsLogLine& gsLogLine::With(std::string_view key, std::uint32_t value)
{
  return this->With(key, std::string_view(std::to_string(value)));
}

gsLogLine& gsLogLine::With(std::string_view key, int value)
{
  return this->With(key, std::string_view(std::to_string(value)));
}

gsLogLine& gsLogLine::With(std::string_view key, bool value)
{
  return this->With(key, value ? "yes" : "no");
}

gsLogLine& gsLogLine::With(std::string_view key, gsTime value)
{
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.3f", gsToSeconds(value) * 1e3);
  return this->With(key, std::string_view(buffer));
}

gsLogLine& gsLogLine::With(gsError const& error)
{
  return this->With("code", error.Code)
    .With("step", error.Step)
    .With("peer", error.Peer)
    .With("message", error.Message);
}
