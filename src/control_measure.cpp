#include "control_measure.h"

#include "config.h"
#include "control.pb.h"
#include "directory.h"
#include "loop.h"

#include <functional>

#include <fmt/format.h>
#include <malloc.h>

namespace apricotyard {

namespace {

constexpr std::size_t kReplicaCounts[] = { 600, 1200, 2400, 4900 };
constexpr std::size_t kHostCounts[] = { 100, 200, 400, 780 };
constexpr std::size_t kSectionCounts[] = { 25, 50, 100, 200 };
constexpr int kRepetitions = 20;

struct Point
{
  double mSize;
  double mValue;
};

// Returns the slope of the least-squares line through the points.
double
FitSlope(const std::vector<Point>& aPoints)
{
  double meanSize = 0;
  double meanValue = 0;
  for (const Point& point : aPoints) {
    meanSize += point.mSize / static_cast<double>(aPoints.size());
    meanValue += point.mValue / static_cast<double>(aPoints.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& point : aPoints) {
    covariance += (point.mSize - meanSize) * (point.mValue - meanValue);
    variance += (point.mSize - meanSize) * (point.mSize - meanSize);
  }
  return covariance / variance;
}

// Measures one quantity at each size. Appends a line per size and a line with the slope to aOut.
void
MeasureSlope(std::string& aOut,
             const char* aName,
             const char* aValueUnit,
             const char* aSizeUnit,
             std::span<const std::size_t> aSizes,
             const std::function<double(std::size_t)>& aMeasure)
{
  std::vector<Point> points;
  for (const std::size_t size : aSizes) {
    const double value = aMeasure(size);
    points.push_back({ static_cast<double>(size), value });
    aOut += fmt::format("measure={} {}={} {}={:.3f}\n", aName, aSizeUnit, size, aValueUnit, value);
  }
  aOut +=
    fmt::format("slope={} {}_per_{}={:.4f}\n", aName, aValueUnit, aSizeUnit, FitSlope(points));
}

UpstreamInfo
MakeInfo(std::size_t aIndex, std::uint64_t aSequence)
{
  UpstreamInfo info;
  info.mId = fmt::format("replica-{:05}", aIndex);
  info.mIncarnation = 1;
  info.mSequence = aSequence;
  info.mService = fmt::format("service-{:04}", aIndex / 3);
  info.mMap = 1;
  info.mAddress = { fmt::format("10.0.{}.{}", aIndex / 250, aIndex % 250 + 1), 7300 };
  info.mDataCentre = "centre-1";
  info.mSlots = 4;
  info.mConnections = 40;
  info.mVersions = { 1, 2 };
  info.mState = UpstreamState::Ready;
  return info;
}

Directory
MakeDirectory(std::size_t aReplicas)
{
  Directory directory;
  directory.mHost = "entry-1";
  directory.mIncarnation = 1;
  for (std::size_t i = 0; i < aReplicas; ++i) {
    ApplyAnnouncement(directory, MakeInfo(i, 1), TimePoint{});
  }
  return directory;
}

// Returns the mean elapsed time of one call in microseconds.
double
MeanMicros(int aCalls, const std::function<void()>& aCall)
{
  const TimePoint start = SteadyNow();
  for (int i = 0; i < aCalls; ++i) {
    aCall();
  }
  return static_cast<double>((SteadyNow() - start).count()) / aCalls;
}

// Returns the heap memory of a directory.
double
DirectoryBytes(std::size_t aReplicas)
{
  const std::size_t before = mallinfo2().uordblks;
  const Directory directory = MakeDirectory(aReplicas);
  return static_cast<double>(mallinfo2().uordblks - before);
}

// Returns the time to apply one renewal of every replica.
double
RenewalMicros(std::size_t aReplicas)
{
  Directory directory = MakeDirectory(aReplicas);
  std::uint64_t sequence = 2;
  const double elapsed = MeanMicros(kRepetitions, [&] {
    for (std::size_t i = 0; i < aReplicas; ++i) {
      ApplyAnnouncement(directory, MakeInfo(i, sequence), TimePoint{});
    }
    ++sequence;
  });
  return elapsed;
}

double
DigestMicros(std::size_t aReplicas)
{
  const Directory directory = MakeDirectory(aReplicas);
  return MeanMicros(kRepetitions, [&] { (void)ComputeDigest(directory); });
}

// Returns the size of a SyncReply that carries a roster.
double
RosterBytes(std::size_t aHosts)
{
  rpc::SyncReply reply;
  for (std::size_t i = 0; i < aHosts; ++i) {
    rpc::Host* const host = reply.mutable_settled()->add_hosts();
    host->set_host(fmt::format("entry-{:03}", i));
    host->set_data_centre("centre-1");
    host->set_caller_address("10.0.100.100:7200");
    host->set_peer_address("10.0.100.100:7201");
  }
  return static_cast<double>(reply.ByteSizeLong());
}

std::string
MakeDocument(std::size_t aSections)
{
  std::string document = "[class.check]\ndeadline = '290ms'\n";
  for (std::size_t i = 0; i < aSections; ++i) {
    document += fmt::format("[collection.c{}]\nservices = ['a{}', 'b{}', 'c{}']\n"
                            "default_class = 'check'\nreplicas = 3\nslots = 4\n",
                            i,
                            i,
                            i,
                            i);
  }
  return document;
}

double
ParseMicros(std::size_t aSections)
{
  const std::string document = MakeDocument(aSections);
  return MeanMicros(kRepetitions, [&] { (void)ParseConfig("document", document); });
}

double
DocumentBytes(std::size_t aSections)
{
  return static_cast<double>(MakeDocument(aSections).size());
}

// Measures a heartbeat request of an entry host and a reply without changes.
std::string
MeasureHeartbeat()
{
  rpc::SyncRequest request;
  request.set_host("entry-001");
  request.set_incarnation(1'796'377'201'305'662);
  request.set_data_centre("centre-1");
  request.set_caller_address("10.0.100.100:7200");
  request.set_peer_address("10.0.100.100:7201");
  rpc::SyncReply reply;
  reply.set_revision(400'000);
  reply.set_leading(true);
  reply.set_required_revision(400'000);
  reply.set_lease_ms(2000);
  reply.set_settled_epoch(100'000);
  reply.set_claim_epoch(17'000);
  return fmt::format("measure=heartbeat request_bytes={} reply_bytes={}\n",
                     request.ByteSizeLong(),
                     reply.ByteSizeLong());
}

} // namespace

std::string
MeasureControl()
{
  std::string out = MeasureHeartbeat();
  MeasureSlope(out, "directory", "bytes", "replica", kReplicaCounts, &DirectoryBytes);
  MeasureSlope(out, "renewals", "us", "replica", kReplicaCounts, &RenewalMicros);
  MeasureSlope(out, "digest", "us", "replica", kReplicaCounts, &DigestMicros);
  MeasureSlope(out, "roster", "bytes", "host", kHostCounts, &RosterBytes);
  MeasureSlope(out, "document", "bytes", "section", kSectionCounts, &DocumentBytes);
  MeasureSlope(out, "parse", "us", "section", kSectionCounts, &ParseMicros);
  return out;
}

} // namespace apricotyard
