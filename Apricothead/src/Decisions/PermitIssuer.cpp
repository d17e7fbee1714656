#include "PermitIssuer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Apricothead {
namespace {

constexpr double MsPerSecond = 1000;

/** \returns the permits a second for an endpoint that names \a perSecond. One that takes less is asked this often all the same, or nothing would tell
 * that its limit has ended. */
double permitsPerSecond(double perSecond)
{
    constexpr double MinPerSecond = 0.25;
    return std::max(MinPerSecond, perSecond);
}

/** \returns whether a weight has changed so little that gateways need not hear of it */
bool isAbout(double weight, double told)
{
    constexpr double Tolerance = 0.25;
    return std::abs(weight - told) <= Tolerance * told;
}

/** \returns whether \a left allows less than \a right; nothing allows all */
bool allowsLess(const std::optional<double> &left, const std::optional<double> &right)
{
    return left && (!right || *left < *right);
}

} // namespace

PermitIssuer::PermitIssuer() : PermitIssuer(PermitIssuerOptions{})
{ }

PermitIssuer::PermitIssuer(PermitIssuerOptions given) : options(given)
{ }

void PermitIssuer::restart(std::uint64_t issuer, std::uint64_t nowMs)
{
    this->issuerId = issuer;
    ++this->version;
    for (auto &[name, endpoint] : this->endpoints) {
        endpoint.tokens = 0;
        endpoint.refilledMs = nowMs;
        for (auto &[gateway, account] : endpoint.accounts) {
            account.issued = 0;
            account.settled = 0;
            account.issuedAtMs.clear();
            account.unused = 0;
            account.returned = 0;
        }
    }
}

std::uint64_t PermitIssuer::issuer() const
{
    return this->issuerId;
}

void PermitIssuer::receive(const std::string &gateway, const EndpointLimitReports &reports, std::uint64_t nowMs)
{
    this->prune(nowMs);
    for (const Wire::EndpointLimitReport &report : reports) {
        const auto [found, isAdded] = this->endpoints.try_emplace(report.endpoint());
        Endpoint &endpoint = found->second;
        if (report.born_ms() < endpoint.bornMs) {
            continue;
        }
        if (isAdded || report.born_ms() > endpoint.bornMs) {
            endpoint = {.bornMs = report.born_ms(), .refilledMs = nowMs};
        }
        endpoint.service = report.service();
        this->receive(endpoint.accounts[gateway], report, nowMs);
        this->mergeStatements(endpoint);
    }
}

void PermitIssuer::receive(Account &account, const Wire::EndpointLimitReport &report, std::uint64_t nowMs)
{
    if (report.has_statement()) {
        const Wire::LimitStatement &statement = report.statement();
        account.statement = RequestLimit{
            .perSecond = statement.ended() ? std::nullopt : std::optional(statement.requests_per_second()),
            .atMs = nowMs - std::min(nowMs, statement.age_ms()),
        };
    }
    account.demand = report.demand();
    account.waiting = report.waiting();
    account.wanted = report.wanted();
    account.reportedMs = nowMs;
    if (report.issuer() != this->issuerId) {
        return;
    }
    const std::uint64_t settled = std::min(account.issued, std::max(account.settled, report.used() + report.unused()));
    const std::uint64_t unused = std::max(account.unused, report.unused());
    // What was settled by its time has been issued again already.
    account.returned += std::min(settled - account.settled, unused - account.unused);
    account.settled = settled;
    account.unused = unused;
}

void PermitIssuer::mergeStatements(Endpoint &endpoint)
{
    std::uint64_t newestMs = 0;
    for (const auto &[gateway, account] : endpoint.accounts) {
        newestMs = account.statement ? std::max(newestMs, account.statement->atMs) : newestMs;
    }
    std::optional<RequestLimit> merged;
    for (const auto &[gateway, account] : endpoint.accounts) {
        if (!account.statement || account.statement->atMs + this->options.overtakingMs < newestMs) {
            continue;
        }
        if (!merged || allowsLess(account.statement->perSecond, merged->perSecond)) {
            merged = account.statement;
        }
    }
    if (!merged) {
        return;
    }
    this->version += !endpoint.limit || endpoint.limit->perSecond != merged->perSecond ? 1 : 0;
    endpoint.limit = RequestLimit{.perSecond = merged->perSecond, .atMs = newestMs};
}

void PermitIssuer::prune(std::uint64_t nowMs)
{
    for (auto &[name, endpoint] : this->endpoints) {
        std::erase_if(endpoint.accounts, [this, nowMs](const auto &entry) {
            return nowMs - std::min(nowMs, entry.second.reportedMs) > this->options.retentionMs;
        });
    }
    this->version += std::erase_if(this->endpoints, [nowMs](const auto &entry) {
        return std::ranges::none_of(entry.second.accounts, [nowMs](const auto &known) {
            return known.second.statement && nowMs - std::min(nowMs, known.second.statement->atMs) <= LimitValidMs;
        });
    });
}

