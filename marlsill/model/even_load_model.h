#pragma once

// Plays VMs that share upstreams of few slots with old information on their load, in virtual time, to compare
// ways to choose an upstream.
//
//     auto result = playEvenLoad<home_choice>({ .upstreams = 157, .reportAge = milliseconds(150) }, 7);
//     std::cout << result.meanWaitMs << result.p99WaitMs;
//
// The upstreams are divided into cells, whose VMs report the requests that they have in flight to each other,
// at intervals and with a delay. Upstreams differ in speed, and some become slower when all slots are busy.
// Plays with the same options and seed are identical.

#include "marlsill/model/virtual_clock.h"
#include "marlsill/placement/upstream_ranking.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <concepts>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

namespace marlsill::model {

struct even_load_options {
    int upstreams = 157;
    int upstreamsPerCell = 24;
    int vmsPerCell = 4;
    int slots = 2;
    std::size_t queueLimit = 8;
    double utilization = 0.5; // Of the slots of all upstreams.
    std::chrono::milliseconds work { 250 }; // Mean; a request takes 0.5 to 1.5 times as long.
    double speedSpread = 0.4; // Upstreams are up to this share faster or slower.
    double slowdownShare = 0.33; // Of the upstreams, which take half as long again when all slots are busy.
    bool hasBalancedHomes = true; // Else by hashing alone.
    std::chrono::milliseconds reportInterval { 150 };
    std::chrono::milliseconds reportDelay { 3 };
    std::chrono::milliseconds askTime { 6 }; // A question to a peer and its answer.
    double vmSpread = 0.5; // VMs get up to this share more or fewer requests.
    std::chrono::milliseconds duration { 40'000 };
    std::chrono::milliseconds settleTime { 5'000 };
};

struct even_load_result {
    int requests = 0;
    int refused = 0; // By an upstream whose queue was full.
    int refusedWhileFree = 0; // Of these, while a slot of the cell was free.
    int waited = 0; // At upstreams.
    double meanWaitMs = 0;
    double p99WaitMs = 0;
    double idleWhileQueued = 0; // Mean number of free slots of a cell while requests wait at others of it.
    double busiest = 0; // Requests of the busiest upstream as a multiple of the mean.
    double messagesPerRequest = 0; // Load reports and questions, by the VM of the request.
    double bytesPerRequest = 0;
};

// What a VM knows of an upstream of its cell.
struct known_upstream {
    int own = 0; // This VM's requests in flight.
    int reported = 0; // Other VMs' as of their last reports.
    double ageMs = 0; // Of the last report that changed it.
    double sentSince = 0; // Requests that this VM has sent to it since then.
    double latencyMs = 0; // Of this VM's last request to it; 0 if there was none.
    bool isHome = false;
    int slots = 2;
};

// A way to choose an upstream. May keep state, one instance for each VM.
template <typename Choice>
concept even_load_choice = std::default_initializable<Choice> && requires(
    Choice choice, std::span<const known_upstream> known, std::mt19937_64& random)
{
    {
        choice.choose(known, random)
        } -> std::same_as<std::size_t>;
    choice.recordEnd(std::size_t(), known);
    {
        Choice::asksPeers
        } -> std::convertible_to<bool>;
};

// Takes the least score, at random among equal ones.
template <typename Score>
std::size_t leastOf(std::span<const known_upstream> known, std::mt19937_64& random, Score score)
{
    std::size_t best = 0;
    std::optional<decltype(score(known[0]))> least;
    int equal = 0;
    for (std::size_t index = 0; index < known.size(); ++index) {
        auto current = score(known[index]);
        if (!least || current < *least) {
            least = current;
            best = index;
            equal = 1;
        } else if (!(*least < current) && random() % static_cast<unsigned>(++equal) == 0) {
            best = index;
        }
    }
    return best;
}

struct stateless_choice {
    static constexpr bool asksPeers = false;
    void recordEnd(std::size_t, std::span<const known_upstream>) { }
};

// The least known load, as for services with more slots.
struct spread_choice : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        return leastOf(known, random, [](const known_upstream& each) {
            return placement::spread_ranking().rank(
                { .inFlight = each.own + each.reported, .slots = each.slots, .isLocal = each.isHome });
        });
    }
};

// The less loaded of two random ones.
struct two_choices : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        auto first = random() % known.size();
        auto second = random() % known.size();
        auto load = [&](std::size_t index) { return known[index].own + known[index].reported; };
        return load(second) < load(first) ? second : first;
    }
};

