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
 * \brief Requests ratings of answers from the rating service, with a timeout.
 */
class RatingClient
{
public:
    /** \a url is empty if there is no rating service. */
    RatingClient(HttpClient &client, std::string url);
    ~RatingClient();
    RatingClient(const RatingClient &) = delete;
    RatingClient &operator=(const RatingClient &) = delete;

    /** Posts \a body, a JSON object. \a done gets a rating from 0 to 1, or no value if none arrived within \a timeout; it may be called before this returns. */
    void rate(const std::string &body, std::chrono::milliseconds timeout, std::function<void(std::optional<double>)> done);

private:
    HttpClient &client;
    std::string url;
    std::uint64_t nextCallNumber = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpCall>> calls;
};

/** \returns the rating in a response of the rating service; no value if there is none from 0 to 1 */
std::optional<double> parseRating(std::string_view json);

} // namespace Apricothead
