/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The mode of a feature that an operator switches on in the settings.
 */
#pragma once

enum class gsFeatureMode
{
  Off,    ///< The feature neither decides nor exchanges anything.
  DryRun, ///< It decides and logs, but its decisions are not carried out.
  On
};

/** Whether the feature keeps its state and makes its decisions. */
inline bool gsIsActive(gsFeatureMode mode)
{
  return mode != gsFeatureMode::Off;
}
