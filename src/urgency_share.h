// Chooses among classes of different urgency: the most urgent one with waiting requests is served
// first, and the others together get a fixed share of the departures, so that they do not starve.
// Shared by the queues of admission.h and fair_queue.h.
#ifndef APRICOTYARD_URGENCY_SHARE_H
#define APRICOTYARD_URGENCY_SHARE_H

namespace apricotyard {

// Share of the departures reserved for less urgent classes while more urgent requests wait.
inline constexpr double kLessUrgentShare = 0.2;

// Returns the class to serve next, or null if nothing waits. Adds credit for one departure to each
// waiting class other than the most urgent one, divided by weight. aClasses is a map whose values
// have mSize, mUrgency (smaller is more urgent), mWeight and mCredit.
template<typename Classes>
auto*
ChooseByUrgency(Classes& aClasses)
{
  typename Classes::mapped_type* mostUrgent = nullptr;
  double weights = 0;
  for (auto& [name, candidate] : aClasses) {
    if (candidate.mSize > 0) {
      weights += candidate.mWeight;
      if (mostUrgent == nullptr || candidate.mUrgency < mostUrgent->mUrgency) {
        mostUrgent = &candidate;
      }
    }
  }
  if (mostUrgent == nullptr) {
    return mostUrgent;
  }
  weights -= mostUrgent->mWeight;
  auto* chosen = mostUrgent;
  for (auto& [name, candidate] : aClasses) {
    if (candidate.mSize == 0 || &candidate == mostUrgent) {
      continue;
    }
    candidate.mCredit += kLessUrgentShare * candidate.mWeight / weights;
    if (candidate.mCredit >= 1 && (chosen == mostUrgent || candidate.mCredit > chosen->mCredit)) {
      chosen = &candidate;
    }
  }
  if (chosen != mostUrgent) {
    chosen->mCredit -= 1;
  }
  return chosen;
}

} // namespace apricotyard

#endif