std::vector<Wire::EndpointLimit> PermitIssuer::limits(std::uint64_t nowMs) const
{
    std::vector<Wire::EndpointLimit> listed;
    for (const auto &[name, endpoint] : this->endpoints) {
        if (!endpoint.limit) {
            continue;
        }
        Wire::EndpointLimit &limit = listed.emplace_back();
        limit.set_endpoint(name);
        limit.set_born_ms(endpoint.bornMs);
        limit.set_service(endpoint.service);
        limit.mutable_statement()->set_requests_per_second(endpoint.limit->perSecond.value_or(0));
        limit.mutable_statement()->set_ended(!endpoint.limit->perSecond);
        limit.mutable_statement()->set_age_ms(nowMs - std::min(nowMs, endpoint.limit->atMs));
    }
    return listed;
}

std::uint64_t PermitIssuer::limitsVersion() const
{
    return this->version;
}

double PermitIssuer::burst(const Endpoint &endpoint) const
{
    return this->options.burstSeconds * permitsPerSecond(*endpoint.limit->perSecond) + this->options.minBurst;
}

std::uint64_t PermitIssuer::outstanding(const Endpoint &endpoint)
{
    return std::accumulate(endpoint.accounts.begin(), endpoint.accounts.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &entry) {
        return sum + entry.second.outstanding();
    });
}

void PermitIssuer::settleEnded(Endpoint &endpoint, std::uint64_t nowMs) const
{
    for (auto &[gateway, account] : endpoint.accounts) {
        while (!account.issuedAtMs.empty() && account.issuedAtMs.front().first + PermitValidMs + this->options.reportGraceMs < nowMs) {
            account.settled = std::max(account.settled, account.issuedAtMs.front().second);
            account.issuedAtMs.pop_front();
        }
    }
}

void PermitIssuer::refill(Endpoint &endpoint, std::uint64_t nowMs) const
{
    double returned = 0;
    for (auto &[gateway, account] : endpoint.accounts) {
        returned += static_cast<double>(std::exchange(account.returned, 0));
    }
    const double room = std::max(0.0, this->burst(endpoint) - static_cast<double>(PermitIssuer::outstanding(endpoint)));
    const double added = permitsPerSecond(*endpoint.limit->perSecond) * static_cast<double>(nowMs - std::min(nowMs, endpoint.refilledMs)) / MsPerSecond;
    endpoint.tokens = std::min(room, endpoint.tokens + added + returned);
    endpoint.refilledMs = nowMs;
}

double PermitIssuer::Account::weight() const
{
    return permitWeight(this->demand, this->waiting);
}

std::uint64_t PermitIssuer::Account::outstanding() const
{
    return this->issued - this->settled;
}

bool PermitIssuer::isFresh(const Account &account, std::uint64_t nowMs) const
{
    return nowMs - std::min(nowMs, account.reportedMs) <= this->options.reportValidMs;
}

std::map<std::string, std::uint32_t> PermitIssuer::draw(Endpoint &endpoint, const std::set<std::string> &gateways, std::uint64_t nowMs)
{
    std::vector<std::pair<const std::string, Account> *> asking;
    std::vector<double> weights;
    for (auto &entry : endpoint.accounts) {
        const Account &account = entry.second;
        if (!gateways.contains(entry.first) || !this->isFresh(account, nowMs) || account.wanted <= account.outstanding()) {
            continue;
        }
        asking.push_back(&entry);
        weights.push_back(account.weight());
    }
    std::map<std::string, std::uint32_t> drawn;
    while (endpoint.tokens >= 1 && !asking.empty()) {
        const std::size_t index = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
        auto &[gateway, account] = *asking[index];
        ++drawn[gateway];
        ++account.issued;
        account.issuedAtMs.emplace_back(nowMs, account.issued);
        endpoint.tokens -= 1;
        if (account.wanted <= account.outstanding()) {
            asking.erase(asking.begin() + static_cast<std::ptrdiff_t>(index));
            weights.erase(weights.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return drawn;
}

std::map<std::string, std::vector<Wire::EndpointPermits>> PermitIssuer::issue(const std::set<std::string> &gateways, std::uint64_t nowMs)
{
    this->prune(nowMs);
    std::map<std::string, std::vector<Wire::EndpointPermits>> issued;
    for (auto &[name, endpoint] : this->endpoints) {
        if (!endpoint.limit || !endpoint.limit->perSecond) {
            continue;
        }
        this->settleEnded(endpoint, nowMs);
        this->refill(endpoint, nowMs);
        const std::map<std::string, std::uint32_t> drawn = this->draw(endpoint, gateways, nowMs);
        double sum = 0;
        for (const auto &[gateway, account] : endpoint.accounts) {
            sum += this->isFresh(account, nowMs) ? account.weight() : 0;
        }
        for (auto &[gateway, account] : endpoint.accounts) {
            if (!gateways.contains(gateway) || !this->isFresh(account, nowMs)) {
                continue;
            }
            const auto found = drawn.find(gateway);
            const std::uint32_t count = found == drawn.end() ? 0 : found->second;
            const double othersWeight = sum - account.weight();
            if (count == 0 && account.toldWeight && isAbout(othersWeight, *account.toldWeight)) {
                continue;
            }
            account.toldWeight = othersWeight;
            Wire::EndpointPermits &permits = issued[gateway].emplace_back();
            permits.set_endpoint(name);
            permits.set_born_ms(endpoint.bornMs);
            permits.set_count(count);
            permits.set_issued(account.issued);
            permits.set_others_weight(othersWeight);
        }
    }
    return issued;
}

} // namespace Apricothead
