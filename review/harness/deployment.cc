#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace review {
namespace {

constexpr char kProgram[] = "target/src/teaselthread/teaselthread";
constexpr char kObjectsPath[] = "/-/objects/";
constexpr double kReadyTimeout = 15;
constexpr double kDiscoverySeconds = 5;

std::string Field(const std::string& query, const std::string& name) {
  const std::string text = "&" + query;
  const size_t start = text.find("&" + name + "=");
  if (start == std::string::npos)
    return "";
  const size_t value = start + name.size() + 2;
  return text.substr(value, text.find('&', value) - value);
}

std::string ObjectText(const std::string& name,
                       uint64_t revision,
                       const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created":1,"finalizers":[],"delete_pending":false},"spec":)" +
         spec + R"(,"status":null})";
}

std::string Response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " S\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RouteText(const std::string& name,
                      const std::string& kind,
                      const std::string& service,
                      int timeout_ms,
                      int objective_ms,
                      int attempts,
                      bool is_resumable) {
  const bool is_stream = kind == "streaming";
  std::string text =
      R"({"name":"r-)" + name + R"(","host":")" + kHost +
      R"(","path_prefix":"/)" + name + R"(/","kind":")" + kind +
      R"(","timeout_ms":)" + std::to_string(timeout_ms) + R"(,"slo_ms":)" +
      std::to_string(objective_ms) + R"(,"priority":1,"service":")" + service +
      R"(","max_attempts":)" + std::to_string(attempts) + R"(,"public":false)";
  if (is_stream) {
    text += R"(,"session_affinity":true,"gap_slo_ms":600,"resumable":)";
    text += is_resumable ? "true" : "false";
  }
  return text + "}";
}

std::string ConfigurationText() {
  return R"({"version":7,"routes":[)" +
         RouteText("review", "streaming", "pool", 12000, 1000, 2, true) + "," +
         RouteText("summary", "streaming", "pool", 10000, 1200, 1, false) +
         "," +
         RouteText("order", "non_idempotent", "desk", 800, 120, 1, false) +
         "," + RouteText("status", "idempotent", "desk", 800, 120, 2, false) +
         R"(],"services":[{"name":"pool","health_path":"/health",)"
         R"("max_conns":360,"protocol":"h1","tls":false,"cold_start_s":3.0,)"
         R"("cold_per_s":10.0,"engine":{"slots":64,"kv_capacity":455169}},)"
         R"({"name":"desk","health_path":"/health","max_conns":100,)"
         R"("protocol":"h1","tls":false,"cold_start_s":0.0,)"
         R"("cold_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000},"tenants":[{"name":")" +
         kTenant + R"(","api_keys":[")" + kKey + R"("]}]})";
}

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return pattern;
}

std::string ZoneName(size_t index) {
  static const char* const zones[] = {"palermo", "catania", "agrigento"};
  return zones[index % std::size(zones)];
}

}  // namespace

void Record::Write(const std::string& text) {
  char time[32];
  (void)std::snprintf(time, sizeof(time), "%8.3f ", Now());
  const std::lock_guard lock(mutex_);
  file_ << time << text << std::endl;
}

Store::Store(uint16_t port)
    : server_(port, [this](Connection& connection) { Serve(connection); }) {}

void Store::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard lock(mutex_);
  objects_[kind][name] = {++revision_, spec};
  history_.push_back({revision_, kind,
                      R"({"removed":false,"object":)" +
                          ObjectText(name, revision_, spec) + "}"});
  changed_.notify_all();
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end())
    return;
  ++revision_;
  history_.push_back({revision_, kind,
                      R"({"removed":true,"object":)" +
                          ObjectText(name, revision_, found->second.spec) +
                          "}"});
  objects_[kind].erase(found);
  changed_.notify_all();
}

