#include "marlsill/base/build_version.h"

namespace marlsill {

std::string_view buildVersion() { return MARLSILL_VERSION; }

}
