#include <signal.h>
#include <uv.h>

#include "agent/agent.h"
#include "common/log.h"
#include "common/rc.h"

static void
main_on_signal(uv_signal_t *handle, int number)
{
    agent_stop(handle->data);
}

int
main(int argc, char **argv)
{
    struct agent_options options;
    if (agent_options_parse(&options, argc, argv) != RC_OK) {
        return 2;
    }
    if (log_open("agent", options.machine, options.log_level) != RC_OK) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    uv_loop_t *loop = uv_default_loop();
    struct agent agent;
    if (agent_open(&agent, loop, &options) != RC_OK) {
        log_error("main", "cannot start listen=%s http=%s", options.listen,
                  options.http_listen);
        log_close();
        return 1;
    }
    log_info("main", "started zone=%s start=%016lx", options.zone,
             (unsigned long)agent.start);
    uv_signal_t terminate;
    uv_signal_t interrupt;
    terminate.data = &agent;
    interrupt.data = &agent;
    uv_signal_init(loop, &terminate);
    uv_signal_init(loop, &interrupt);
    uv_signal_start(&terminate, main_on_signal, SIGTERM);
    uv_signal_start(&interrupt, main_on_signal, SIGINT);
    (void)uv_run(loop, UV_RUN_DEFAULT);
    agent_close(&agent);
    agent_options_clear(&options);
    log_close();
    return 0;
}