void Store::Serve(Connection& connection) {
  while (const auto request = connection.ReadMessage()) {
    int status = 200;
    const std::string body = Respond(*request, &status);
    if (!connection.Write(Response(status, body)))
      return;
  }
}

std::string Store::Respond(const HttpMessage& request, int* status) {
  const std::string target = request.Target();
  if (!target.starts_with(kObjectsPath)) {
    *status = 404;
    return "{}";
  }
  const size_t question = target.find('?');
  const std::string path = target.substr(
      sizeof(kObjectsPath) - 1, question == std::string::npos
                                    ? question
                                    : question - (sizeof(kObjectsPath) - 1));
  const std::string query =
      question == std::string::npos ? "" : target.substr(question + 1);
  const std::string kind = path.substr(0, path.find('/'));
  const std::string name =
      path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
  const std::string from = Field(query, "watch_rev");
  if (request.Method() == "GET" && !from.empty()) {
    const double wait = std::atof(Field(query, "wait_ms").c_str()) / 1000;
    return Watch(kind, std::strtoull(from.c_str(), nullptr, 10), wait);
  }
  if (request.Method() == "GET")
    return List(kind);
  if (request.Method() == "DELETE") {
    Remove(kind, name);
    return "{}";
  }
  return Write(request, kind, name, status);
}

std::string Store::List(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  std::string items;
  for (const auto& [name, object] : objects_[kind]) {
    items += items.empty() ? "" : ",";
    items += ObjectText(name, object.revision, object.spec);
  }
  return R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
         std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& kind, uint64_t from, double wait) {
  const double until = Now() + wait;
  std::unique_lock lock(mutex_);
  for (;;) {
    std::string events;
    for (const Change& change : history_) {
      if (change.kind != kind || change.revision <= from)
        continue;
      events += events.empty() ? "" : ",";
      events += change.event;
    }
    const double left = until - Now();
    if (!events.empty() || left <= 0 || stopping_) {
      return R"({"events":[)" + events + R"(],"at":)" +
             std::to_string(revision_) + "}";
    }
    changed_.wait_for(lock, std::chrono::duration<double>(left));
  }
}

std::string Store::Write(const HttpMessage& request,
                         const std::string& kind,
                         const std::string& name,
                         int* status) {
  const boost::json::value document = boost::json::parse(request.body);
  const std::string own_name = name.empty()
                                   ? boost::json::value_to<std::string>(
                                         document.at("metadata").at("name"))
                                   : name;
  const std::string spec = boost::json::serialize(document.at("spec"));
  {
    const std::lock_guard lock(mutex_);
    const bool exists = objects_[kind].contains(own_name);
    if (request.Method() == "POST" && exists) {
      *status = 409;
      return ObjectText(own_name, objects_[kind][own_name].revision,
                        objects_[kind][own_name].spec);
    }
  }
  Put(kind, own_name, spec);
  return ObjectText(own_name, 0, spec);
}

Worker::Worker(std::string name,
               std::string service,
               std::string zone,
               int slots,
               Handler handler)
    : name_(std::move(name)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      handler_(std::move(handler)),
      server_(FreePort(),
              [this](Connection& connection) { Serve(connection); }) {}

void Worker::Register(Store& store, const std::string& state) {
  store.Put("servers", name_,
            R"({"service":")" + service_ + R"(","address":")" +
                LoopbackAddress(server_.port()) + R"(","zone":")" + zone_ +
                R"(","version":"v1","slots":)" + std::to_string(slots_) +
                R"(,"state":")" + state +
                R"(","cold_left_ms":0,"sequence":1,"born":)" +
                std::to_string(born_ms_) + "}");
}

std::string Worker::AnswerHead(const HttpMessage& request,
                               const std::string& status) const {
  const std::string id = request.Field("x-teaselthread-request-id");
  return "HTTP/1.1 " + status + "\r\nX-Teaselthread-Request-Id: " + id +
         "\r\nX-Teaselthread-Server-Seal: " + name_ + "." + id +
         "\r\nKeep-Alive: timeout=60\r\n";
}

