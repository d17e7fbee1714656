#include "Load.h"

#include <algorithm>
#include <array>

namespace Apricothead::Test {
namespace {

constexpr long Ok = 200;
constexpr long Created = 201;

std::string describe(const LoadResult &result, const std::string &what)
{
    return result.key + " at entry " + std::to_string(result.entry) + ": " + what + ", status " + std::to_string(result.answer.status) + ", verdict "
        + result.answer.header("x-verdict") + ", " + result.answer.error + " " + result.answer.body.substr(0, 300) + "\n";
}

} // namespace

bool LoadResult::isWhole(unsigned tokens) const
{
    if (this->kind == LoadKind::Order) {
        return this->answer.whole && this->answer.status == Created && this->answer.json().value("order", "") == this->key;
    }
    const bool hasText = this->answer.whole && this->answer.status == Ok && chatText(this->answer) == expectedText(this->key, tokens);
    return hasText && (this->kind == LoadKind::Plain || hasEndMark(this->answer));
}

bool LoadResult::isNotRun() const
{
    const bool isNeverReached = this->answer.status == 0 && this->answer.error.find("connect") != std::string::npos;
    return isNeverReached || (this->answer.status >= 400 && this->answer.header("x-verdict") == "not-run");
}

Load::Load(const Cluster &target, std::vector<unsigned> entryNumbers, unsigned threadCount, unsigned tokenCount)
    : cluster(target), entries(std::move(entryNumbers)), tokens(tokenCount)
{
    for (unsigned thread = 0; thread < threadCount; ++thread) {
        this->threads.emplace_back([this, thread] {
            this->work(thread);
        });
    }
}

Load::~Load()
{
    this->stop();
}

void Load::avoid(unsigned entry)
{
    this->avoided = entry;
}

std::vector<LoadResult> Load::stop()
{
    this->isStopped = true;
    for (std::thread &thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return this->results;
}

std::size_t Load::sent() const
{
    const std::lock_guard lock(this->mutex);
    return this->results.size();
}

void Load::work(unsigned thread)
{
    constexpr std::array Kinds{LoadKind::Plain, LoadKind::Streamed, LoadKind::Order};
    while (!this->isStopped) {
        const unsigned number = this->next++;
        const unsigned entry = this->entries[number % this->entries.size()];
        if (entry == this->avoided) {
            continue;
        }
        const LoadKind kind = Kinds[(number / this->entries.size()) % Kinds.size()];
        LoadResult result = this->request(entry, kind, "load-" + std::to_string(thread) + "-" + std::to_string(number));
        const std::lock_guard lock(this->mutex);
        this->results.push_back(std::move(result));
    }
}

LoadResult Load::request(unsigned entry, LoadKind kind, const std::string &key) const
{
    LoadResult result{.kind = kind, .key = key, .entry = entry, .answer = {}};
    if (kind == LoadKind::Order) {
        result.answer = this->cluster.order(entry, key);
        return result;
    }
    result.answer = this->cluster.chat(entry, key, key, {{"max_tokens", this->tokens}, {"stream", kind == LoadKind::Streamed}});
    return result;
}

std::string badAnswers(const std::vector<LoadResult> &results, unsigned tokens)
{
    std::string bad;
    for (const LoadResult &result : results) {
        if (result.isWhole(tokens) || result.isNotRun()) {
            continue;
        }
        bad += describe(result, "neither whole nor not run");
    }
    return bad;
}

std::string badRuns(const Cluster &cluster, const std::vector<LoadResult> &results, unsigned tokens, bool mayMove)
{
    const std::map<std::string, unsigned> counts = cluster.allRuns();
    std::string bad;
    for (const LoadResult &result : results) {
        const auto found = counts.find(result.key);
        const unsigned runs = found == counts.end() ? 0 : found->second;
        const unsigned most = mayMove && result.kind != LoadKind::Order ? 2 : 1;
        const bool isWhole = result.isWhole(tokens);
        const bool fits = isWhole ? runs >= 1 && runs <= most : runs <= most;
        const bool isTrue = !result.isNotRun() || runs == 0;
        if (fits && isTrue) {
            continue;
        }
        bad += describe(result, std::to_string(runs) + " runs");
    }
    return bad;
}

std::size_t wholeCount(const std::vector<LoadResult> &results, unsigned tokens)
{
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(), [&](const LoadResult &result) {
        return result.isWhole(tokens);
    }));
}

} // namespace Apricothead::Test
