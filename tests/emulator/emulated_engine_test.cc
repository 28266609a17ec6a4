#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "libteaselthread/emulator/emulated_engine.h"

namespace teaselthread::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An engine with 10 ms steps that prefills 100 tokens per millisecond.
struct EngineFixture {
  EngineFixture() : engine(&clock, Parameters()) {}

  static EngineParameters Parameters() {
    EngineParameters parameters;
    parameters.slots = 2;
    parameters.step = milliseconds(10);
    parameters.prefill_per_ms = 100;
    parameters.prefill_chunk = 1'000;
    parameters.kv_tokens = 5'000;
    parameters.copy_setup = milliseconds(5);
    parameters.copy_per_ms = 1'000;
    return parameters;
  }

  // Each request is logged as "name:first-token-ms:end-ms".
  void Submit(const std::string& name,
              const std::vector<PromptPart>& prompt,
              uint32_t output_tokens = 1,
              int priority = 0,
              uint64_t copyable_tokens = 0) {
    EngineRequest request;
    request.prompt = prompt;
    request.output_tokens = output_tokens;
    request.priority = priority;
    request.copyable_tokens = copyable_tokens;
    const size_t index = log.size();
    log.push_back(name);
    request.on_first_token = [this, index] { AppendTime(index); };
    request.on_end = [this, index] { AppendTime(index); };
    engine.Submit(std::move(request));
  }

  void AppendTime(size_t index) {
    const auto ms = std::chrono::duration_cast<milliseconds>(
        clock.now().time_since_epoch());
    log[index] += ":" + std::to_string(ms.count());
  }

  void Run() { clock.RunUntil(clock.now() + seconds(10)); }

  VirtualClock clock;
  EmulatedEngine engine;
  std::vector<std::string> log;
};

BOOST_FIXTURE_TEST_SUITE(an_emulated_engine, EngineFixture)

BOOST_AUTO_TEST_CASE(prefills_a_prompt_in_chunks_and_then_generates_tokens) {
  // Two steps prefill 1,000 tokens each; the second also generates the first
  // token. Two more steps generate the other tokens.
  Submit("one", {{"a", 2'000}}, 3);
  Run();
  BOOST_TEST(log[0] == "one:40:60");
  BOOST_TEST(engine.load() == 0u);
}

BOOST_AUTO_TEST_CASE(generates_a_token_for_each_running_request_per_step) {
  Submit("one", {{"a", 1}}, 3);
  Submit("two", {{"b", 1}}, 3);
  Run();
  BOOST_TEST(log[0] == "one:10:30");
  // Admitted at the second step.
  BOOST_TEST(log[1] == "two:20:40");
}

BOOST_AUTO_TEST_CASE(admits_the_most_urgent_waiting_request_first) {
  Submit("one", {{"a", 1}}, 2);
  Submit("two", {{"b", 1}}, 2);
  Submit("later", {{"c", 1}}, 1, 2);
  Submit("urgent", {{"d", 1}}, 1, 0);
  Run();
  BOOST_TEST(log[3] == "urgent:30:30");
  BOOST_TEST(log[2] == "later:40:40");
}

BOOST_AUTO_TEST_SUITE(reuses_prefilled_tokens)

BOOST_FIXTURE_TEST_CASE(up_to_the_first_part_that_differs, EngineFixture) {
  Submit("one", {{"system", 100}, {"document", 1'000}, {"own-1", 100}});
  Run();
  Submit("two", {{"system", 100}, {"document", 1'000}, {"own-2", 100}});
  Run();
  BOOST_TEST(engine.tokens_prefilled() == 1'300u);
  BOOST_TEST(engine.tokens_reused() == 1'100u);
}

BOOST_FIXTURE_TEST_CASE(until_they_are_evicted_for_capacity, EngineFixture) {
  Submit("one", {{"document-1", 3'000}});
  Run();
  Submit("two", {{"document-2", 3'000}});
  Run();
  BOOST_TEST(engine.cache().CachedTokens({{"document-1", 3'000}}) == 0u);
  BOOST_TEST(engine.cache().CachedTokens({{"document-2", 3'000}}) == 3'000u);
}

BOOST_FIXTURE_TEST_CASE(and_copies_the_prefix_cached_by_another_engine,
                        EngineFixture) {
  Submit("one", {{"document", 2'000}, {"own", 100}}, 1, 0, 2'000);
  Run();
  // 10 ms for the step, 5 + 2 for the copy, 1 for prefill.
  BOOST_TEST(log[0] == "one:18:18");
  BOOST_TEST(engine.tokens_copied() == 2'000u);
  BOOST_TEST(engine.tokens_prefilled() == 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(multiplies_its_step_time_when_slow) {
  engine.set_slowness(3);
  Submit("one", {{"a", 1}}, 2);
  Run();
  BOOST_TEST(log[0] == "one:30:60");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselthread::emulator
