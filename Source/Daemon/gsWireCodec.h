/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Conversions between the core's structs and the protobuf messages sent to
 * peers.
 */
#pragma once

#include "Generated/gsPeer.pb.h"
#include "gsHallMembership.h"
#include "gsLoadExchange.h"
#include "gsMembership.h"
#include "gsPool.h"

gsRequestId gsFromWire(gradescale::RequestId const& wire);
gsGrantRequest gsFromWire(gradescale::Ask const& wire);
gsMember gsFromWire(gradescale::Member const& wire);
gsLoadReport gsFromWire(gradescale::LoadReport const& wire);
gsHallMessage gsFromWire(gradescale::HallNews const& wire);
gsGrantMeasurements gsMeasuredFromWire(gradescale::Release const& wire);

void gsToWire(gsRequestId const& id, gradescale::RequestId* wire);
void gsToWire(gsGrantRequest const& ask, gradescale::Ask* wire);
void gsToWire(gsMember const& member, gradescale::Member* wire);
void gsToWire(gsGrant const& grant, gradescale::Grant* wire);
void gsToWire(gsLoadReport const& report, gradescale::LoadReport* wire);
void gsToWire(gsHallMessage const& message, gradescale::HallNews* wire);
void gsToWire(gsRefusal const& refusal, gradescale::Refusal* wire);