// An upstream that this VM saw become idle, the one that has been so for longest; else a random one.
struct idle_queue_choice {
    static constexpr bool asksPeers = false;

    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        while (!m_idle.empty()) {
            auto index = m_idle.front();
            m_idle.pop_front();
            if (known[index].own == 0) {
                return index;
            }
        }
        return random() % known.size();
    }

    void recordEnd(std::size_t index, std::span<const known_upstream> known)
    {
        if (known[index].own == 0) {
            m_idle.push_back(index);
        }
    }

private:
    std::deque<std::size_t> m_idle;
};

// The least load, old reports being drawn towards the mean.
struct aged_choice : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        constexpr double lifetimeMs = 250; // About the time that a request takes.
        double mean = 0;
        for (const auto& each : known) {
            mean += static_cast<double>(each.reported) / static_cast<double>(known.size());
        }
        return leastOf(known, random, [&](const known_upstream& each) {
            double trust = std::exp(-each.ageMs / lifetimeMs);
            return each.own + trust * each.reported + (1 - trust) * mean;
        });
    }
};

// The least load, corrected by how much longer than usual this VM's last request took there.
struct response_choice : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        double usual = 0;
        int samples = 0;
        for (const auto& each : known) {
            usual += each.latencyMs;
            samples += each.latencyMs > 0 ? 1 : 0;
        }
        usual = samples == 0 ? 1 : usual / samples;
        return leastOf(known, random, [&](const known_upstream& each) {
            return each.own + each.reported + 0.5 * std::max(0.0, each.latencyMs / usual - 1);
        });
    }
};

// A fixed share of the upstreams by hashing, and the others' idle ones when it is full.
struct home_choice : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        return leastOf(known, random, [](const known_upstream& each) {
            return placement::home_ranking().rank(
                { .inFlight = each.own + each.reported, .slots = each.slots, .isHome = each.isHome });
        });
    }
};

// Likewise, but the others' idle ones before the second slot of its own.
struct idle_first_choice : stateless_choice {
    std::size_t choose(std::span<const known_upstream> known, std::mt19937_64& random)
    {
        return leastOf(known, random, [](const known_upstream& each) {
            int inFlight = each.own + each.reported;
            return std::pair(inFlight, each.isHome ? 0 : 1);
        });
    }
};

// Slots are leased: a VM that has none free asks the homes of the others, which know, and waits for that.
struct leased_choice : home_choice {
    static constexpr bool asksPeers = true;
};

