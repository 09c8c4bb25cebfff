#include <plumsill/metrics.h>

#include <array>
#include <sstream>

namespace plumsill
{
namespace
{
constexpr unsigned LatencyBins = 60;
constexpr double LatencyMinSeconds = 1e-4;
constexpr double LatencyMaxSeconds = 60;

struct OutcomeColumn {
    const char *label;
    std::uint64_t TrafficCounts::*count;
};

constexpr std::array OutcomeColumns {
    OutcomeColumn {"good", &TrafficCounts::good},
    OutcomeColumn {"bad", &TrafficCounts::bad},
    OutcomeColumn {"over_rate", &TrafficCounts::overRate},
    OutcomeColumn {"owner_unreachable", &TrafficCounts::ownerUnreachable},
    OutcomeColumn {"not_trusted", &TrafficCounts::notTrusted},
};

void writeCounts(std::ostream &out, const std::map<TrafficKey, TrafficCounts> &counts)
{
    out << "# TYPE plumsill_requests_total counter\n";
    for (const auto &[key, value] : counts) {
        for (const auto &column : OutcomeColumns) {
            out << "plumsill_requests_total{service=\"" << key.service.value << "\",team=\"" << key.team.value << "\",outcome=\"" << column.label << "\"} "
                << value.*column.count << "\n";
        }
    }
}

void writeLatency(std::ostream &out, const ServiceName &service, const LatencyHistogram &histogram)
{
    const auto &axis = histogram.axis(0);
    double sum = 0;
    double cumulative = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        const double count = histogram.at(bin);
        cumulative += count;
        sum += count * (bin < 0 ? LatencyMinSeconds : axis.bin(bin).center());
        out << "plumsill_request_seconds_bucket{service=\"" << service.value << "\",le=\"" << axis.value(bin + 1) << "\"} " << cumulative << "\n";
    }
    const double above = histogram.at(axis.size());
    cumulative += above;
    sum += above * LatencyMaxSeconds;
    out << "plumsill_request_seconds_bucket{service=\"" << service.value << "\",le=\"+Inf\"} " << cumulative << "\n";
    out << "plumsill_request_seconds_sum{service=\"" << service.value << "\"} " << sum << "\n";
    out << "plumsill_request_seconds_count{service=\"" << service.value << "\"} " << cumulative << "\n";
}
}

namespace
{
void writeCounter(std::ostream &out, const char *name, std::uint64_t value)
{
    out << "# TYPE " << name << " counter\n" << name << " " << value << "\n";
}

void writeLimits(std::ostream &out, const LimitCounts &counts, const std::map<unsigned, InstanceUse> &useByThread)
{
    InstanceUse use;
    for (const auto &[thread, part] : useByThread) {
        use.heldBytes += part.heldBytes;
        use.peakHeldBytes += part.peakHeldBytes;
        use.linkBytes += part.linkBytes;
        use.pacedFlows += part.pacedFlows;
    }
    writeCounter(out, "plumsill_answers_paced_total", counts.paced);
    writeCounter(out, "plumsill_refused_for_memory_total", counts.refusedForMemory);
    writeCounter(out, "plumsill_streamed_for_memory_total", counts.streamedForMemory);
    writeCounter(out, "plumsill_hedges_withheld_total", counts.hedgesWithheld);
    writeCounter(out, "plumsill_link_bytes_total", use.linkBytes);
    out << "# TYPE plumsill_held_bytes gauge\nplumsill_held_bytes " << use.heldBytes << "\n";
    out << "# TYPE plumsill_held_bytes_peak gauge\nplumsill_held_bytes_peak " << use.peakHeldBytes << "\n";
    out << "# TYPE plumsill_large_answers gauge\nplumsill_large_answers " << use.pacedFlows << "\n";
}
}

LatencyHistogram makeLatencyHistogram()
{
    return boost::histogram::make_histogram(LatencyAxis(LatencyBins, LatencyMinSeconds, LatencyMaxSeconds));
}

LimitCounts &LimitCounts::operator+=(const LimitCounts &other)
{
    paced += other.paced;
    refusedForMemory += other.refusedForMemory;
    streamedForMemory += other.streamedForMemory;
    hedgesWithheld += other.hedgesWithheld;
    return *this;
}

TrafficCounts &TrafficCounts::operator+=(const TrafficCounts &other)
{
    for (const auto &column : OutcomeColumns) {
        this->*column.count += other.*column.count;
    }
    return *this;
}

void Metrics::add(const TrafficReport &report)
{
    for (const auto &[key, counts] : report.counts) {
        m_counts[key] += counts;
    }
    for (const auto &[service, histogram] : report.latency) {
        auto [entry, added] = m_latency.try_emplace(service, histogram);
        if (!added) {
            entry->second += histogram;
        }
    }
    for (const auto &[status, count] : report.rejected) {
        m_rejected[status] += count;
    }
    m_retries += report.retries;
    m_limits += report.limits;
    m_use[report.thread] = report.use;
}

std::string Metrics::prometheusText(const std::vector<Gauge> &gauges) const
{
    std::ostringstream out;
    writeCounts(out, m_counts);
    out << "# TYPE plumsill_request_seconds histogram\n";
    for (const auto &[service, histogram] : m_latency) {
        writeLatency(out, service, histogram);
    }
    out << "# TYPE plumsill_rejected_total counter\n";
    for (const auto &[status, count] : m_rejected) {
        out << "plumsill_rejected_total{status=\"" << status << "\"} " << count << "\n";
    }
    out << "# TYPE plumsill_retries_total counter\nplumsill_retries_total " << m_retries << "\n";
    writeLimits(out, m_limits, m_use);
    const std::string *name = nullptr;
    for (const auto &gauge : gauges) {
        if (name == nullptr || *name != gauge.name) {
            out << "# TYPE " << gauge.name << " gauge\n";
        }
        name = &gauge.name;
        out << gauge.name << (gauge.labels.empty() ? "" : "{" + gauge.labels + "}") << " " << gauge.value << "\n";
    }
    return out.str();
}
}
