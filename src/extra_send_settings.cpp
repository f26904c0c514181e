#include "extra_send_settings.h"

namespace apricotyard {

void
ReadExtraSendSettings(SettingsReader& aReader, ExtraSendSettings& aSettings)
{
  constexpr double kMaxFixedExtraSends = 1e6;
  aReader.Number("extra_sends.ratio", Presence::Optional, 0, 1, aSettings.mLimits.mRatio);
  aReader.Time("extra_sends.window",
               Presence::Optional,
               std::chrono::seconds(1),
               std::chrono::minutes(10),
               aSettings.mLimits.mWindow);
  aReader.Number(
    "extra_sends.fixed", Presence::Optional, 0, kMaxFixedExtraSends, aSettings.mLimits.mFixed);
  aReader.Boolean("extra_sends.pooled", Presence::Optional, aSettings.mPooled);
}

} // namespace apricotyard
