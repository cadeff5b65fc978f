/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsStutter.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace {

/** Longer answers are not copied. */
constexpr std::size_t MostKept = 65536;

std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

} // namespace

void gsStutterDraw::Apply(nlohmann::json const& control, std::string_view name)
{
  this->Share = control.value("share", 0.0);
  this->PlaceWord = control.value("place", "any");
  this->CutWord = control.value("cut", "any");
  this->Random.seed(control.value("seed", std::uint64_t{ 0 }) ^
                    std::hash<std::string_view>()(name));
}

bool gsStutterDraw::IsDue()
{
  return std::bernoulli_distribution(this->Share)(this->Random);
}

std::size_t gsStutterDraw::Between(std::size_t least, std::size_t most)
{
  return std::uniform_int_distribution<std::size_t>(least, most)(this->Random);
}

gsStutterPlace gsStutterDraw::Place()
{
  constexpr std::array<char const*, 5> words{ "behind", "rest", "next",
                                              "front", "own" };
  auto const* word = std::find(words.begin(), words.end(), this->PlaceWord);
  auto place = word != words.end()
                 ? static_cast<std::size_t>(word - words.begin())
                 : this->Between(0, words.size() - 1);
  return static_cast<gsStutterPlace>(place);
}

std::string gsStutterDraw::Copy(std::string_view answer, std::size_t headBytes)
{
  // Of four copies, two are whole and one is cut within its head.
  std::size_t drawn = this->Between(0, 3);
  bool hasBody = answer.size() > headBytes;
  if (this->CutWord == "head" || (this->CutWord == "any" && drawn == 0)) {
    return this->BeginOf(answer.substr(0, headBytes));
  }
  bool inBody =
    this->CutWord == "body" || (this->CutWord == "any" && drawn == 1);
  return std::string(answer.substr(
    0, inBody && hasBody ? this->Between(headBytes, answer.size() - 1)
                         : answer.size()));
}

std::string gsStutterDraw::BeginOf(std::string_view head)
{
  return std::string(head.substr(0, this->Between(1, head.size() - 1)));
}

gsTime gsStutterDraw::Pause()
{
  constexpr std::size_t most = 50;
  return gsMilliseconds(this->Between(1, most));
}

std::size_t gsAnswerEnds::Take(std::string_view bytes)
{
  std::size_t done = 0;
  while (done < bytes.size() && this->Part != Parts::Whole) {
    if (this->Part == Parts::Endless) {
      done = bytes.size();
    } else if (this->Part == Parts::Body) {
      done += this->TakeBody(bytes.substr(done));
    } else {
      char byte = bytes[done++];
      ++this->Taken;
      this->Line.push_back(byte);
      if (this->Kept.size() < MostKept) {
        this->Kept.push_back(byte);
      }
      if (byte == '\n') {
        this->OnLine();
      } else if (this->Line.size() > MostKept) {
        this->Part = Parts::Endless;
      }
    }
  }
  return done;
}

std::size_t gsAnswerEnds::TakeBody(std::string_view bytes)
{
  std::size_t count = std::min(this->Left, bytes.size());
  this->Left -= count;
  this->Taken += count;
  std::size_t room = MostKept - this->Kept.size();
  this->Kept.append(bytes.substr(0, std::min(count, room)));
  if (this->Left == 0) {
    this->Part = this->Chunked ? Parts::ChunkLine : Parts::Whole;
  }
  return count;
}

void gsAnswerEnds::OnLine()
{
  constexpr std::size_t lineEnd = 2;
  constexpr int hex = 16;
  bool isEmpty = this->Line == "\r\n";
  if (this->Part == Parts::Head) {
    if (this->Kept.compare(0, 7, "HTTP/1.") != 0) {
      this->Part = Parts::Endless;
    } else if (isEmpty) {
      this->OnHead();
    }
  } else if (this->Part == Parts::Trailer) {
    this->Part = isEmpty ? Parts::Whole : Parts::Trailer;
  } else {
    std::size_t size = std::strtoul(this->Line.c_str(), nullptr, hex);
    this->Left = size + lineEnd;
    this->Part = size == 0 ? Parts::Trailer : Parts::Body;
  }
  this->Line.clear();
}

