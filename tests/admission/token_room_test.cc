#include "libteaselthread/endpoints/token_room.h"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_fixtures.h"
#include "libteaselthread/endpoints/endpoint_selector.h"
#include "libteaselthread/endpoints/token_limits.h"

namespace teaselthread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::At;
using test::MakeEngineRecord;

const Timestamp kNow = At(seconds(30));
const std::vector<PromptPart> kPrompt = {{"system", 512},
                                         {"dossier", 10'000},
                                         {"own", 1'488}};

BOOST_AUTO_TEST_SUITE(the_tokens_of_a_request)

BOOST_AUTO_TEST_CASE(are_its_own_prompt_and_its_output) {
  const RequestTokens tokens =
      EstimateTokens(kPrompt, TokenUsage{12'000, 400}, 250);
  BOOST_TEST(tokens.own == 1'488u + 250u);
  BOOST_TEST(tokens.SharedTotal() == 10'512u);
}

// Guards against an output that counts as more than the most that is allowed,
// or as nothing, and against a prompt that is longer than its parts.
BOOST_AUTO_TEST_CASE(are_estimated_from_what_the_caller_says) {
  BOOST_TEST(EstimateTokens(kPrompt, TokenUsage{12'000, 400}, 900).own ==
             1'488u + 400u);
  BOOST_TEST(EstimateTokens(kPrompt, TokenUsage{12'000, 400}, {}).own ==
             1'488u + 400u);
  BOOST_TEST(EstimateTokens(kPrompt, TokenUsage{13'000, 0}, {}).own == 2'488u);
  BOOST_TEST(EstimateTokens(kPrompt, {}, {}).own > 1'488u);
  BOOST_TEST(EstimateTokens({}, TokenUsage{12'000, 400}, {}).own == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

struct TokenFixture {
  TokenFixture()
      : engine(MakeEngineRecord("engine", "a"), At(seconds(0)), At(seconds(0))),
        tokens(EstimateTokens(kPrompt, TokenUsage{12'000, 512}, {})) {}

  void Send(const RequestTokens& sent) {
    engine.OnSend(kNow);
    engine.tokens().OnSend(sent, kNow);
    mix.OnSend(sent, kNow);
  }
  TokenLimits Limits(int priority, size_t nodes = 1) const {
    TokenLimitsQuery query;
    query.capacity = 100'000;
    query.priority = priority;
    query.tokens = tokens;
    query.mix = &mix;
    query.nodes = nodes;
    query.node = "node-0";
    return TokenLimits(query);
  }

  EndpointState engine;
  TokenMix mix;
  RequestTokens tokens;  // 2,000 of its own, 10,512 shared
};

BOOST_FIXTURE_TEST_SUITE(the_tokens_held_at_an_engine, TokenFixture)

// Guards against a shared part that counts for each request with it.
BOOST_AUTO_TEST_CASE(include_a_shared_part_once) {
  for (int i = 0; i < 5; ++i)
    Send(tokens);
  BOOST_TEST(engine.tokens().Held(0, mix, 1) == 5 * 2'000 + 10'512);
  BOOST_TEST(engine.tokens().Added(tokens, 0, mix, 1) == 2'000);
}

// Guards against tokens that stay counted after their requests have ended.
BOOST_AUTO_TEST_CASE(are_released_with_the_last_request) {
  for (int i = 0; i < 2; ++i)
    Send(tokens);
  engine.tokens().OnEnd(tokens);
  BOOST_TEST(engine.tokens().Held(0, mix, 1) == 2'000 + 10'512);
  engine.tokens().OnEnd(tokens);
  BOOST_TEST(engine.tokens().Held(0, mix, 1) == 0);
  BOOST_TEST(engine.tokens().Added(tokens, 0, mix, 1) == 2'000 + 10'512);
}

// Guards against requests of other gateways that count for nothing, or with
// the whole shared part each.
BOOST_AUTO_TEST_CASE(include_requests_of_other_nodes_by_their_count) {
  for (int i = 0; i < 100; ++i) {
    Send(tokens);
    engine.tokens().OnEnd(tokens);
    mix.OnEnd(tokens, kNow + milliseconds(10 * i));
  }
  const double held = engine.tokens().Held(20, mix, 1);
  // The part is held with near certainty, not with certainty.
  BOOST_TEST(held >= 20 * 2'000 + 10'500);
  BOOST_TEST(held <= 20 * 2'000 + 2 * 10'512);
}

// Guards against an engine that overflows since each gateway knows few parts.
BOOST_AUTO_TEST_CASE(include_parts_that_only_other_nodes_use) {
  for (int i = 0; i < 100; ++i) {
    tokens.shared.back().id = "dossier-" + std::to_string(i);
    mix.OnSend(tokens, kNow);
  }
  BOOST_TEST(engine.tokens().Held(20, mix, 1) >= 20 * (2'000 + 10'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(room_for_one_more_request, TokenFixture)

BOOST_AUTO_TEST_CASE(is_not_limited_while_half_of_the_memory_is_free) {
  for (int i = 0; i < 15; ++i) {
    BOOST_TEST(Limits(2, 63).HasRoom(engine, kNow));
    Send(tokens);
  }
}

BOOST_AUTO_TEST_CASE(ends_first_for_the_least_urgent) {
  int sent[3] = {};
  for (int priority : {2, 1, 0}) {
    // A new count after each request.
    while (Limits(priority).HasRoom(engine, kNow)) {
      Send(tokens);
      engine.OnReport({engine.local_requests(), 0}, kNow);
      ++sent[priority];
    }
  }
  BOOST_TEST(sent[2] > 0);
  BOOST_TEST(sent[1] > 0);
  BOOST_TEST(sent[0] > 0);
  BOOST_TEST(engine.tokens().Held(0, mix, 1) <= 90'000);
}

// Guards against gateways that each fill the engine until the next count.
BOOST_AUTO_TEST_CASE(is_divided_among_the_nodes_until_the_next_count) {
  for (int i = 0; i < 25; ++i)
    Send(tokens);
  engine.OnReport({25, 0}, kNow);
  // Room for 14 requests; half of it is used until the next count.
  uint32_t nodes_with_room = 0;
  for (size_t node = 0; node < 63; ++node) {
    TokenLimitsQuery query;
    query.capacity = 100'000;
    query.tokens = tokens;
    query.mix = &mix;
    query.nodes = 63;
    query.node = "node-" + std::to_string(100 + node);
    nodes_with_room += TokenLimits(query).HasRoom(engine, kNow) ? 1 : 0;
  }
  BOOST_TEST(nodes_with_room >= 5u);
  BOOST_TEST(nodes_with_room <= 7u);
}

// Guards against counts that are forgotten before a new one is known.
BOOST_AUTO_TEST_CASE(does_not_grow_while_the_count_becomes_older) {
  for (int i = 0; i < 50; ++i)
    mix.OnSend(tokens, kNow);
  engine.OnReport({45, 0}, kNow);
  BOOST_TEST(!Limits(0).HasRoom(engine, kNow));
  BOOST_TEST(!Limits(0).HasRoom(engine, kNow + milliseconds(3'900)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread
