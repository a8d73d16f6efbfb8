#include <signal.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "load/load.h"
#include "standin/run.h"

/* Memory of the values of one answer. */
#define MAIN_VALUES_MAX_BYTES (64 * 1024 * 1024)

int
main(int argc, char **argv)
{
    /* A write to a connection that the peer closed must not end the process.
     */
    (void)signal(SIGPIPE, SIG_IGN);
    static struct load_options options;
    if (load_options_parse(&options, argc, argv) != RC_OK) {
        return 2;
    }
    standin_raise_file_limit();
    json_room_set_max(MAIN_VALUES_MAX_BYTES);
    return load_run(&options);
}
