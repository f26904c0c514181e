// Settings of extra sends, which gateways and coordinators share.
#ifndef APRICOTYARD_EXTRA_SEND_SETTINGS_H
#define APRICOTYARD_EXTRA_SEND_SETTINGS_H

#include "extra_budget.h"
#include "settings.h"

namespace apricotyard {

struct ExtraSendSettings
{
  ExtraBudgetLimits mLimits;
  // Whether coordinators keep a pool of extra sends for each service; see extra_send_pool.h. Must
  // be the same on all hosts, like the limits.
  bool mPooled = false;
};

// Reads the table extra_sends. Not thread-safe. Reports errors to the reader.
void
ReadExtraSendSettings(SettingsReader& aReader, ExtraSendSettings& aSettings);

} // namespace apricotyard

#endif
