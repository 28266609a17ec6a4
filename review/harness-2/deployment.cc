#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

namespace review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The program and the command of deploy/system.toml.
constexpr char kProgram[] = "target/src/teaselthread/teaselthread";
constexpr char kRole[] = "gateway";
constexpr seconds kStartTimeout(20);
constexpr seconds kSettleTime(5);

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> elapsed = Clock::now() - started_at_;
  char time[16];
  std::snprintf(time, sizeof(time), "%9.3f s  ", elapsed.count());
  file_ << time << line << std::endl;
}

Process::Process(const std::vector<std::string>& words,
                 const std::string& log,
                 int descriptors) {
  std::vector<char*> arguments;
  for (const std::string& word : words)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0)
    return;
  // Should this process be killed, its children end too.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  if (descriptors > 0) {
    const rlimit limit{static_cast<rlim_t>(descriptors),
                       static_cast<rlim_t>(descriptors)};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  for (int fd = STDERR_FILENO + 1; fd < 1'024; ++fd)
    close(fd);
  execv(arguments[0], arguments.data());
  _exit(127);
}

Process::~Process() {
  Kill();
}

void Process::Signal(int signal) const {
  if (!has_ended_)
    kill(pid_, signal);
}

void Process::Kill() {
  if (!IsRunning())
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  has_ended_ = true;
}

bool Process::IsRunning() {
  if (!has_ended_ && waitpid(pid_, nullptr, WNOHANG) != 0)
    has_ended_ = true;
  return !has_ended_;
}

double Process::ResidentMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

Deployment::Deployment(std::string folder, Record* record)
    : folder_(std::move(folder)),
      record_(record),
      front_port_(FreePort()),
      readiness_port_(FreePort()),
      metrics_port_(FreePort()),
      peer_port_(FreePort()) {}

void Deployment::Configure(const std::vector<ServiceSpec>& services,
                           const std::vector<RouteSpec>& routes) {
  json::array service_list;
  for (const ServiceSpec& service : services) {
    json::object item = {{"name", service.name}, {"max_conns", 360}};
    if (service.is_engine) {
      item["cold_start_s"] = 0;
      item["cold_per_s"] = 10;
      item["engine"] = {{"slots", 64}, {"kv_capacity", 455169}};
    }
    service_list.emplace_back(std::move(item));
  }
  json::array route_list;
  for (const RouteSpec& route : routes) {
    route_list.push_back({{"name", route.name},
                          {"host", kHost},
                          {"path_prefix", "/" + route.name + "/"},
                          {"kind", route.kind},
                          {"service", route.service},
                          {"timeout_ms", route.timeout_ms},
                          {"slo_ms", 1'000},
                          {"gap_slo_ms", 600},
                          {"priority", 1},
                          {"max_attempts", route.max_attempts},
                          {"resumable", route.is_resumable},
                          {"public", false}});
  }
  const json::array tenants = {
      {{"name", "office"}, {"api_keys", json::array{kOfficeKey}}}};
  store_.Put("config", "main",
             {{"version", 3},
              {"routes", route_list},
              {"services", service_list},
              {"tenants", tenants},
              {"limits",
               {{"max_header_bytes", 16'384},
                {"max_body_bytes", 4'194'304},
                {"header_timeout_ms", 3'000},
                {"idle_timeout_ms", 15'000}}}});
}

void Deployment::Register(const std::string& id,
                          const std::string& service,
                          int port,
                          int slots) {
  const auto born = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  store_.Put("servers", id,
             {{"service", service},
              {"address", Address(port)},
              {"zone", "palermo"},
              {"version", "v1"},
              {"slots", slots},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"sequence", 1},
              {"born", born.count()}});
}

bool Deployment::Start() {
  gateway_.emplace(
      std::vector<std::string>{kProgram, kRole, "--config", WriteSettings()},
      folder_ + "/gateway.log", kMachineDescriptors);
  const Clock::time_point until = Clock::now() + kStartTimeout;
  while (Clock::now() < until && gateway_->IsRunning()) {
    if (IsReady()) {
      record_->Add("the gateway is ready");
      std::this_thread::sleep_for(kSettleTime);
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  record_->Add("the gateway did not become ready");
  return false;
}

void Deployment::Stop() {
  if (gateway_)
    gateway_->Kill();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

bool Deployment::IsReady() const {
  const ConnectionPtr connection = Connection::Open(readiness_port_);
  if (!connection)
    return false;
  connection->SetReadTimeout(seconds(1));
  connection->Write(
      EncodeHead("GET /-/ready HTTP/1.1", {{"Host", "platform"}}));
  return ReadResponse(*connection).head.Status() == 200;
}

// As deploy/gateway.ini.template is filled in for a machine of Trinacria.
std::string Deployment::WriteSettings() const {
  std::string path = folder_ + "/node.ini";
  std::ofstream(path) << "[gateway]\nname = edge-palermo-1\nzone = palermo\n"
                      << "front_listen = " << Address(front_port_)
                      << "\nreadiness_listen = " << Address(readiness_port_)
                      << "\ndirectory_listen = " << Address(readiness_port_)
                      << "\nmetrics_listen = " << Address(metrics_port_)
                      << "\npeer_listen = " << Address(peer_port_)
                      << "\nstore = " << Address(store_.port())
                      << "\nmemory_mb = " << kMachineMemoryMb
                      << "\n\n[peers]\nseeds = " << Address(peer_port_)
                      << "\n\n[limits]\nrevocation_ms = 5000\n"
                      << "configuration_ms = 2000\ndrain_ms = 2000\n"
                      << "contact_ms = 3000\nretry_ratio = 0.2\n"
                      << "retry_slack = 54\nretry_window_s = 10\n"
                      << "cold_over = 1.5\ncold_slack = 5\n"
                      << "load_multiple = 2\nleaving_grace_s = 8\n";
  return path;
}

std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        size_t length,
                        const Fields& more) {
  Fields fields = {{"Host", kHost},
                   {kRequestId, id},
                   {kDeadline, std::to_string(deadline_ms)},
                   {kKey, kOfficeKey}};
  if (length > 0)
    fields.emplace_back("Content-Length", std::to_string(length));
  fields.insert(fields.end(), more.begin(), more.end());
  return EncodeHead(method + " " + path + " HTTP/1.1", fields);
}

Fields PromptFields(const std::string& shared_part,
                    const std::string& own_part) {
  return {{"X-Teaselthread-Model", "m"},
          {"X-Teaselthread-Token-Usage", "11812,80"},
          {"X-Teaselthread-Prompt-Prefix",
           "5c1e07a2:512," + shared_part + ":10000," + own_part + ":1300"}};
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string_view(trouble) != "0";
}

std::string MakeTemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
  return mkdtemp(path.data()) ? path : std::string();
}

}  // namespace review
