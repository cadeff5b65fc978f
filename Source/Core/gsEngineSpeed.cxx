/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEngineSpeed.h"

double gsEngineSpeedOf(gsFleet const& /*fleet*/, gsFleetRow const& /*row*/)
{
  return 1;
}