// Plays a service; see the file comment.
template <even_load_choice Choice> class even_load_model {
public:
    even_load_model(const even_load_options& options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
        for (int left = options.upstreams; left > 0; left -= options.upstreamsPerCell) {
            makeCell(std::min(left, options.upstreamsPerCell));
        }
    }

    even_load_result run()
    {
        for (auto& each : m_cells) {
            scheduleArrival(*each);
            for (std::size_t vm = 0; vm < each->vms.size(); ++vm) {
                m_clock.runAfter(
                    randomTime(m_options.reportInterval), [this, &each, vm] { report(*each, vm); });
            }
        }
        m_clock.runAfter(m_options.settleTime, [this] { sample(); });
        m_clock.runUntil(m_options.settleTime + m_options.duration);
        finish();
        return m_result;
    }

private:
    struct upstream {
        double speed = 1;
        bool isSlowedDown = false;
        int busy = 0;
        int arrivals = 0;
        std::deque<std::function<void()>> queue {};
        std::vector<int> byVm; // In flight.
    };

    struct vm {
        Choice choice {};
        std::vector<known_upstream> known;
        std::vector<steady_clock::time_point> reportedAt;
        std::vector<std::vector<int>> peers; // Of each upstream, by VM.
        std::vector<int> lastReported;
        double weight = 1;
    };

    struct cell {
        std::vector<upstream> upstreams;
        std::vector<vm> vms;
    };

    double randomFraction() { return std::uniform_real_distribution<>()(m_random); }

    std::chrono::microseconds randomTime(std::chrono::milliseconds max)
    {
        return std::chrono::microseconds(
            static_cast<std::int64_t>(1000 * randomFraction() * static_cast<double>(max.count())) + 1);
    }

    bool isMeasured() const { return m_clock.elapsed() >= m_options.settleTime; }

    void makeCell(int count)
    {
        auto made = std::make_unique<cell>();
        auto size = static_cast<std::size_t>(count);
        auto vms = static_cast<std::size_t>(m_options.vmsPerCell);
        for (int index = 0; index < count; ++index) {
            made->upstreams.push_back({ .speed = 1 + m_options.speedSpread * (2 * randomFraction() - 1),
                .isSlowedDown = randomFraction() < m_options.slowdownShare,
                .byVm = std::vector<int>(vms) });
        }
        for (std::size_t index = 0; index < vms; ++index) {
            vm each { .known = std::vector<known_upstream>(size),
                .reportedAt = std::vector<steady_clock::time_point>(size, m_clock.now()),
                .peers = std::vector<std::vector<int>>(size, std::vector<int>(vms)),
                .lastReported = std::vector<int>(size),
                .weight = 1 + m_options.vmSpread * (2 * randomFraction() - 1) };
            made->vms.push_back(std::move(each));
        }
        for (std::size_t index = 0; index < size; ++index) {
            auto home = m_options.hasBalancedHomes ? index % vms : m_random() % vms;
            made->vms[home].known[index].isHome = true;
            for (auto& each : made->vms) {
                each.known[index].slots = m_options.slots;
            }
        }
        m_cells.push_back(std::move(made));
    }

    void scheduleArrival(cell& in)
    {
        double perMs = m_options.utilization * m_options.slots * static_cast<double>(in.upstreams.size())
            / static_cast<double>(m_options.work.count());
        auto delayMs = std::exponential_distribution<>(perMs)(m_random);
        m_clock.runAfter(
            std::chrono::microseconds(static_cast<std::int64_t>(1000 * delayMs) + 1), [this, &in] {
                double sum = 0;
                for (const auto& each : in.vms) {
                    sum += each.weight;
                }
                double at = randomFraction() * sum;
                std::size_t vm = 0;
                while (vm + 1 < in.vms.size() && at > in.vms[vm].weight) {
                    at -= in.vms[vm++].weight;
                }
                m_result.requests += isMeasured() ? 1 : 0;
                send(in, vm);
                scheduleArrival(in);
            });
    }

    void send(cell& in, std::size_t from)
    {
        auto& local = in.vms[from];
        for (std::size_t index = 0; index < local.known.size(); ++index) {
            local.known[index].ageMs
                = std::chrono::duration<double, std::milli>(m_clock.now() - local.reportedAt[index]).count();
        }
        auto chosen = local.choice.choose(local.known, m_random);
        std::chrono::microseconds delay(0);
        if (Choice::asksPeers && !(local.known[chosen].isHome && local.known[chosen].own < m_options.slots)) {
            // Each home that is asked knows the requests at its upstreams.
            auto free = std::find_if(in.upstreams.begin(), in.upstreams.end(), [&](const upstream& each) {
                int sum = 0;
                for (int part : each.byVm) {
                    sum += part;
                }
                return sum < m_options.slots;
            });
            chosen
                = free == in.upstreams.end() ? chosen : static_cast<std::size_t>(free - in.upstreams.begin());
            delay = m_options.askTime;
            countMessages(2, messageBytes);
        }
        auto& target = in.upstreams[chosen];
        ++target.byVm[from];
        ++local.known[chosen].own;
        m_clock.runAfter(delay, [this, &in, from, chosen] { arrive(in, from, chosen); });
    }

    void arrive(cell& in, std::size_t from, std::size_t index)
    {
        auto& target = in.upstreams[index];
        auto arrivedAt = m_clock.now();
        target.arrivals += isMeasured() ? 1 : 0;
        auto run = [this, &in, &target, from, index, arrivedAt] {
            auto waitMs = std::chrono::duration<double, std::milli>(m_clock.now() - arrivedAt).count();
            if (isMeasured()) {
                m_waits.push_back(waitMs);
            }
            ++target.busy;
            double slowdown = target.isSlowedDown && target.busy == m_options.slots ? 1.5 : 1;
            auto lengthMs = static_cast<double>(m_options.work.count()) * target.speed * slowdown
                * (0.5 + randomFraction());
            m_clock.runAfter(std::chrono::microseconds(static_cast<std::int64_t>(1000 * lengthMs)),
                [this, &in, &target, from, index, arrivedAt] {
                    --target.busy;
                    end(in, from, index, arrivedAt);
                    if (!target.queue.empty()) {
                        auto next = std::move(target.queue.front());
                        target.queue.pop_front();
                        next();
                    }
                });
        };
        if (target.busy < m_options.slots) {
            run();
        } else if (target.queue.size() < m_options.queueLimit) {
            target.queue.push_back(run);
        } else {
            m_result.refused += isMeasured() ? 1 : 0;
            m_result.refusedWhileFree += isMeasured() && freeSlots(in) > 0 ? 1 : 0;
            end(in, from, index, arrivedAt);
        }
    }

    void end(cell& in, std::size_t from, std::size_t index, steady_clock::time_point arrivedAt)
    {
        auto& local = in.vms[from];
        --in.upstreams[index].byVm[from];
        --local.known[index].own;
        local.known[index].latencyMs
            = std::chrono::duration<double, std::milli>(m_clock.now() - arrivedAt).count();
        local.choice.recordEnd(index, local.known);
    }

    void countMessages(int count, int bytes)
    {
        if (isMeasured()) {
            m_messages += count;
            m_bytes += static_cast<std::int64_t>(count) * bytes;
        }
    }

    // Tells the other VMs of the cell this VM's requests in flight where they have changed.
    void report(cell& in, std::size_t from)
    {
        auto& local = in.vms[from];
        std::vector<std::pair<std::size_t, int>> changed;
        for (std::size_t index = 0; index < local.known.size(); ++index) {
            if (std::exchange(local.lastReported[index], local.known[index].own) != local.known[index].own) {
                changed.emplace_back(index, local.known[index].own);
            }
        }
        if (!changed.empty()) {
            countMessages(static_cast<int>(in.vms.size()) - 1,
                messageBytes + static_cast<int>(changed.size()) * bytesPerLoad);
            m_clock.runAfter(m_options.reportDelay, [this, &in, from, changed] {
                for (std::size_t to = 0; to < in.vms.size(); ++to) {
                    for (auto [index, count] : changed) {
                        applyReport(in.vms[to], from == to ? in.vms.size() : from, index, count);
                    }
                }
            });
        }
        m_clock.runAfter(m_options.reportInterval, [this, &in, from] { report(in, from); });
    }

    void applyReport(vm& to, std::size_t from, std::size_t index, int count)
    {
        if (from == to.peers[index].size()) {
            return; // Its own.
        }
        auto& part = to.peers[index][from];
        to.known[index].reported += count - std::exchange(part, count);
        to.reportedAt[index] = m_clock.now();
    }

    int freeSlots(const cell& in) const
    {
        int sum = 0;
        for (const auto& each : in.upstreams) {
            sum += std::max(0, m_options.slots - each.busy);
        }
        return sum;
    }

    void sample()
    {
        for (const auto& each : m_cells) {
            std::size_t queued = 0;
            for (const auto& target : each->upstreams) {
                queued += target.queue.size();
            }
            m_idleWhileQueued += std::min<double>(static_cast<double>(queued), freeSlots(*each));
            ++m_samples;
        }
        m_clock.runAfter(std::chrono::milliseconds(20), [this] { sample(); });
    }

    void finish()
    {
        std::sort(m_waits.begin(), m_waits.end());
        double sum = 0;
        for (double each : m_waits) {
            sum += each;
            m_result.waited += each > 0 ? 1 : 0;
        }
        auto count = std::max<std::size_t>(1, m_waits.size());
        m_result.meanWaitMs = sum / static_cast<double>(count);
        m_result.p99WaitMs = m_waits.empty() ? 0 : m_waits[count * 99 / 100];
        m_result.idleWhileQueued = m_idleWhileQueued / std::max(1, m_samples);
        int most = 0;
        int all = 0;
        for (const auto& each : m_cells) {
            for (const auto& target : each->upstreams) {
                most = std::max(most, target.arrivals);
                all += target.arrivals;
            }
        }
        m_result.busiest = static_cast<double>(most) * m_options.upstreams / std::max(1, all);
        m_result.messagesPerRequest = static_cast<double>(m_messages) / std::max(1, m_result.requests);
        m_result.bytesPerRequest = static_cast<double>(m_bytes) / std::max(1, m_result.requests);
    }

    static constexpr int messageBytes = 60; // Datagram headers included.
    static constexpr int bytesPerLoad = 24;

    const even_load_options m_options;
    std::mt19937_64 m_random;
    virtual_clock m_clock;
    std::vector<std::unique_ptr<cell>> m_cells;
    std::vector<double> m_waits;
    double m_idleWhileQueued = 0;
    int m_samples = 0;
    std::int64_t m_messages = 0;
    std::int64_t m_bytes = 0;
    even_load_result m_result;
};

template <even_load_choice Choice>
even_load_result playEvenLoad(const even_load_options& options, std::uint64_t seed)
{
    return even_load_model<Choice>(options, seed).run();
}

}
