#include <signal.h>
#include "common/log.h"
#include "common/rc.h"
#include "standin/run.h"
#include "standin/store.h"

int
main(int argc, char **argv)
{
    /* A write to a connection that the peer closed must not end the process.
     */
    (void)signal(SIGPIPE, SIG_IGN);
    /* Static, so that a leak checker still reaches what they own at exit. */
    static struct store_options options;
    if (store_options_parse(&options, argc, argv) != RC_OK ||
        log_open("standin-store", "store", options.log_level) != RC_OK) {
        return 2;
    }
    standin_raise_file_limit();
    uv_loop_t *loop = uv_default_loop();
    static struct store *store;
    if (store_open(loop, &options, &store) != RC_OK) {
        return 2;
    }
    log_info("main", "store is listening address=%s", options.listen);
    standin_run(loop);
    log_close();
    return 0;
}
