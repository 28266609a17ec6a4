#include "http.h"

#include <strings.h>

#include <array>
#include <cstdlib>

namespace review {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool IsSameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

std::string Word(const std::string& line, int index) {
  size_t start = 0;
  for (; index > 0 && start != std::string::npos; --index) {
    start = line.find(' ', start);
    if (start != std::string::npos)
      ++start;
  }
  if (start == std::string::npos)
    return {};
  return line.substr(start, line.find(' ', start) - start);
}

BodyEnd ToBodyEnd(ReadEnd end) {
  switch (end) {
    case ReadEnd::kBytes:
      return BodyEnd::kComplete;
    case ReadEnd::kClosed:
      return BodyEnd::kClosed;
    case ReadEnd::kReset:
      return BodyEnd::kReset;
    case ReadEnd::kTimeout:
      return BodyEnd::kTimeout;
  }
  return BodyEnd::kMalformed;
}

// Reads a body in chunks, without trailers.
BodyEnd ReadChunks(Connection& connection, std::string* body) {
  for (;;) {
    ReadEnd ended{};
    const std::string line = connection.ReadThrough("\r\n", &ended);
    if (ended != ReadEnd::kBytes)
      return ToBodyEnd(ended);
    char* stop = nullptr;
    const size_t size = std::strtoul(line.c_str(), &stop, 16);
    if (stop == line.c_str())
      return BodyEnd::kMalformed;
    const std::string chunk = connection.ReadExactly(size + 2, &ended);
    if (chunk.size() < size + 2) {
      body->append(chunk);
      return ToBodyEnd(ended);
    }
    if (size == 0)
      return BodyEnd::kComplete;
    body->append(chunk, 0, size);
  }
}

}  // namespace

std::string Head::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (IsSameName(field, name))
      return value;
  }
  return {};
}

std::string Head::Method() const {
  return Word(start_line, 0);
}

std::string Head::Target() const {
  return Word(start_line, 1);
}

int Head::Status() const {
  return start_line.starts_with("HTTP/1.")
             ? std::atoi(Word(start_line, 1).c_str())
             : 0;
}

std::string_view ToString(BodyEnd end) {
  constexpr std::array<std::string_view, 5> kNames = {
      "complete", "closed", "reset", "time-out", "malformed"};
  return kNames[static_cast<size_t>(end)];
}

std::optional<Head> ReadHead(Connection& connection, ReadEnd* ended) {
  const std::string text = connection.ReadThrough(kHeadEnd, ended);
  if (text.empty())
    return std::nullopt;
  Head head;
  for (size_t start = 0; start + 2 < text.size();) {
    const size_t end = text.find("\r\n", start);
    const std::string line = text.substr(start, end - start);
    start = end + 2;
    const size_t colon = line.find(':');
    if (head.start_line.empty()) {
      head.start_line = line;
    } else if (colon != std::string::npos) {
      head.fields.emplace_back(line.substr(0, colon),
                               Trim(std::string_view(line).substr(colon + 1)));
    }
  }
  return head;
}

Response ReadResponse(Connection& connection, bool has_body) {
  Response response;
  ReadEnd ended{};
  const auto head = ReadHead(connection, &ended);
  if (!head) {
    response.end = ToBodyEnd(ended);
    return response;
  }
  response.head = *head;
  const std::string length = head->Find("Content-Length");
  if (head->Status() == 0) {
    response.end = BodyEnd::kMalformed;
  } else if (!has_body) {
    response.end = BodyEnd::kComplete;
  } else if (IsSameName(head->Find("Transfer-Encoding"), "chunked")) {
    response.end = ReadChunks(connection, &response.body);
  } else if (!length.empty()) {
    const size_t size = std::strtoul(length.c_str(), nullptr, 10);
    response.body = connection.ReadExactly(size, &ended);
    response.end =
        response.body.size() == size ? BodyEnd::kComplete : ToBodyEnd(ended);
  } else {
    response.body = connection.ReadToEnd(&ended);
    response.end =
        ended == ReadEnd::kClosed ? BodyEnd::kComplete : ToBodyEnd(ended);
  }
  return response;
}

std::string ReadRequestBody(Connection& connection, const Head& head) {
  const std::string length = head.Find("Content-Length");
  if (length.empty())
    return {};
  ReadEnd ended{};
  return connection.ReadExactly(std::strtoul(length.c_str(), nullptr, 10),
                                &ended);
}

std::string EncodeHead(const std::string& start_line, const Fields& fields) {
  std::string text = start_line + "\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  return text + "\r\n";
}

std::string EncodeMessage(const std::string& start_line,
                          Fields fields,
                          const std::string& body) {
  fields.emplace_back("Content-Length", std::to_string(body.size()));
  return EncodeHead(start_line, fields) + body;
}

}  // namespace review