std::string Worker::Answer(const HttpMessage& request,
                           const std::string& status,
                           const std::string& body) const {
  return AnswerHead(request, status) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Worker::Serve(Connection& connection) {
  while (const auto request = connection.ReadMessage()) {
    const bool is_for_other =
        request->Field("x-teaselthread-expect-instance") != name_;
    if (request->Field("x-teaselthread-request-id").empty()) {
      connection.Write(Answer(*request, "400 Bad Request", ""));
    } else if (is_for_other) {
      connection.Write(Answer(*request, "421 Misdirected Request", ""));
    } else if (!handler_(*this, *request, connection)) {
      return;
    }
  }
}

Gateway::Gateway(std::string name, std::string zone, uint16_t store)
    : name_(std::move(name)), zone_(std::move(zone)), store_(store) {}

Gateway::~Gateway() {
  Kill();
}

void Gateway::Start(const std::string& folder, const std::string& seeds) {
  const std::string settings = folder + "/" + name_ + ".ini";
  std::ofstream file(settings);
  file << "[gateway]\nname = " << name_ << "\nzone = " << zone_
       << "\nfront_listen = " << LoopbackAddress(front_)
       << "\nreadiness_listen = " << LoopbackAddress(admin_)
       << "\ndirectory_listen = " << LoopbackAddress(admin_)
       << "\nmetrics_listen = " << LoopbackAddress(metrics_)
       << "\npeer_listen = " << LoopbackAddress(peer_)
       << "\nstore = " << LoopbackAddress(store_)
       << "\n\n[peers]\nseeds = " << seeds
       << "\n\n[limits]\nrevocation_ms = 5000\ndrain_ms = 2000\n"
       << "contact_ms = 3000\nretry_ratio = 0.2\nretry_slack = 54\n"
       << "retry_window_s = 10\ncold_over = 1.5\ncold_slack = 5\n"
       << "load_multiple = 2\nleaving_grace_s = 8\n";
  file.close();
  const std::string log = folder + "/" + name_ + ".log";
  process_ = ::fork();
  if (process_ != 0)
    return;
  const int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  // The process ends with this one, however this one ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execl(kProgram, kProgram, "gateway", "--config", settings.c_str(), nullptr);
  ::_exit(127);
}

void Gateway::Signal(int number) const {
  if (process_ > 0)
    ::kill(process_, number);
}

bool Gateway::IsReady() const {
  const auto connection = Connect(admin_);
  if (!connection || !connection->Write("GET /-/ready HTTP/1.1\r\nHost: r\r\n"
                                        "Connection: close\r\n\r\n")) {
    return false;
  }
  const auto answer = connection->ReadMessage();
  return answer && answer->Status() == 200;
}

std::string Gateway::LookUp() const {
  const auto connection = Connect(admin_);
  if (!connection ||
      !connection->Write("GET /-/lookup?name=" + std::string(kHost) +
                         "&region=sicilia&zone=" + zone_ +
                         " HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")) {
    return "";
  }
  const auto answer = connection->ReadMessage();
  return answer && answer->Status() == 200 ? answer->body : "";
}

bool Gateway::IsRunning() {
  if (process_ > 0 && ::waitpid(process_, &exit_status_, WNOHANG) == process_)
    process_ = -1;
  return process_ > 0;
}

void Gateway::Kill() {
  if (!IsRunning())
    return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, &exit_status_, 0);
  process_ = -1;
}

int64_t Gateway::MemoryKb() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:"))
      return std::atoll(line.c_str() + sizeof("VmRSS:") - 1);
  }
  return 0;
}

