/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Splits a stream of server-sent events (text/event-stream) into complete
 * events. A partial last event of a failed upstream therefore never reaches
 * the caller, and a stream can be resumed after its last complete event.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

class gsEventSplitter
{
public:
  /**
   * Ends the stream before the first event with a field of one of these names,
   * which are in lower case and refer to constants. Such an event contains the
   * head of another answer: an answer may stop anywhere in its body, and
   * another one follow on the same connection within what the framing of the
   * first one covers.
   */
  void StopAtFields(std::vector<std::string_view> names)
  {
    this->StopFields = std::move(names);
  }
  /** Whether the stream has been ended so; later bytes are dropped. */
  bool HasStopped() const { return this->Stopped; }

  /** Drops events with ids up to this one, which the caller has already
   * received. */
  void SkipThrough(std::uint64_t id) { this->Skip = id; }

  /** Appends received bytes; returns all newly completed events that are not
   * dropped. */
  std::string Append(std::string_view bytes);

  /** Whether the buffered bytes are a part of an event, and not only the line
   * ends that may follow one. */
  bool IsInsideEvent() const;

  /** Removes and returns the buffered bytes after the last complete event. For
   * use when the stream has ended properly and not inside an event. */
  std::string TakeRemainder();

  /** Id of the last returned event that has one. */
  std::optional<std::uint64_t> LastId() const { return this->Last; }
  std::uint64_t EventCount() const { return this->Count; }
  /** Events returned, and those dropped whose id is above that of all dropped
   * before. */
  std::uint64_t ProgressCount() const { return this->Count + this->Dropped; }
  std::size_t BufferedBytes() const { return this->Buffer.size(); }
  /** Bytes allocated for the incomplete event. */
  std::size_t HeldBytes() const { return this->Buffer.capacity(); }

private:
  bool IsOfOtherAnswer(std::string_view event) const;
  std::size_t FindNextEnd(std::string_view text, std::size_t from);

  std::string Buffer; ///< Bytes from the start of the first incomplete event.
  std::size_t Scanned = 0; ///< No event ends before this offset in Buffer.
  /** Whether there is more than line ends before Scanned. */
  bool HasContent = false;
  std::optional<std::uint64_t>
    Skip; ///< Events with ids up to this one are dropped.
  std::optional<std::uint64_t>
    Last;                    ///< Id of the last returned event that has one.
  std::uint64_t Count = 0;   ///< Events returned.
  std::uint64_t Dropped = 0; ///< Events dropped, each id above the last one's.
  std::optional<std::uint64_t> LastDropped; ///< Highest id of those.
  std::vector<std::string_view> StopFields;
  bool Stopped = false; ///< No event is returned any more.
};
