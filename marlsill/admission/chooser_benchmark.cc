// Compares the load-balancing policies on a service of 8 upstreams with 3 slots each and 6 entry VMs that
// know only their own load; the sizes are those of a production bookings service. Service times are
// exponential, the random numbers are seeded, and time is simulated.
//
// A request to an upstream whose slots are all in use by requests of other VMs is shed there, which costs one
// round trip. It is tried on up to two other upstreams and then counts as refused.

#include "marlsill/admission/chooser.h"
#include "marlsill/routing/serving_set.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>

namespace marlsill::admission {

namespace {

    constexpr int upstreamCount = 8;
    constexpr int slotsPerUpstream = 3;
    constexpr int entryVmCount = 6;
    constexpr double meanServiceTime = 0.050; // seconds
    constexpr double roundTripTime = 0.003; // seconds
    constexpr double maxWait = 0.5; // Seconds, after which a waiting request is refused.
    constexpr int requestCount = 200'000;
    constexpr int maxAttempts = 3;

    struct request {
        double arrived = 0;
        int entryVm = 0;
        int attempts = 0;
    };

    enum class event_kind {
        arrival,
        retry,
        finish,
    };

    struct event {
        double at = 0;
        event_kind kind = event_kind::arrival;
        request job;
        std::size_t upstream = 0;
        bool operator<(const event& other) const { return at > other.at; }
    };

    struct result {
        double shedPercent = 0;
        double refusedPercent = 0;
        double p50 = 0;
        double p99 = 0;
    };

    template <upstream_chooser Chooser> class simulation {
    public:
        simulation(Chooser chooser, double load, bool usesSlotShares)
            : m_chooser(chooser)
            , m_usesSlotShares(usesSlotShares)
            , m_inFlight(entryVmCount, std::vector<int>(upstreamCount, 0))
            , m_busy(upstreamCount, 0)
            , m_waiting(entryVmCount)
            , m_arrivalRate(load * upstreamCount * slotsPerUpstream / meanServiceTime)
        {
        }

        result run()
        {
            schedule({ 0, event_kind::arrival });
            while (!m_events.empty()) {
                auto next = m_events.top();
                m_events.pop();
                m_now = next.at;
                handle(next);
            }
            std::sort(m_latencies.begin(), m_latencies.end());
            return { 100.0 * m_sheds / requestCount, 100.0 * m_refused / requestCount,
                1e3 * m_latencies[m_latencies.size() / 2], 1e3 * m_latencies[m_latencies.size() * 99 / 100] };
        }

    private:
        void schedule(event next) { m_events.push(next); }

        void handle(const event& next)
        {
            switch (next.kind) {
            case event_kind::arrival:
                if (++m_arrived < requestCount) {
                    schedule({ m_now + std::exponential_distribution<double>(m_arrivalRate)(m_random),
                        event_kind::arrival });
                }
                return enqueue({ m_now, static_cast<int>(m_random() % entryVmCount), 0 });
            case event_kind::retry:
                return enqueue(next.job);
            case event_kind::finish:
                --m_busy[next.upstream];
                --m_inFlight[next.job.entryVm][next.upstream];
                m_latencies.push_back(m_now - next.job.arrived);
                return admitWaiting(next.job.entryVm);
            }
        }

        void enqueue(request job)
        {
            m_waiting[job.entryVm].push_back(job);
            admitWaiting(job.entryVm);
        }

        void admitWaiting(int entryVm)
        {
            auto& waiting = m_waiting[entryVm];
            while (!waiting.empty()) {
                if (m_now - waiting.front().arrived > maxWait) {
                    ++m_refused;
                    waiting.pop_front();
                    continue;
                }
                auto chosen = choose(entryVm);
                if (!chosen) {
                    return;
                }
                auto job = waiting.front();
                waiting.pop_front();
                send(job, *chosen);
            }
        }

        std::optional<std::size_t> choose(int entryVm)
        {
            std::vector<candidate> candidates;
            for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
                int ownSlots = m_usesSlotShares
                    ? routing::slotShare(static_cast<int>(upstream) * slotsPerUpstream, slotsPerUpstream,
                        static_cast<std::size_t>(entryVm), entryVmCount)
                    : 0;
                candidates.push_back({ upstream, m_inFlight[entryVm][upstream], slotsPerUpstream, ownSlots });
            }
            return m_chooser(candidates, m_random);
        }

        void send(request job, std::size_t upstream)
        {
            ++job.attempts;
            if (m_busy[upstream] >= slotsPerUpstream) {
                ++m_sheds;
                if (job.attempts < maxAttempts) {
                    schedule({ m_now + roundTripTime, event_kind::retry, job });
                } else {
                    ++m_refused;
                }
                return;
            }
            ++m_busy[upstream];
            ++m_inFlight[job.entryVm][upstream];
            double serviceTime = std::exponential_distribution<double>(1 / meanServiceTime)(m_random);
            schedule({ m_now + serviceTime + roundTripTime, event_kind::finish, job, upstream });
        }

        Chooser m_chooser;
        bool m_usesSlotShares;
        std::vector<std::vector<int>> m_inFlight;
        std::vector<int> m_busy;
        std::vector<std::deque<request>> m_waiting;
        double m_arrivalRate; // per second
        std::priority_queue<event> m_events;
        std::vector<double> m_latencies;
        std::mt19937_64 m_random { 5 };
        double m_now = 0;
        int m_arrived = 0;
        int m_sheds = 0;
        int m_refused = 0;
    };

    template <upstream_chooser Chooser>
    void printRow(const char* name, Chooser chooser, double load, bool usesSlotShares)
    {
        auto measured = simulation<Chooser>(chooser, load, usesSlotShares).run();
        std::printf("load %3.0f %%  %-22s sheds %6.2f %%  refused %6.2f %%  p50 %6.1f ms  p99 %6.1f ms\n",
            load * 100, name, measured.shedPercent, measured.refusedPercent, measured.p50, measured.p99);
    }

}

}

int main()
{
    using namespace marlsill::admission;
    for (double load : { 0.6, 0.9, 1.2 }) {
        printRow("random", random_choice {}, load, false);
        printRow("two choices", two_choices {}, load, false);
        printRow("slot shares", slot_share_choice {}, load, true);
        printRow("slot shares, borrowing", slot_share_choice { .alwaysBorrows = true }, load, true);
    }
    return 0;
}