Deployment::Deployment(DeploymentOptions options,
                       const Worker::Handler& engine,
                       const Worker::Handler& desk)
    : folder_(MakeFolder()), store_(FreePort()) {
  store_.Put("config", "main", ConfigurationText());
  for (int i = 0; i < options.engines; ++i) {
    engines_.push_back(std::make_unique<Worker>(
        "i-engine-" + std::to_string(i), "pool", ZoneName(i), 64, engine));
    engines_.back()->Register(store_, "ready");
  }
  for (int i = 0; i < options.desks; ++i) {
    desks_.push_back(std::make_unique<Worker>("i-desk-" + std::to_string(i),
                                              "desk", ZoneName(i), 6, desk));
    desks_.back()->Register(store_, "ready");
  }
  for (int i = 0; i < options.gateways; ++i) {
    gateways_.push_back(std::make_unique<Gateway>("edge-" + std::to_string(i),
                                                  ZoneName(i), store_.port()));
    seeds_ += (i == 0 ? "" : ",") + gateways_.back()->peer_address();
  }
  for (const auto& gateway : gateways_)
    gateway->Start(folder_, seeds_);
}

Deployment::~Deployment() {
  gateways_.clear();
  for (const auto& worker : engines_)
    worker->Stop();
  for (const auto& worker : desks_)
    worker->Stop();
  store_.Stop();
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(folder_, ignored);
}

bool Deployment::WaitUntilReady() {
  const double until = Now() + kReadyTimeout;
  for (const auto& gateway : gateways_) {
    while (!gateway->IsReady()) {
      if (Now() > until)
        return false;
      SleepFor(0.05);
    }
  }
  // The gateways have found each other by then.
  SleepFor(kDiscoverySeconds);
  return true;
}

std::string MakeRequest(const std::string& route,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body) {
  const bool is_stream = route == "review" || route == "summary";
  const bool is_read = route == "status";
  std::string text =
      (is_read ? "GET /" : "POST /") + route + "/1 HTTP/1.1\r\nHost: " + kHost +
      "\r\nX-Teaselthread-Request-Id: " + id +
      "\r\nX-Teaselthread-Request-Deadline: " + std::to_string(deadline_ms) +
      "\r\nX-Teaselthread-Key: " + kKey + "\r\n";
  if (is_stream) {
    text +=
        "X-Teaselthread-Model: m\r\nX-Teaselthread-Token-Usage: 830,300\r\n"
        "X-Teaselthread-Prompt-Prefix: 5c1e07a2:119,91bd3f06:580," +
        std::to_string(std::hash<std::string>()(id) % 1000000) + ":130\r\n";
  }
  if (!is_read)
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + (is_read ? "" : body);
}

namespace {

int CountEvents(const std::string& body) {
  int events = 0;
  for (size_t end = 0; (end = body.find("\n\n", end)) != std::string::npos;
       end += 2) {
    ++events;
  }
  return events;
}

// Returns whether the last chunk has been read.
bool ReadChunks(Connection& connection, std::string* body) {
  while (const auto line = connection.ReadLine()) {
    const auto size = std::strtoul(line->c_str(), nullptr, 16);
    const auto bytes = connection.ReadBytes(size + 2);
    if (!bytes)
      return false;
    body->append(*bytes, 0, size);
    if (size == 0)
      return true;
  }
  return false;
}

}  // namespace

ClientAnswer ReadAnswer(Connection& connection) {
  ClientAnswer answer;
  const auto head = connection.ReadHead();
  if (!head)
    return answer;
  answer.status = head->Status();
  answer.keeps_alive = head->Field("connection") != "close";
  answer.has_seal = !head->Field("x-teaselthread-server-seal").empty();
  if (head->Field("transfer-encoding") == "chunked") {
    answer.is_complete = ReadChunks(connection, &answer.body);
  } else {
    const int length = std::atoi(head->Field("content-length").c_str());
    const auto body = connection.ReadBytes(static_cast<size_t>(length));
    answer.is_complete = body.has_value();
    answer.body = body.value_or("");
  }
  answer.events = CountEvents(answer.body);
  return answer;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review
