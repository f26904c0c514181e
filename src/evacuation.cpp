#include "evacuation.h"

#include "evacuation.pb.h"

#include <algorithm>

namespace apricotyard {

bool
ApplyOrder(Evacuations& aEvacuations, const EvacuationOrder& aOrder, Revision aIndex)
{
  std::set<std::string>& dataCentres = aEvacuations.mDataCentres;
  if (!aOrder.mEnd && dataCentres.size() >= kMaxEvacuated) {
    return false;
  }
  const bool changed = aOrder.mEnd ? dataCentres.erase(aOrder.mDataCentre) > 0
                                   : dataCentres.insert(aOrder.mDataCentre).second;
  aEvacuations.mRevision = changed ? aIndex : aEvacuations.mRevision;
  return changed;
}

std::string
EncodeOrder(const EvacuationOrder& aOrder)
{
  rpc::StateCommand command;
  command.mutable_evacuation()->set_data_centre(aOrder.mDataCentre);
  command.mutable_evacuation()->set_end(aOrder.mEnd);
  return command.SerializeAsString();
}

Expected<EvacuationOrder>
DecodeOrder(std::string_view aData)
{
  rpc::StateCommand command;
  if (!command.ParseFromArray(aData.data(), static_cast<int>(aData.size())) ||
      command.evacuation().data_centre().empty()) {
    return Fail(Result::StorageCorrupt, "stored order cannot be read");
  }
  return EvacuationOrder{ command.evacuation().data_centre(), command.evacuation().end() };
}

std::string
EncodeEvacuations(const Evacuations& aEvacuations)
{
  rpc::StoredEvacuations stored;
  stored.set_revision(aEvacuations.mRevision);
  for (const std::string& dataCentre : aEvacuations.mDataCentres) {
    stored.add_data_centres(dataCentre);
  }
  return stored.SerializeAsString();
}

Expected<Evacuations>
DecodeEvacuations(std::string_view aData)
{
  rpc::StoredEvacuations stored;
  if (!stored.ParseFromArray(aData.data(), static_cast<int>(aData.size()))) {
    return Fail(Result::StorageCorrupt, "stored list of evacuations cannot be read");
  }
  return Evacuations{ stored.revision(),
                      { stored.data_centres().begin(), stored.data_centres().end() } };
}

bool
LearnEvacuations(EvacuationView& aView,
                 const std::string& aIp,
                 EvacuationReport aReport,
                 TimePoint aNow)
{
  const std::set<std::string> before = EvacuatedDataCentres(aView);
  if (aReport.mCommitted.mRevision > aView.mCommitted.mRevision) {
    aView.mCommitted = std::move(aReport.mCommitted);
  }
  if (aReport.mUncommitted.empty()) {
    aView.mUncommitted.erase(aIp);
  } else {
    aView.mUncommitted[aIp] = { std::move(aReport.mUncommitted), aNow };
  }
  // Without contact with the group, a silent coordinator may hold the only copy of an acknowledged
  // order that is still reachable.
  if (aReport.mCurrent) {
    std::erase_if(aView.mUncommitted, [aNow](const auto& aEntry) {
      return aEntry.second.mAt + kUncommittedOrderLifetime < aNow;
    });
  }
  return EvacuatedDataCentres(aView) != before;
}

std::set<std::string>
EvacuatedDataCentres(const EvacuationView& aView)
{
  std::set<std::string> dataCentres = aView.mCommitted.mDataCentres;
  for (const auto& [ip, uncommitted] : aView.mUncommitted) {
    dataCentres.insert(uncommitted.mDataCentres.begin(), uncommitted.mDataCentres.end());
  }
  return dataCentres;
}

} // namespace apricotyard
