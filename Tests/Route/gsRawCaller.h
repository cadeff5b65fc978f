/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A caller that records its connection byte by byte, and how it ended. A
 * library hides whether an answer states its own end.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gsLoop.h"

/** An answer as its bytes state it. */
struct gsRawAnswer
{
  unsigned Status = 0; ///< Zero while the head is incomplete.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;                           ///< Without the chunks' framing.
  bool HasLength = false;
  bool HasChunks = false;
  /** All bytes of the stated length, or the last chunk, have come. */
  bool StatesItsEnd = false;
};

/** Parses the final answer; interim ones before it are skipped. */
gsRawAnswer gsParseRawAnswer(std::string_view bytes);

/** Parses all final answers of a connection to requests that are not HEAD.
 * Bytes that follow an answer that states no end belong to it. */
std::vector<gsRawAnswer> gsParseRawAnswers(std::string_view bytes);

class gsRawCaller
{
public:
  enum class End
  {
    Open,
    Closed, ///< By a FIN.
    Reset
  };

  gsRawCaller(gsLoop& loop, std::uint16_t port, std::string_view request);
  ~gsRawCaller();
  gsRawCaller(gsRawCaller const&) = delete;
  gsRawCaller& operator=(gsRawCaller const&) = delete;

  gsRawAnswer Answer() const { return gsParseRawAnswer(this->Bytes); }
  /** All final answers that have begun, in order. */
  std::vector<gsRawAnswer> Answers() const
  {
    return gsParseRawAnswers(this->Bytes);
  }
  /** All bytes that have come. */
  std::string const& Received() const { return this->Bytes; }
  End Ended() const { return this->EndSeen; }
  /** Whether nothing more can come of the answer. */
  bool Done() const;
  /** Whether a caller may take the answer for a complete one. */
  bool LooksComplete() const;

  /** Sends more on the connection. */
  void Send(std::string_view bytes) const;
  /** Says that it sends no more; what arrives is still read. */
  void CloseSending();

private:
  void OnReadable();

  int Descriptor;
  std::string Bytes;
  End EndSeen = End::Open;
  std::unique_ptr<gsIoWatch> Watch;
};
