#include "teaselthread/peers/state_fetcher.h"

#include <spdlog/spdlog.h>

#include "teaselthread/peers/wire_conversion.h"

namespace teaselthread {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(2);

}  // namespace

void StateFetcher::OnPeerVersions(const wire::HeartbeatMessage& message) {
  const std::string& address = message.sender().peer_address();
  if (message.configuration_version() > state_->configuration().version())
    FetchConfiguration(address);
  if (message.endpoints_version() > state_->directory().version())
    FetchEndpoints(address);
}

wire::ConfigurationDocument StateFetcher::OnFetchConfiguration(
    const wire::FetchConfigurationRequest& request) const {
  wire::ConfigurationDocument document;
  const auto current = state_->configuration().current();
  if (!current || current->version() <= request.newer_than())
    return document;
  document.set_version(current->version());
  document.set_text(current->text());
  return document;
}

wire::OfferReply StateFetcher::OnOfferConfiguration(
    const wire::ConfigurationDocument& document) {
  Apply(document);
  wire::OfferReply reply;
  reply.set_version_in_force(state_->configuration().version());
  return reply;
}

wire::EndpointList StateFetcher::OnFetchEndpoints(
    const wire::FetchEndpointsRequest& request) const {
  wire::EndpointList list;
  const EndpointDirectory& directory = state_->directory();
  if (directory.version() <= request.newer_than())
    return list;
  list.set_version(directory.version());
  for (const auto& [name, endpoint] : directory.all())
    *list.add_endpoints() = ToWire(endpoint);
  return list;
}

void StateFetcher::FetchConfiguration(const std::string& address) {
  if (fetching_configuration_)
    return;
  fetching_configuration_ = true;
  wire::FetchConfigurationRequest request;
  request.set_newer_than(state_->configuration().version());
  peers_->Call(
      &PeerClient::Methods::FetchConfiguration, address, request, kFetchTimeout,
      [this](const std::optional<wire::ConfigurationDocument>& document) {
        fetching_configuration_ = false;
        if (document)
          Apply(*document);
      });
}

void StateFetcher::FetchEndpoints(const std::string& address) {
  if (fetching_endpoints_)
    return;
  fetching_endpoints_ = true;
  wire::FetchEndpointsRequest request;
  request.set_newer_than(state_->directory().version());
  peers_->Call(&PeerClient::Methods::FetchEndpoints, address, request,
               kFetchTimeout,
               [this](const std::optional<wire::EndpointList>& list) {
                 fetching_endpoints_ = false;
                 if (list)
                   Apply(*list);
               });
}

void StateFetcher::Apply(const wire::ConfigurationDocument& document) {
  if (document.text().empty())
    return;
  const auto offer = state_->configuration().UpdateIfNewer(document.version(),
                                                           document.text());
  if (offer == ConfigurationHolder::UpdateResult::kApplied)
    spdlog::info("applied configuration {} from a peer", document.version());
}

void StateFetcher::Apply(const wire::EndpointList& list) {
  std::vector<Endpoint> endpoints;
  for (const wire::EndpointEntry& entry : list.endpoints()) {
    std::optional<Endpoint> endpoint = FromWire(entry);
    if (endpoint)
      endpoints.push_back(std::move(*endpoint));
  }
  if (state_->directory().Replace(list.version(), std::move(endpoints)))
    state_->loads().Forget(state_->directory());
}

}  // namespace teaselthread
