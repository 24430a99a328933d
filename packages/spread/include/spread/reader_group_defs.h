/*
 * Why a host reads the platform for its data centre.
 */
#ifndef SPREAD_READER_GROUP_DEFS_H
#define SPREAD_READER_GROUP_DEFS_H

/**
 * enum reader_group_reason - why a host reads
 * @READER_GROUP_NOT_READING: the host doesn't read
 * @READER_GROUP_BY_RANK: the host is among the first hosts by rank
 * @READER_GROUP_FAILED: hosts above this host report failed reads
 * @READER_GROUP_SILENT: no host above this host was answered in time
 * @READER_GROUP_TOO_FEW: too few hosts above this host were answered in time
 * @READER_GROUP_NONE_ANSWERED: no active host is answered
 */
enum reader_group_reason {
	READER_GROUP_NOT_READING = 0,
	READER_GROUP_BY_RANK,
	READER_GROUP_FAILED,
	READER_GROUP_SILENT,
	READER_GROUP_TOO_FEW,
	READER_GROUP_NONE_ANSWERED,
};

#endif
