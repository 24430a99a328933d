/*
 * Validation of service names.
 */
#include <string.h>

#include "base/service_name.h"

bool
service_name_valid(const char *name, size_t len)
{
	size_t i;

	if (len == 0 || len >= SERVICE_NAME_BYTES)
		return false;
	for (i = 0; i < len; i++) {
		if ((unsigned char)name[i] <= ' ' || name[i] == '\x7f' ||
		    strchr("\"\\/", name[i]) != NULL)
			return false;
	}
	return true;
}
