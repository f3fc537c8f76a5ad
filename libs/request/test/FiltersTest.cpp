// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/Filters.h"

#include <gtest/gtest.h>

#include <optional>

namespace pierbank {
namespace {

class FiltersTest : public ::testing::Test {
protected:
    std::optional<CallerAnswer> run(RequestFilter& filter, const CallerRequest& request) {
        std::optional<CallerAnswer> given;
        m_exchange = std::make_shared<CallerExchange>(
                request, Millis(0), [&](const CallerAnswer& answer) { given = answer; });
        m_hasPassed = false;
        filter.handle(m_exchange, [this] { m_hasPassed = true; });
        return given;
    }

    RequestLimits m_limits;
    CallerExchangePtr m_exchange;
    bool m_hasPassed = false;
};

struct BadRequest {
    const char* m_name;
    CallerRequest m_request;
    std::uint32_t m_status;
};

CallerRequest withHeader(const char* name, const std::string& value) {
    CallerRequest request;
    request.m_method = "POST";
    request.m_headers = {{name, value}};
    return request;
}

CallerRequest withBody(std::size_t bytes) {
    CallerRequest request;
    request.m_body.assign(bytes, 'x');
    return request;
}

class BadRequestTest : public FiltersTest, public ::testing::WithParamInterface<BadRequest> {};

TEST_P(BadRequestTest, IsRefusedAndDidNotRun) {
    LimitsFilter filter(m_limits);
    const auto answer = run(filter, GetParam().m_request);
    ASSERT_TRUE(answer.has_value());
    EXPECT_FALSE(m_hasPassed);
    EXPECT_EQ(answer->m_outcome, CallerOutcome::NOT_RUN);
    EXPECT_EQ(answer->m_status, GetParam().m_status);
    EXPECT_FALSE(answer->m_detail.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Table, BadRequestTest,
        ::testing::Values(
                BadRequest{"LargeBody", withBody((4U << 20U) + 1), 413},
                BadRequest{"TimeoutNotANumber", withHeader("Pierbank-Timeout-Ms", "soon"), 400},
                BadRequest{"TimeoutZero", withHeader("Pierbank-Timeout-Ms", "0"), 400},
                BadRequest{"TimeoutNegative", withHeader("Pierbank-Timeout-Ms", "-5"), 400},
                BadRequest{"RepeatUnknown", withHeader("Pierbank-Repeat", "maybe"), 400},
                BadRequest{"LongKey", withHeader("Idempotency-Key", std::string(129, 'k')), 400},
                BadRequest{"LargeHeaders", withHeader("X", std::string(40'000, 'x')), 431}),
        [](const auto& info) { return info.param.m_name; });

TEST_F(FiltersTest, OnlyWhatHttpCallsIdempotentIsRepeatedUnasked) {
    LimitsFilter filter(m_limits);
    CallerRequest request;
    for (const char* method : {"GET", "PUT", "DELETE", "HEAD"}) {
        request.m_method = method;
        run(filter, request);
        EXPECT_TRUE(m_exchange->getRequest().m_isRepeatable) << method;
    }
    for (const char* method : {"POST", "PATCH", "LOCK"}) {
        request.m_method = method;
        run(filter, request);
        EXPECT_FALSE(m_exchange->getRequest().m_isRepeatable) << method;
    }
    request = withHeader("Pierbank-Repeat", "never");
    request.m_method = "GET";
    run(filter, request);
    EXPECT_FALSE(m_exchange->getRequest().m_isRepeatable);
}

TEST_F(FiltersTest, AnOrganisationHasSoManyRequestsAtATime) {
    m_limits.m_maxPerOrganisation = 1;
    OrganisationFilter filter(m_limits, [](std::string_view name) { return name != "nobody"; });
    CallerRequest request;
    EXPECT_EQ(run(filter, request)->m_status, 400U);
    request.m_organisation = "nobody";
    EXPECT_EQ(run(filter, request)->m_status, 403U);
    request.m_organisation = "a";
    EXPECT_FALSE(run(filter, request).has_value());
    const CallerExchangePtr first = m_exchange;
    EXPECT_EQ(run(filter, request)->m_status, 429U);
    first->abandon();
    EXPECT_FALSE(run(filter, request).has_value());
}

}  // namespace
}  // namespace pierbank
