/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A server that answers twice, as its clients see it: follows the answers of
 * a connection of HTTP/1.1 and says what surplus bytes go between them, a copy
 * of an answer, whole or cut.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "gsLoop.h"

/** Where a copy of an answer goes. */
enum class gsStutterPlace
{
  Behind, ///< In one piece with the answer's end.
  Rest,   ///< While the connection rests, or with the next request.
  Next,   ///< As soon as the next request has begun to come in.
  Front,  ///< In one piece with the begin of the next answer.
  Own     ///< In one piece with its own begin; a part of its head only.
};

/** What is drawn, for all connections of a link. */
class gsStutterDraw
{
public:
  /**
   * Takes {"share": S, "seed": N, "place": "behind" | "rest" | "next" |
   * "front" | "own" | "any", "cut": "whole" | "head" | "body" | "any"}. The
   * share is that of the answers that are followed by a copy; zero ends it.
   */
  void Apply(nlohmann::json const& control, std::string_view name);

  bool IsOn() const { return this->Share > 0; }
  /** Whether there is a copy of the next answer. */
  bool IsDue();
  gsStutterPlace Place();
  /** A copy, or the begin of one. */
  std::string Copy(std::string_view answer, std::size_t headBytes);
  /** The begin of a head, at least a byte. */
  std::string BeginOf(std::string_view head);
  gsTime Pause();

private:
  std::size_t Between(std::size_t least, std::size_t most);

  double Share = 0;
  std::string PlaceWord;
  std::string CutWord;
  std::mt19937_64 Random;
};

/** Finds the ends of answers in the bytes of a connection. */
class gsAnswerEnds
{
public:
  /** Takes bytes up to the end of an answer, or all. \return Their number. */
  std::size_t Take(std::string_view bytes);
  /** Whether all of an answer has been taken. */
  bool IsWhole() const { return this->Part == Parts::Whole; }
  /** Whether some of an answer has been taken, but not all. */
  bool IsUnderWay() const { return !this->Kept.empty() && !this->IsWhole(); }
  /** Begins with the next answer. */
  void Reset() { *this = gsAnswerEnds(); }

  /** All bytes of the answer; empty if they are too many. */
  std::string_view Answer() const;
  std::size_t HeadBytes() const { return this->Head; }

private:
  enum class Parts
  {
    Head,
    Body, ///< Of a stated length, or the rest of a chunk with its line end.
    ChunkLine,
    Trailer,
    Endless, ///< The connection's end is that of the answer, or no HTTP/1.1.
    Whole
  };

  void OnLine();
  void OnHead();
  std::size_t TakeBody(std::string_view bytes);

  Parts Part = Parts::Head;
  std::string Kept; ///< Of the answer, up to a bound.
  std::string Line; ///< The one under way, outside bodies.
  std::size_t Taken = 0;
  std::size_t Head = 0; ///< Bytes of the head, once it is whole.
  std::size_t Left = 0; ///< Of the body or chunk.
  bool Chunked = false;
};

/** One connection. */
class gsStutter
{
public:
  using Write = std::function<void(std::string bytes)>;

  /** \param write Sends bytes to the client. */
  gsStutter(gsLoop& loop, gsStutterDraw& draw, Write write);

  /** Takes the server's bytes; what is to be sent in place of them is put
   * there. */
  void OnAnswerBytes(std::string& bytes);
  /** The client has sent some bytes, not passed on yet. */
  void OnRequestBytes();

private:
  void FollowOnly(std::string_view bytes);
  std::string FrontOf(std::string_view answer);
  std::string BehindWhole();
  void SendPending();

  gsStutterDraw& Draw;
  Write Send;
  gsAnswerEnds Ends;
  std::string Pending; ///< A copy that is still to be sent.
  gsStutterPlace PendingPlace = gsStutterPlace::Next;
  gsTimer Timer;
};