void gsAnswerEnds::OnHead()
{
  constexpr std::size_t statusAt = 9;
  constexpr unsigned long noContent = 204;
  std::string const head = Lower(this->Kept);
  unsigned long status = std::strtoul(head.c_str() + statusAt, nullptr, 10);
  if (status < 200) {
    this->Kept.clear(); // Another head follows.
    this->Taken = 0;
    return;
  }
  this->Head = this->Kept.size();
  std::string const length = "\r\ncontent-length:";
  std::size_t at = head.find(length);
  this->Chunked =
    head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
  if (this->Chunked) {
    this->Part = Parts::ChunkLine;
  } else if (status == noContent) {
    this->Part = Parts::Whole;
  } else if (at == std::string::npos) {
    this->Part = Parts::Endless;
  } else {
    this->Left = std::strtoul(head.c_str() + at + length.size(), nullptr, 10);
    this->Part = this->Left == 0 ? Parts::Whole : Parts::Body;
  }
}

std::string_view gsAnswerEnds::Answer() const
{
  bool hasAll = this->Part == Parts::Whole && this->Taken <= MostKept;
  return hasAll ? std::string_view(this->Kept) : std::string_view();
}

gsStutter::gsStutter(gsLoop& loop, gsStutterDraw& draw, Write write)
  : Draw(draw)
  , Send(std::move(write))
  , Timer(loop, [this] { this->SendPending(); })
{
}

void gsStutter::OnAnswerBytes(std::string& bytes)
{
  if (!this->Draw.IsOn()) {
    this->FollowOnly(bytes);
    return;
  }
  std::string out;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    if (!this->Ends.IsUnderWay()) {
      out += this->FrontOf(rest);
    }
    std::size_t count = this->Ends.Take(rest);
    out.append(rest.substr(0, count));
    rest.remove_prefix(count);
    if (this->Ends.IsWhole()) {
      out += this->BehindWhole();
      this->Ends.Reset();
    }
  }
  bytes = std::move(out);
}

/** Passes the answers on as they are. */
void gsStutter::FollowOnly(std::string_view bytes)
{
  this->Pending.clear();
  while (!bytes.empty()) {
    bytes.remove_prefix(this->Ends.Take(bytes));
    if (this->Ends.IsWhole()) {
      this->Ends.Reset();
    }
  }
}

/** What goes in front of an answer that begins with these bytes. */
std::string gsStutter::FrontOf(std::string_view answer)
{
  std::string front = std::move(this->Pending);
  this->Pending.clear();
  if (this->PendingPlace == gsStutterPlace::Own) {
    gsAnswerEnds ends;
    ends.Take(answer);
    return ends.HeadBytes() == 0
             ? std::string()
             : this->Draw.BeginOf(answer.substr(0, ends.HeadBytes()));
  }
  return this->PendingPlace == gsStutterPlace::Front ? front : std::string();
}

/** Draws what becomes of a copy of the answer that has just ended. */
std::string gsStutter::BehindWhole()
{
  this->PendingPlace = gsStutterPlace::Next;
  if (this->Ends.Answer().empty() || !this->Draw.IsDue()) {
    return {};
  }
  std::string copy =
    this->Draw.Copy(this->Ends.Answer(), this->Ends.HeadBytes());
  this->PendingPlace = this->Draw.Place();
  if (this->PendingPlace == gsStutterPlace::Behind) {
    return copy;
  }
  this->Pending = std::move(copy);
  if (this->PendingPlace == gsStutterPlace::Rest) {
    this->Timer.Once(this->Draw.Pause());
  }
  return {};
}

void gsStutter::OnRequestBytes()
{
  if (this->PendingPlace == gsStutterPlace::Next ||
      this->PendingPlace == gsStutterPlace::Rest) {
    this->SendPending();
  }
}

void gsStutter::SendPending()
{
  this->Timer.Stop();
  bool isBetween = !this->Ends.IsUnderWay();
  if (isBetween && this->Draw.IsOn() && !this->Pending.empty()) {
    std::string copy = std::move(this->Pending);
    this->Pending.clear();
    this->Send(std::move(copy));
  }
}
