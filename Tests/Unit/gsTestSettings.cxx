/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests the validation of settings and configuration files: the message for
 * each JSON file in Tests/Cases is compared with the text file of the same
 * name.
 */
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "gsDocumentJson.h"
#include "gsSettings.h"

namespace {

namespace fs = std::filesystem;

std::string ReadFile(fs::path const& path)
{
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<fs::path> CaseFiles(std::string const& feature)
{
  std::vector<fs::path> files;
  for (auto const& entry :
       fs::directory_iterator(fs::path(GRADESCALE_CASES) / feature)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path());
    }
  }
  return files;
}

template<typename Result>
void ExpectMessage(fs::path const& path, Result const& result)
{
  std::string message = result ? "valid" : result.error().Message;
  fs::path expected = path;
  expected.replace_extension(".txt");
  EXPECT_EQ(message + "\n", ReadFile(expected)) << path;
}

} // namespace

TEST(Settings, MessagesMatchExpectedText)
{
  std::vector<fs::path> files = CaseFiles("Settings");
  EXPECT_GE(files.size(), 17U);
  for (fs::path const& path : files) {
    ExpectMessage(
      path, gsSettingsFromText(ReadFile(path), path.filename().string()));
  }
}

TEST(Check, MessagesMatchExpectedText)
{
  std::vector<fs::path> files = CaseFiles("Check");
  EXPECT_GE(files.size(), 9U);
  for (fs::path const& path : files) {
    ExpectMessage(
      path, gsDocumentFromText(ReadFile(path), path.filename().string()));
  }
}

TEST(Check, ExamplesAreValid)
{
  int checked = 0;
  for (auto const& entry :
       fs::recursive_directory_iterator(GRADESCALE_EXAMPLES)) {
    std::string name = entry.path().filename().string();
    if (entry.path().extension() != ".json") {
      continue;
    }
    ++checked;
    std::string text = ReadFile(entry.path());
    if (name.find("settings") != std::string::npos) {
      auto settings = gsSettingsFromText(text, name);
      EXPECT_TRUE(settings) << settings.error().Message;
    } else {
      auto document = gsDocumentFromText(text, name);
      EXPECT_TRUE(document) << document.error().Message;
    }
  }
  EXPECT_GE(checked, 4);
}

TEST(Settings, RandomInputIsParsedOrRejected)
{
  std::string const valid =
    ReadFile(fs::path(GRADESCALE_CASES) / "Settings" / "Valid.json");
  gsRandom random(11);
  int errors = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string text = valid;
    std::size_t edits = 1 + random() % 4;
    for (std::size_t i = 0; i < edits; ++i) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    errors += gsSettingsFromText(text, "random") ? 0 : 1;
    errors += gsDocumentFromText(text, "random") ? 0 : 1;
  }
  EXPECT_GT(errors, 1000);
}
