#include "teaselthread/request_timeline.h"

#include <algorithm>
#include <sstream>

namespace teaselthread {
namespace {

namespace json = boost::json;

// Fields that are left out of the name=value pairs, because they are printed
// first or occur in every line.
constexpr std::string_view kCommonFields[] = {"time", "level", "event", "id"};
// Events of gateways and endpoints that may explain what happened to a request.
constexpr std::string_view kStoreEvents[] = {"store-lost", "store-regained",
                                             "zones-evacuated"};
constexpr std::string_view kEndpointEvents[] = {
    "endpoint-ejected", "endpoint-readmitted", "endpoints-changed",
    "endpoint-leaving", "endpoint-paused"};
// Fields of endpoints-changed that list endpoints.
constexpr std::string_view kEndpointLists[] = {"ready", "draining", "removed"};

std::string Text(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

template <size_t kCount>
bool Contains(const std::string_view (&names)[kCount], std::string_view name) {
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

// The ids in `value`, if it is a list, that are among `endpoints`.
json::array IdsAmong(const std::set<std::string>& endpoints,
                     const json::value& value) {
  json::array ids;
  const json::array* list = value.if_array();
  if (!list)
    return ids;
  for (const json::value& id : *list) {
    if (id.is_string() && endpoints.contains(std::string(id.get_string())))
      ids.push_back(id);
  }
  return ids;
}

}  // namespace

void RequestTimeline::Read(std::istream& log, const std::string& source) {
  std::string text;
  while (std::getline(log, text)) {
    const size_t start = text.find('{');
    boost::system::error_code failure;
    json::value value;
    if (start != std::string::npos)
      value = json::parse(std::string_view(text).substr(start), failure);
    if (failure || !value.is_object()) {
      ++unreadable_lines_;
      continue;
    }
    lines_.push_back({Text(value.get_object(), "time"), source,
                      std::move(value.get_object())});
  }
}

std::string RequestTimeline::Tell() const {
  std::vector<const Line*> ordered;
  for (const Line& line : lines_)
    ordered.push_back(&line);
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const Line* a, const Line* b) { return a->time < b->time; });
  std::set<std::string> endpoints;
  bool has_request = false;
  for (const Line* line : ordered) {
    if (Text(line->fields, "id") != id_)
      continue;
    has_request = true;
    if (line->fields.contains("endpoint"))
      endpoints.insert(Text(line->fields, "endpoint"));
  }
  if (!has_request)
    return {};
  std::ostringstream timeline;
  for (const Line* line : ordered) {
    if (!IsRelevant(*line, endpoints))
      continue;
    timeline << line->time << " " << line->source << " "
             << Text(line->fields, "event");
    for (const auto& [key, value] : line->fields) {
      const std::string_view name(key.data(), key.size());
      if (Contains(kCommonFields, name))
        continue;
      if (!Contains(kEndpointLists, name)) {
        timeline << " " << name << "=" << json::serialize(value);
        continue;
      }
      const json::array ids = IdsAmong(endpoints, value);
      if (!ids.empty())
        timeline << " " << name << "=" << json::serialize(ids);
    }
    timeline << "\n";
  }
  return timeline.str();
}

bool RequestTimeline::IsRelevant(const Line& line,
                                 const std::set<std::string>& endpoints) const {
  if (Text(line.fields, "id") == id_)
    return true;
  const std::string event = Text(line.fields, "event");
  if (Contains(kStoreEvents, event))
    return true;
  if (!Contains(kEndpointEvents, event))
    return false;
  return endpoints.contains(Text(line.fields, "endpoint")) ||
         std::any_of(line.fields.begin(), line.fields.end(),
                     [&](const auto& field) {
                       return !IdsAmong(endpoints, field.value()).empty();
                     });
}

}  // namespace teaselthread
