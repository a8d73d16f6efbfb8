#include <signal.h>
#include <sys/resource.h>

#include "standin/run.h"

void
standin_raise_file_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static void
standin_on_signal(uv_signal_t *handle, int number)
{
    uv_stop(handle->loop);
}

void
standin_run(uv_loop_t *loop)
{
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_init(loop, &terminate);
    uv_signal_start(&terminate, standin_on_signal, SIGTERM);
    uv_signal_init(loop, &interrupt);
    uv_signal_start(&interrupt, standin_on_signal, SIGINT);
    uv_run(loop, UV_RUN_DEFAULT);
}
