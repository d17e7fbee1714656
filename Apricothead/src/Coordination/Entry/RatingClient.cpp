#include "RatingClient.h"

#include "../../Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned Ok = 200;
constexpr std::size_t MaxResponseBytes = 64 * 1024;

} // namespace

RatingClient::RatingClient(HttpClient &httpClient, std::string serviceUrl) : client(httpClient), url(std::move(serviceUrl))
{ }

RatingClient::~RatingClient() = default;

void RatingClient::rate(const std::string &body, std::chrono::milliseconds timeout, std::function<void(std::optional<double>)> done)
{
    if (this->url.empty()) {
        done(std::nullopt);
        return;
    }
    const std::uint64_t number = this->nextCallNumber++;
    const auto responseBody = std::make_shared<std::string>();
    HttpCallOptions options;
    options.method = "POST";
    options.url = this->url;
    options.headers = {{"content-type", "application/json"}};
    options.body = body;
    options.connectTimeout = timeout;
    options.total = timeout;
    options.maxBodyBytes = MaxResponseBytes;
    options.onData = [responseBody](std::string_view data) {
        responseBody->append(data);
    };
    options.onDone = [this, number, responseBody, done = std::move(done)](const HttpResult &result) {
        // Keeps the call alive until this callback has returned.
        const std::unique_ptr<HttpCall> call = std::move(this->calls[number]);
        this->calls.erase(number);
        done(result.whole && result.status == Ok ? parseRating(*responseBody) : std::nullopt);
    };
    this->calls[number] = this->client.start(std::move(options));
}

std::optional<double> parseRating(std::string_view json)
{
    const nlohmann::json response = nlohmann::json::parse(json, nullptr, false);
    if (!response.is_object()) {
        return std::nullopt;
    }
    const auto rating = response.find("rating");
    if (rating == response.end() || !rating->is_number()) {
        return std::nullopt;
    }
    const double value = rating->get<double>();
    return value >= 0 && value <= 1 ? std::optional<double>(value) : std::nullopt;
}

} // namespace Apricothead
