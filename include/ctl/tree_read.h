#ifndef CH_CTL_TREE_READ_H
#define CH_CTL_TREE_READ_H

#include "ctl/tree.h"

/*
 * Reads YAML files into trees. Only the subset of YAML that JSON can express
 * is accepted: no anchors, aliases, tags, keys other than scalars, duplicate
 * keys or second documents.
 */

/*
 * Reads a file. An empty file is an empty map. Returns RC_OK, or RC_INVALID
 * with "FILE:LINE: field: what", or RC_NO_MEMORY with "out of memory", in
 * `*error` (free with g_free). LINE is 0 when the file cannot be read.
 */
int tree_read_file(const char *path, struct tree_node **out, char **error);

#endif
