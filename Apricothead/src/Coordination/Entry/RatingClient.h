#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothead {

class HttpCall;
class HttpClient;

/** \class Rater
 * \ingroup Coordination_Module
 * \brief Asks the rating service. Never waits longer than its deadline.
 */
class RatingClient
{
public:
    /** \a url is empty where there is no rating service. */
    RatingClient(HttpClient &client, std::string url);
    ~RatingClient();
    RatingClient(const RatingClient &) = delete;
    RatingClient &operator=(const RatingClient &) = delete;

    /** Posts \a body, a JSON object. \a done gets a rating of 0 to 1, or nothing when there was none in time; it may be called at once. */
    void rate(const std::string &body, std::chrono::milliseconds timeout, std::function<void(std::optional<double>)> done);

private:
    HttpClient &client;
    std::string url;
    std::uint64_t nextCallNumber = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpCall>> calls;
};

/** \returns the rating in a rating service's answer; nothing when there is none between 0 and 1 */
std::optional<double> parseRating(std::string_view json);

} // namespace Apricothead
