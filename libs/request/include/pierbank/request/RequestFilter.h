// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_REQUESTFILTER_H
#define PIERBANK_REQUEST_REQUESTFILTER_H

#include <functional>
#include <memory>
#include <vector>

#include "pierbank/request/CallerExchange.h"

namespace pierbank {

/** One step of the way of a caller's request. */
class RequestFilter {
public:
    using Next = std::function<void()>;

    virtual ~RequestFilter() = default;

    /** Answers the exchange, or calls `next` once, now or later. */
    virtual void handle(const CallerExchangePtr& exchange, Next next) = 0;
};

/** Filters in their order. The last one must answer every exchange. */
class FilterChain {
public:
    /** The filters must outlive all exchanges. */
    void add(RequestFilter& filter) { m_filters.push_back(&filter); }

    void run(const CallerExchangePtr& exchange) { runFrom(0, exchange); }

private:
    void runFrom(std::size_t index, const CallerExchangePtr& exchange) {
        if (index >= m_filters.size() || exchange->isDone()) {
            return;
        }
        m_filters[index]->handle(exchange,
                                 [this, index, exchange] { runFrom(index + 1, exchange); });
    }

    std::vector<RequestFilter*> m_filters;
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_REQUESTFILTER_H
