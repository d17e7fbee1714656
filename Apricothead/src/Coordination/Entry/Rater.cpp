#include "Rater.h"

#include "../../Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned Ok = 200;
constexpr std::size_t MaxAnswerBytes = 64 * 1024;

} // namespace

Rater::Rater(HttpClient &httpClient, std::string serviceUrl) : client(httpClient), url(std::move(serviceUrl))
{ }

Rater::~Rater() = default;

void Rater::rate(const std::string &body, std::chrono::milliseconds deadline, std::function<void(std::optional<double>)> done)
{
    if (this->url.empty()) {
        done(std::nullopt);
        return;
    }
    const std::uint64_t number = this->next++;
    const auto received = std::make_shared<std::string>();
    HttpCallOptions options;
    options.method = "POST";
    options.url = this->url;
    options.headers = {{"content-type", "application/json"}};
    options.body = body;
    options.connectTimeout = deadline;
    options.total = deadline;
    options.onData = [received](std::string_view data) {
        received->append(data.substr(0, MaxAnswerBytes - std::min(MaxAnswerBytes, received->size())));
    };
    options.onDone = [this, number, received, done = std::move(done)](const HttpResult &result) {
        // Kept alive until the hook has returned.
        const std::unique_ptr<HttpCall> call = std::move(this->calls[number]);
        this->calls.erase(number);
        done(result.whole && result.status == Ok ? ratingIn(*received) : std::nullopt);
    };
    this->calls[number] = this->client.start(std::move(options));
}

std::optional<double> ratingIn(std::string_view json)
{
    const nlohmann::json answer = nlohmann::json::parse(json, nullptr, false);
    if (!answer.is_object()) {
        return std::nullopt;
    }
    const auto rating = answer.find("rating");
    if (rating == answer.end() || !rating->is_number()) {
        return std::nullopt;
    }
    const double value = rating->get<double>();
    return value >= 0 && value <= 1 ? std::optional<double>(value) : std::nullopt;
}

} // namespace Apricothead
