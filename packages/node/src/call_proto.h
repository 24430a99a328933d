/*
 * Wrapper of proto/messages.h for files that also use package traffic.
 *
 * proto/gen/membership.h and traffic/endpoints.h both have an enum
 * endpoint_state.  The call path uses the enum of traffic; the generated one is
 * renamed here.
 */
#ifndef CALL_PROTO_H
#define CALL_PROTO_H

#define endpoint_state member_endpoint_state
#define ENDPOINT_STARTING MEMBER_ENDPOINT_STARTING
#define ENDPOINT_READY MEMBER_ENDPOINT_READY
#define ENDPOINT_DRAINING MEMBER_ENDPOINT_DRAINING
#define ENDPOINT_LEFT MEMBER_ENDPOINT_LEFT
#include "proto/messages.h"
#undef endpoint_state
#undef ENDPOINT_STARTING
#undef ENDPOINT_READY
#undef ENDPOINT_DRAINING
#undef ENDPOINT_LEFT

#endif
