#include <uv.h>

#include "common/log.h"
#include "common/rc.h"
#include "standin/store.h"

static void
on_signal(uv_signal_t *signal, int number)
{
    uv_stop(signal->loop);
}

int
main(int argc, char **argv)
{
    struct sto_options options;
    if (sto_options_parse(&options, argc, argv) != RC_OK ||
        log_open("standin-store", "store", options.log_level) != RC_OK) {
        return 2;
    }
    uv_loop_t *loop = uv_default_loop();
    struct sto *store;
    if (sto_open(loop, &options, &store) != RC_OK) {
        return 2;
    }
    log_info("main", "listening address=%s", options.listen);
    static uv_signal_t terminate;
    static uv_signal_t interrupt;
    uv_signal_init(loop, &terminate);
    uv_signal_start(&terminate, on_signal, SIGTERM);
    uv_signal_init(loop, &interrupt);
    uv_signal_start(&interrupt, on_signal, SIGINT);
    uv_run(loop, UV_RUN_DEFAULT);
    log_close();
    return 0;
}
