#define _GNU_SOURCE

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

#define POLL_MAX 4096
#define GATEWAYS_MAX 16

struct timer {
    double due_s;
    world_timer_cb callback;
    void *ctx;
    struct timer *next;
};

struct listener {
    int fd;
    listener_accept_cb on_accept;
    void *ctx;
    struct listener *next;
};

static struct timespec world_start;
static struct timer *timers;
static struct listener *listeners;
static struct conn *conns;
static uint64_t conn_serial;
static FILE *record;
static int net;
static char folder[128];
static volatile sig_atomic_t was_signalled;
static struct gateway *started[GATEWAYS_MAX];
static int started_count;

struct bounds world_bounds = {
    .grace_s = 6,
    .extra_ratio = 0.2,
    .extra_count = 52,
    .overshoot = 1.5,
    .slack = 5,
    .apply_ms = 3000,
    .drain_ms = 3000,
    .ttl_max_s = 5,
};

static void *
xalloc(size_t bytes)
{
    void *block = calloc(1, bytes);
    if (block == NULL) {
        abort();
    }
    return block;
}

double
world_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - world_start.tv_sec) +
           (double)(now.tv_nsec - world_start.tv_nsec) / 1e9;
}

bool
world_has_trouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
world_log(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(record, "%8.3f ", world_now());
    vfprintf(record, format, args);
    fputc('\n', record);
    va_end(args);
}

static void
world_end_processes(void)
{
    for (int i = 0; i < started_count; i++) {
        if (started[i]->pid > 0) {
            kill(started[i]->pid, SIGCONT);
            kill(started[i]->pid, SIGKILL);
            waitpid(started[i]->pid, NULL, 0);
            started[i]->pid = 0;
        }
    }
    if (folder[0] != '\0') {
        for (int i = 0; i < started_count; i++) {
            unlink(started[i]->settings);
            unlink(started[i]->log);
        }
        rmdir(folder);
    }
}

static void
world_end(int status, const char *verdict, const char *format, va_list args)
{
    char text[1024];
    vsnprintf(text, sizeof(text), format, args);
    fprintf(record, "%8.3f verdict: %s: %s\n", world_now(), verdict, text);
    fclose(record);
    printf("%s: %s\n", verdict, text);
    fflush(stdout);
    world_end_processes();
    exit(status);
}

void
world_finish(bool is_broken, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    world_end(is_broken ? 1 : 0, is_broken ? "broken" : "held", format, args);
    abort();
}

void
world_give_up(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    world_end(2, "could not run", format, args);
    abort();
}

void
world_after(double delay_s, world_timer_cb callback, void *ctx)
{
    struct timer *timer = xalloc(sizeof(*timer));
    timer->due_s = world_now() + delay_s;
    timer->callback = callback;
    timer->ctx = ctx;
    struct timer **at = &timers;
    while (*at != NULL && (*at)->due_s <= timer->due_s) {
        at = &(*at)->next;
    }
    timer->next = *at;
    *at = timer;
}

void
world_address(char out[32], int high, int low, int port)
{
    snprintf(out, 32, "127.%d.%d.%d:%d", net, high, low, port);
}

static bool
address_parse(const char *address, struct sockaddr_in *out)
{
    char host[32];
    const char *colon = strrchr(address, ':');
    snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static int
socket_listen(const char *address)
{
    struct sockaddr_in to;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!address_parse(address, &to) ||
        bind(fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
        listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
world_on_signal(int number)
{
    was_signalled = 1;
}

void
world_init(const char *record_path)
{
    clock_gettime(CLOCK_MONOTONIC, &world_start);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, world_on_signal);
    signal(SIGINT, world_on_signal);
    record = fopen(record_path, "w");
    if (record == NULL) {
        fprintf(stderr, "cannot write %s\n", record_path);
        exit(2);
    }
    setvbuf(record, NULL, _IOFBF, 1 << 16);
    srand((unsigned)getpid() ^ (unsigned)time(NULL));
    /* The socket stays open: another case that runs at the same time takes
     * another network. */
    int claim = -1;
    for (int i = 0; i < 50 && claim < 0; i++) {
        net = 20 + rand() % 200;
        char address[32];
        world_address(address, 0, 1, 7002);
        claim = socket_listen(address);
    }
    if (claim < 0) {
        world_give_up("no free network");
    }
    snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (mkdtemp(folder) == NULL) {
        world_give_up("no temporary folder");
    }
    world_log("disruption: %s", world_has_trouble() ? "yes" : "no");
}

/* --- connections --- */

static struct conn *
conn_new(int fd)
{
    int on = 1;
    struct conn *conn = xalloc(sizeof(*conn));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    conn->fd = fd;
    conn_serial += 1;
    conn->serial = conn_serial;
    conn->next = conns;
    conns = conn;
    return conn;
}

struct conn *
conn_find(uint64_t serial)
{
    for (struct conn *conn = conns; conn != NULL; conn = conn->next) {
        if (conn->serial == serial && conn->fd >= 0) {
            return conn;
        }
    }
    return NULL;
}

void
conn_close(struct conn *conn)
{
    if (conn->fd < 0) {
        return;
    }
    close(conn->fd);
    conn->fd = -1;
    if (conn->on_closed != NULL) {
        conn->on_closed(conn);
    }
}

void
conn_reset(struct conn *conn)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    if (conn->fd >= 0) {
        setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
    conn_close(conn);
}

static void
conn_flush(struct conn *conn)
{
    while (conn->fd >= 0 && conn->out_bytes > 0) {
        ssize_t count = send(conn->fd, conn->out, conn->out_bytes, 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count < 0) {
            conn_close(conn);
            return;
        }
        memmove(conn->out, conn->out + count, conn->out_bytes - (size_t)count);
        conn->out_bytes -= (size_t)count;
    }
    if (conn->fd >= 0 && conn->closes_after_write) {
        conn_close(conn);
    }
}

void
conn_write(struct conn *conn, const char *bytes, size_t count)
{
    if (conn->fd < 0) {
        return;
    }
    if (conn->out_bytes + count > conn->out_size) {
        conn->out_size = (conn->out_bytes + count) * 2;
        conn->out = realloc(conn->out, conn->out_size);
    }
    memcpy(conn->out + conn->out_bytes, bytes, count);
    conn->out_bytes += count;
    conn_flush(conn);
}

void
conn_printf(struct conn *conn, const char *format, ...)
{
    char *text = NULL;
    va_list args;
    va_start(args, format);
    int count = vasprintf(&text, format, args);
    va_end(args);
    conn_write(conn, text, (size_t)count);
    free(text);
}

struct conn *
conn_connect(const char *address, conn_message_cb on_message,
             conn_closed_cb on_closed, void *ctx)
{
    struct sockaddr_in to;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!address_parse(address, &to) ||
        (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
         errno != EINPROGRESS)) {
        close(fd);
        return NULL;
    }
    struct conn *conn = conn_new(fd);
    conn->is_client = true;
    conn->on_message = on_message;
    conn->on_closed = on_closed;
    conn->ctx = ctx;
    return conn;
}

const char *
message_header(const struct message *message, const char *name)
{
    for (int i = 0; i < message->header_count; i++) {
        if (strcasecmp(message->names[i], name) == 0) {
            return message->values[i];
        }
    }
    return NULL;
}

/* Decodes a chunked body in place. Returns the bytes used, 0: incomplete. */
static size_t
chunked_decode(char *at, size_t bytes, size_t *body_bytes)
{
    size_t used = 0;
    *body_bytes = 0;
    while (used < bytes) {
        char *line_end = memmem(at + used, bytes - used, "\r\n", 2);
        if (line_end == NULL) {
            return 0;
        }
        size_t size = strtoul(at + used, NULL, 16);
        size_t data = (size_t)(line_end - at) + 2;
        if (data + size + 2 > bytes) {
            return 0;
        }
        memmove(at + *body_bytes, at + data, size);
        *body_bytes += size;
        used = data + size + 2;
        if (size == 0) {
            return used;
        }
    }
    return 0;
}

/* Parses one message at the start of the input. Returns the bytes used, 0 if
 * it is incomplete. */
static size_t
message_parse(struct conn *conn, struct message *out, char **copy)
{
    char *end = memmem(conn->in, conn->in_bytes, "\r\n\r\n", 4);
    if (end == NULL) {
        return 0;
    }
    *copy = xalloc(conn->in_bytes + 1);
    memcpy(*copy, conn->in, conn->in_bytes);
    size_t head = (size_t)(end - conn->in) + 4;
    (*copy)[head - 2] = '\0';
    memset(out, 0, sizeof(*out));
    char *save = NULL;
    char *line = strtok_r(*copy, "\r\n", &save);
    char *word_save = NULL;
    for (int i = 0; i < 3; i++) {
        char *word =
            strtok_r(i == 0 ? line : NULL, i < 2 ? " " : "", &word_save);
        out->start[i] = word != NULL ? word : "";
    }
    while ((line = strtok_r(NULL, "\r\n", &save)) != NULL &&
           out->header_count < WORLD_HEADERS_MAX) {
        char *colon = strchr(line, ':');
        if (colon == NULL) {
            continue;
        }
        *colon = '\0';
        char *value = colon + 1;
        while (*value == ' ') {
            value += 1;
        }
        out->names[out->header_count] = line;
        out->values[out->header_count] = value;
        out->header_count += 1;
    }
    const char *length = message_header(out, "content-length");
    const char *coding = message_header(out, "transfer-encoding");
    out->body = *copy + head;
    size_t used = head;
    if (coding != NULL) {
        size_t body =
            chunked_decode(out->body, conn->in_bytes - head, &out->body_bytes);
        used = body > 0 ? head + body : 0;
    }
    else if (length != NULL && !conn->is_head) {
        out->body_bytes = strtoul(length, NULL, 10);
        used = head + out->body_bytes;
    }
    if (used == 0 || used > conn->in_bytes) {
        free(*copy);
        *copy = NULL;
        return 0;
    }
    return used;
}

static void
conn_read(struct conn *conn)
{
    bool is_ended = false;
    while (!is_ended) {
        if (conn->in_size - conn->in_bytes < 65536) {
            conn->in_size = conn->in_bytes + 131072;
            conn->in = realloc(conn->in, conn->in_size);
        }
        ssize_t count = recv(conn->fd, conn->in + conn->in_bytes,
                             conn->in_size - conn->in_bytes, 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        is_ended = count <= 0;
        conn->in_bytes += count > 0 ? (size_t)count : 0;
    }
    struct message message;
    char *copy = NULL;
    size_t used = 0;
    while (conn->fd >= 0 && conn->in_bytes > 0 &&
           (used = message_parse(conn, &message, &copy)) > 0) {
        memmove(conn->in, conn->in + used, conn->in_bytes - used);
        conn->in_bytes -= used;
        conn->on_message(conn, &message);
        free(copy);
    }
    if (is_ended) {
        conn_close(conn);
    }
}

struct listener *
listener_open(const char *address, listener_accept_cb on_accept, void *ctx)
{
    int fd = socket_listen(address);
    if (fd < 0) {
        world_give_up("cannot listen on %s", address);
    }
    struct listener *listener = xalloc(sizeof(*listener));
    listener->fd = fd;
    listener->on_accept = on_accept;
    listener->ctx = ctx;
    listener->next = listeners;
    listeners = listener;
    return listener;
}

void
listener_close(struct listener *listener)
{
    close(listener->fd);
    listener->fd = -1;
}

static void
world_sweep(void)
{
    struct conn **at = &conns;
    while (*at != NULL) {
        struct conn *conn = *at;
        if (conn->fd < 0) {
            *at = conn->next;
            free(conn->in);
            free(conn->out);
            free(conn);
        }
        else {
            at = &conn->next;
        }
    }
    struct listener **slot = &listeners;
    while (*slot != NULL) {
        struct listener *listener = *slot;
        if (listener->fd < 0) {
            *slot = listener->next;
            free(listener);
        }
        else {
            slot = &listener->next;
        }
    }
}

static void
world_reap(void)
{
    int status = 0;
    pid_t pid = 0;
    while ((pid = waitpid(-1, &status, WNOHANG)) > 0) {
        for (int i = 0; i < started_count; i++) {
            if (started[i]->pid == pid) {
                started[i]->pid = 0;
                world_log("%s ended: %s %d", started[i]->name,
                          WIFSIGNALED(status) ? "signal" : "status",
                          WIFSIGNALED(status) ? WTERMSIG(status)
                                              : WEXITSTATUS(status));
            }
        }
    }
}

static void
world_poll(int wait_ms)
{
    static struct pollfd fds[POLL_MAX];
    static struct conn *polled[POLL_MAX];
    static struct listener *polled_listeners[POLL_MAX];
    int count = 0;
    world_sweep();
    for (struct listener *item = listeners; item != NULL; item = item->next) {
        fds[count] = (struct pollfd){.fd = item->fd, .events = POLLIN};
        polled[count] = NULL;
        polled_listeners[count] = item;
        count += 1;
    }
    for (struct conn *item = conns; item != NULL && count < POLL_MAX;
         item = item->next) {
        fds[count] = (struct pollfd){
            .fd = item->fd,
            .events = (short)(POLLIN | (item->out_bytes > 0 ? POLLOUT : 0)),
        };
        polled[count] = item;
        count += 1;
    }
    if (poll(fds, (nfds_t)count, wait_ms) <= 0) {
        return;
    }
    for (int i = 0; i < count; i++) {
        if (fds[i].revents == 0) {
            continue;
        }
        if (polled[i] == NULL) {
            struct listener *listener = polled_listeners[i];
            int fd = listener->fd < 0 ? -1
                                      : accept4(listener->fd, NULL, NULL,
                                                SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0) {
                listener->on_accept(conn_new(fd), listener->ctx);
            }
            continue;
        }
        if (polled[i]->fd >= 0 && (fds[i].revents & POLLOUT) != 0) {
            conn_flush(polled[i]);
        }
        if (polled[i]->fd >= 0 &&
            (fds[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
            conn_read(polled[i]);
        }
    }
}

void
world_run(double end_s)
{
    double now = world_now();
    while (now < end_s) {
        while (timers != NULL && timers->due_s <= now) {
            struct timer *timer = timers;
            timers = timer->next;
            timer->callback(timer->ctx);
            free(timer);
        }
        double next =
            timers != NULL && timers->due_s < end_s ? timers->due_s : end_s;
        int wait_ms = (int)((next - world_now()) * 1000) + 1;
        world_poll(wait_ms < 0 ? 0 : wait_ms > 50 ? 50 : wait_ms);
        world_reap();
        if (was_signalled) {
            world_give_up("ended by a signal");
        }
        now = world_now();
    }
}

/* --- store --- */

#define STORE_PATH "/carobhatch/objects/"

struct object {
    char kind[32];
    char name[64];
    char *spec; /* NULL: deleted */
    int64_t revision;
    struct object *next;
};

struct watch {
    uint64_t conn;
    char kind[32];
    int64_t revision;
    double until_s;
    struct watch *next;
};

char store_address[32];
static struct object *objects; /* as they are */
static struct object *history; /* all changes, latest first */
static struct watch *watches;
static int64_t store_revision = 100;

static void
store_respond(struct conn *conn, int status, const char *body)
{
    conn_printf(conn,
                "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                status, strlen(body), body);
}

static void
object_print(FILE *out, const struct object *object)
{
    fprintf(out,
            "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,\"created\":1,"
            "\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
            "\"status\":null}",
            object->name, (long long)object->revision,
            object->spec != NULL ? object->spec : "{}");
}

/* Events of the kind after the revision, oldest first. Returns their number.
 */
static int
events_print(FILE *out, const struct object *from, const char *kind,
             int64_t revision)
{
    if (from == NULL || from->revision <= revision) {
        return 0;
    }
    int count = events_print(out, from->next, kind, revision);
    if (strcmp(from->kind, kind) != 0) {
        return count;
    }
    fprintf(out, "%s{\"deleted\":%s,\"object\":", count > 0 ? "," : "",
            from->spec == NULL ? "true" : "false");
    object_print(out, from);
    fputc('}', out);
    return count + 1;
}

/* Answers the watch if it has events or its time has passed. */
static bool
watch_answer(const struct watch *watch)
{
    struct conn *conn = conn_find(watch->conn);
    if (conn == NULL) {
        return true;
    }
    char *text = NULL;
    size_t bytes = 0;
    FILE *out = open_memstream(&text, &bytes);
    fprintf(out, "{\"events\":[");
    int count = events_print(out, history, watch->kind, watch->revision);
    fprintf(out, "],\"current_rev\":%lld}", (long long)store_revision);
    fclose(out);
    bool is_due = count > 0 || world_now() >= watch->until_s;
    if (is_due) {
        store_respond(conn, 200, text);
    }
    free(text);
    return is_due;
}

static void
watches_answer(void)
{
    struct watch **at = &watches;
    while (*at != NULL) {
        struct watch *watch = *at;
        if (watch_answer(watch)) {
            *at = watch->next;
            free(watch);
        }
        else {
            at = &watch->next;
        }
    }
}

static void
watches_tick(void *ctx)
{
    watches_answer();
    world_after(0.05, watches_tick, NULL);
}

static struct object **
object_find(const char *kind, const char *name)
{
    struct object **at = &objects;
    while (*at != NULL && (strcmp((*at)->kind, kind) != 0 ||
                           strcmp((*at)->name, name) != 0)) {
        at = &(*at)->next;
    }
    return at;
}

static struct object *
object_new(const char *kind, const char *name, const char *spec)
{
    struct object *object = xalloc(sizeof(*object));
    snprintf(object->kind, sizeof(object->kind), "%s", kind);
    snprintf(object->name, sizeof(object->name), "%s", name);
    object->spec = spec != NULL ? strdup(spec) : NULL;
    object->revision = store_revision;
    return object;
}

static void
store_commit(const char *kind, const char *name, const char *spec)
{
    store_revision += 1;
    struct object **at = object_find(kind, name);
    struct object *old = *at;
    if (old != NULL) {
        *at = old->next;
        free(old->spec);
        free(old);
    }
    if (spec != NULL) {
        struct object *object = object_new(kind, name, spec);
        /* Sorted by name within the kind, as lists are. */
        at = &objects;
        while (*at != NULL && strcmp((*at)->name, name) < 0) {
            at = &(*at)->next;
        }
        object->next = *at;
        *at = object;
    }
    struct object *change = object_new(kind, name, spec);
    change->next = history;
    history = change;
    watches_answer();
}

void
store_put_config(const char *type, double warmup_s, double warmup_per_s)
{
    char *spec = NULL;
    if (asprintf(
            &spec,
            "{\"version\":7,\"routes\":[{\"name\":\"order\",\"host\":"
            "\"desk.example\",\"path_prefix\":\"/order/\",\"type\":\"%s\","
            "\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,"
            "\"service\":\"desk\",\"max_attempts\":2}],\"services\":[{"
            "\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96,"
            "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":%.1f,"
            "\"warmup_per_s\":%.1f}],\"limits\":{\"max_header_bytes\":16384,"
            "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
            "\"idle_timeout_ms\":15000}}",
            type, warmup_s, warmup_per_s) < 0) {
        abort();
    }
    store_commit("config", "main", spec);
    free(spec);
}

void
store_put(const char *kind, const char *name, const char *spec)
{
    store_commit(kind, name, spec);
}

void
store_delete(const char *kind, const char *name)
{
    if (*object_find(kind, name) != NULL) {
        store_commit(kind, name, NULL);
    }
}

/* Returns the JSON value of the member of a compact document; free it. */
static char *
json_member(const char *text, const char *key)
{
    char pattern[64];
    snprintf(pattern, sizeof(pattern), "\"%s\":", key);
    const char *at = strstr(text, pattern);
    if (at == NULL) {
        return NULL;
    }
    at += strlen(pattern);
    const char *end = at;
    int depth = 0;
    bool is_text = false;
    for (; *end != '\0'; end++) {
        if (is_text && *end == '\\') {
            end += 1;
        }
        else if (*end == '"') {
            is_text = !is_text;
        }
        else if (!is_text && (*end == '{' || *end == '[')) {
            depth += 1;
        }
        else if (!is_text && (*end == '}' || *end == ']')) {
            if (depth == 0) {
                break;
            }
            depth -= 1;
        }
        else if (!is_text && *end == ',' && depth == 0) {
            break;
        }
    }
    return strndup(at, (size_t)(end - at));
}

static char *
query_value(const char *query, const char *name)
{
    char pattern[32];
    snprintf(pattern, sizeof(pattern), "%s=", name);
    const char *at = query != NULL ? strstr(query, pattern) : NULL;
    if (at == NULL) {
        return NULL;
    }
    at += strlen(pattern);
    return strndup(at, strcspn(at, "&"));
}

static void
store_on_write(struct conn *conn, const struct message *message,
               const char *kind, const char *path_name, const char *query)
{
    char name[64];
    char *body = strndup(message->body, message->body_bytes);
    char *spec = json_member(body, "spec");
    bool is_create = strcmp(message->start[0], "POST") == 0;
    snprintf(name, sizeof(name), "%s", path_name);
    if (is_create) {
        char *quoted = json_member(body, "name");
        if (quoted != NULL) {
            snprintf(name, sizeof(name), "%.*s", (int)strlen(quoted) - 2,
                     quoted + 1);
        }
        free(quoted);
    }
    const struct object *object = *object_find(kind, name);
    char *revision = query_value(query, "revision");
    int status = 200;
    if (is_create) {
        status = object != NULL ? 409 : 200;
    }
    else if (object == NULL) {
        status = 404;
    }
    else if (revision != NULL && atoll(revision) != object->revision) {
        status = 409;
    }
    if (status == 200) {
        bool is_delete = strcmp(message->start[0], "DELETE") == 0;
        store_commit(kind, name, is_delete ? NULL : spec);
    }
    store_respond(conn, status, "{}");
    free(revision);
    free(spec);
    free(body);
}

static void
store_on_message(struct conn *conn, struct message *message)
{
    char target[256];
    snprintf(target, sizeof(target), "%s", message->start[1]);
    char *query = strchr(target, '?');
    if (query != NULL) {
        *query = '\0';
        query += 1;
    }
    if (strncmp(target, STORE_PATH, strlen(STORE_PATH)) != 0) {
        store_respond(conn, 404, "{}");
        return;
    }
    char *kind = target + strlen(STORE_PATH);
    char *name = strchr(kind, '/');
    if (name != NULL) {
        *name = '\0';
        name += 1;
    }
    if (strcmp(message->start[0], "GET") != 0) {
        store_on_write(conn, message, kind, name != NULL ? name : "", query);
        return;
    }
    char *from = query_value(query, "watch");
    if (from != NULL) {
        char *wait = query_value(query, "wait_ms");
        struct watch *watch = xalloc(sizeof(*watch));
        watch->conn = conn->serial;
        snprintf(watch->kind, sizeof(watch->kind), "%.31s", kind);
        watch->revision = atoll(from);
        watch->until_s = world_now() + (wait != NULL ? atof(wait) : 0) / 1000;
        if (watch_answer(watch)) {
            free(watch);
        }
        else {
            watch->next = watches;
            watches = watch;
        }
        free(from);
        free(wait);
        return;
    }
    char *text = NULL;
    size_t bytes = 0;
    FILE *out = open_memstream(&text, &bytes);
    int status = 200;
    if (name != NULL) {
        const struct object *object = *object_find(kind, name);
        status = object != NULL ? 200 : 404;
        if (object != NULL) {
            object_print(out, object);
        }
    }
    else {
        int count = 0;
        fprintf(out, "{\"items\":[");
        for (const struct object *item = objects; item != NULL;
             item = item->next) {
            if (strcmp(item->kind, kind) == 0) {
                fprintf(out, "%s", count > 0 ? "," : "");
                object_print(out, item);
                count += 1;
            }
        }
        fprintf(out, "],\"has_more\":false,\"current_rev\":%lld}",
                (long long)store_revision);
    }
    fclose(out);
    store_respond(conn, status, bytes > 0 ? text : "{}");
    free(text);
}

static void
store_on_accept(struct conn *conn, void *ctx)
{
    conn->on_message = store_on_message;
}

void
store_open(void)
{
    world_address(store_address, 0, 1, 7001);
    listener_open(store_address, store_on_accept, NULL);
    watches_tick(NULL);
}

/* --- searchers --- */

struct work {
    struct searcher *searcher;
    uint32_t generation;
    uint64_t conn;
    char id[64];
    double deadline_s;
    bool is_running;
    struct work *next;
};

struct run {
    char id[64];
    int count;
    struct run *next;
};
#define RUN_BUCKETS 65536
static struct run *run_table[RUN_BUCKETS];

static struct run *
run_find(const char *id, bool adds)
{
    uint32_t hash = 2166136261u;
    for (const char *c = id; *c != '\0'; c++) {
        hash = (hash ^ (uint8_t)*c) * 16777619u;
    }
    struct run **at = &run_table[hash % RUN_BUCKETS];
    while (*at != NULL && strcmp((*at)->id, id) != 0) {
        at = &(*at)->next;
    }
    if (*at == NULL && adds) {
        *at = xalloc(sizeof(**at));
        snprintf((*at)->id, sizeof((*at)->id), "%s", id);
    }
    return *at;
}

int
runs_of(const char *id)
{
    const struct run *run = run_find(id, false);
    return run != NULL ? run->count : 0;
}

static void
searcher_respond(struct searcher *searcher, struct conn *conn, int status,
                 const char *id, const char *headers, const char *body)
{
    conn_printf(conn,
                "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%s%s"
                "Content-Length: %zu\r\n\r\n%s",
                status, id, headers,
                searcher->says_leaving ? "Server-Leaving: 1\r\n" : "",
                strlen(body), body);
}

static void searcher_next(struct searcher *searcher);

static void
work_done(void *ctx)
{
    struct work *work = ctx;
    struct searcher *searcher = work->searcher;
    if (work->generation == searcher->generation && searcher->is_up) {
        struct conn *conn = conn_find(work->conn);
        if (conn != NULL) {
            char headers[160];
            snprintf(headers, sizeof(headers),
                     "X-Response-Stamp: %s.%s\r\nKeep-Alive: timeout=15\r\n",
                     searcher->id, work->id);
            searcher_respond(searcher, conn, 200, work->id, headers,
                             "0123456789abcdef");
        }
        searcher->running -= 1;
        searcher_next(searcher);
    }
    free(work);
}

static void
searcher_next(struct searcher *searcher)
{
    while (searcher->running < searcher->slots &&
           searcher->queue_head != NULL) {
        struct work *work = searcher->queue_head;
        searcher->queue_head = work->next;
        if (searcher->queue_head == NULL) {
            searcher->queue_tail = NULL;
        }
        searcher->queued -= 1;
        struct conn *conn = conn_find(work->conn);
        if (conn == NULL) {
            /* The request is dropped when its connection closes. */
            free(work);
            continue;
        }
        if (world_now() >= work->deadline_s) {
            searcher->rejected += 1;
            searcher_respond(searcher, conn, 503, work->id,
                             "X-Not-Executed: 1\r\n", "");
            free(work);
            continue;
        }
        searcher->running += 1;
        searcher->runs += 1;
        run_find(work->id, true)->count += 1;
        bool is_cold = world_now() < searcher->cold_until;
        world_after(searcher->work_s * (is_cold ? 1.6 : 1.0), work_done, work);
    }
}

static void
searcher_on_restart(void *ctx)
{
    struct searcher *searcher = ctx;
    world_log("%s starts again, cold", searcher->id);
    searcher_turn_cold(searcher, searcher->warmup_s);
    searcher_start(searcher);
}

/* Returns how many requests arrived while it was cold in the second that ends
 * now. */
static int
searcher_cold_count(const struct searcher *searcher)
{
    int count = 0;
    double from_s = world_now() - WORLD_WINDOW_S;
    for (int i = searcher->arrival_count - 1; i >= 0; i--) {
        double at_s = searcher->arrivals[i];
        if (at_s <= from_s || at_s < searcher->cold_from) {
            break;
        }
        count += 1;
    }
    return count;
}

/* Returns whether the searcher bears the request. */
static bool
searcher_note_arrival(struct searcher *searcher)
{
    if (searcher->arrival_count % 4096 == 0) {
        searcher->arrivals =
            realloc(searcher->arrivals,
                    (size_t)(searcher->arrival_count + 4096) * sizeof(double));
    }
    searcher->arrivals[searcher->arrival_count] = world_now();
    searcher->arrival_count += 1;
    if (world_now() >= searcher->cold_until) {
        return true;
    }
    int count = searcher_cold_count(searcher);
    if (count > searcher->cold_peak) {
        searcher->cold_peak = count;
        searcher->cold_peak_s = world_now();
    }
    if (searcher->crash_per_s == 0 || count <= searcher->crash_per_s) {
        return true;
    }
    world_log("%s crashes: %d requests in a second while cold", searcher->id,
              count);
    searcher->crashes += 1;
    searcher_crash(searcher);
    world_after(searcher->restart_s, searcher_on_restart, searcher);
    return false;
}

static void
searcher_on_message(struct conn *conn, struct message *message)
{
    struct searcher *searcher = conn->ctx;
    const char *id = message_header(message, "x-request-id");
    const char *expected = message_header(message, "x-expected-instance");
    const char *deadline = message_header(message, "x-request-deadline-ms");
    if (strcmp(message->start[1], "/health") == 0) {
        double left_s = searcher->cold_until - world_now();
        conn_printf(conn,
                    "HTTP/1.1 %d X\r\nX-Instance-Id: %s\r\n"
                    "X-Warmup-Ms: %d\r\nContent-Length: 0\r\n\r\n",
                    searcher->is_draining ? 503 : 200, searcher->id,
                    left_s > 0 ? (int)(left_s * 1000) : 0);
        return;
    }
    if (id == NULL) {
        searcher_respond(searcher, conn, 400, "", "X-Not-Executed: 1\r\n", "");
        return;
    }
    if (expected != NULL && strcmp(expected, searcher->id) != 0) {
        char headers[96];
        snprintf(headers, sizeof(headers), "X-Instance-Id: %s\r\n",
                 searcher->id);
        searcher->misdirected += 1;
        searcher_respond(searcher, conn, 421, id, headers, "");
        return;
    }
    world_log("%s gets %s%s", searcher->id, id,
              world_now() < searcher->cold_until ? " (cold)" : "");
    if (!searcher_note_arrival(searcher)) {
        return;
    }
    if (searcher->queued >= searcher->slots * 6) {
        searcher->rejected += 1;
        searcher_respond(searcher, conn, 503, id, "X-Not-Executed: 1\r\n", "");
        return;
    }
    struct work *work = xalloc(sizeof(*work));
    work->searcher = searcher;
    work->generation = searcher->generation;
    work->conn = conn->serial;
    work->deadline_s =
        world_now() + (deadline != NULL ? atof(deadline) : 30000) / 1000;
    snprintf(work->id, sizeof(work->id), "%s", id);
    if (searcher->queue_tail != NULL) {
        searcher->queue_tail->next = work;
    }
    else {
        searcher->queue_head = work;
    }
    searcher->queue_tail = work;
    searcher->queued += 1;
    searcher_next(searcher);
}

static void
searcher_on_closed(struct conn *conn)
{
    struct searcher *searcher = conn->ctx;
    for (int i = 0; i < searcher->conn_count; i++) {
        if (searcher->conns[i] == conn) {
            searcher->conn_count -= 1;
            searcher->conns[i] = searcher->conns[searcher->conn_count];
            return;
        }
    }
}

static void
searcher_on_accept(struct conn *conn, void *ctx)
{
    struct searcher *searcher = ctx;
    conn->ctx = searcher;
    conn->on_message = searcher_on_message;
    conn->on_closed = searcher_on_closed;
    if (searcher->conn_count == 512) {
        conn_reset(conn);
        return;
    }
    searcher->conns[searcher->conn_count] = conn;
    searcher->conn_count += 1;
}

void
searcher_beat(struct searcher *searcher)
{
    char spec[512];
    double left_s = searcher->cold_until - world_now();
    searcher->seq += 1;
    snprintf(spec, sizeof(spec),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"warmup_left_ms\":%d,\"seq\":%d,\"born\":%lld}",
             searcher->service, searcher->address, searcher->zone,
             searcher->slots, searcher->is_draining ? "draining" : "ready",
             left_s > 0 ? (int)(left_s * 1000) : 0, searcher->seq,
             (long long)searcher->born_ms);
    store_put("servers", searcher->id, spec);
}

struct beat {
    struct searcher *searcher;
    uint32_t generation;
};

static void
searcher_on_beat(void *ctx)
{
    struct beat *beat = ctx;
    struct searcher *searcher = beat->searcher;
    if (beat->generation != searcher->generation || !searcher->is_up) {
        free(beat);
        return;
    }
    searcher_beat(searcher);
    world_after(searcher->heartbeat_s, searcher_on_beat, beat);
}

void
searcher_start(struct searcher *searcher)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    searcher->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    searcher->generation += 1;
    searcher->seq = 0;
    searcher->running = 0;
    searcher->is_up = true;
    searcher->listener =
        listener_open(searcher->address, searcher_on_accept, searcher);
    struct beat *beat = xalloc(sizeof(*beat));
    beat->searcher = searcher;
    beat->generation = searcher->generation;
    searcher_on_beat(beat);
}

void
searcher_crash(struct searcher *searcher)
{
    searcher->is_up = false;
    listener_close(searcher->listener);
    while (searcher->conn_count > 0) {
        conn_reset(searcher->conns[searcher->conn_count - 1]);
    }
    while (searcher->queue_head != NULL) {
        struct work *work = searcher->queue_head;
        searcher->queue_head = work->next;
        free(work);
    }
    searcher->queue_tail = NULL;
    searcher->queued = 0;
}

void
searcher_turn_cold(struct searcher *searcher, double for_s)
{
    searcher->cold_from = world_now();
    searcher->cold_until = world_now() + for_s;
}

int
searcher_report(const struct searcher *searcher, int limit)
{
    world_log(
        "%s: %d requests, %d ran; at most %d in a second while cold (the "
        "second that ends at %.3f s), %d are allowed; %d crashes of it",
        searcher->id, searcher->arrival_count, searcher->runs,
        searcher->cold_peak, searcher->cold_peak_s, limit, searcher->crashes);
    return searcher->cold_peak;
}

void
searcher_prepare(struct searcher *searcher, const char *id,
                 const char *service, const char *zone, int high, int low)
{
    memset(searcher, 0, sizeof(*searcher));
    snprintf(searcher->id, sizeof(searcher->id), "%s", id);
    snprintf(searcher->service, sizeof(searcher->service), "%s", service);
    snprintf(searcher->zone, sizeof(searcher->zone), "%s", zone);
    world_address(searcher->address, high, low, 8080);
    searcher->slots = 4;
    searcher->work_s = 0.02;
    searcher->heartbeat_s = 1.2;
    searcher->warmup_s = 3;
}

/* --- gateways --- */

void
gateway_prepare(struct gateway *gateway, int index, const char *zone)
{
    memset(gateway, 0, sizeof(*gateway));
    gateway->index = index;
    snprintf(gateway->name, sizeof(gateway->name), "edge-%s-%d", zone,
             index + 1);
    snprintf(gateway->zone, sizeof(gateway->zone), "%s", zone);
    snprintf(gateway->ip, sizeof(gateway->ip), "127.%d.1.%d", net, index + 1);
    world_address(gateway->requests, 1, index + 1, 8104);
    world_address(gateway->ready, 1, index + 1, 8108);
    world_address(gateway->directory, 1, index + 1, 8100);
    snprintf(gateway->settings, sizeof(gateway->settings), "%s/%s.ini", folder,
             gateway->name);
    snprintf(gateway->log, sizeof(gateway->log), "%s/%s.log", folder,
             gateway->name);
    FILE *out = fopen(gateway->settings, "w");
    const struct bounds *b = &world_bounds;
    fprintf(out,
            "[vm]\nname = %s\ndata_centre = %s\nip = %s\ncores = 0.25\n"
            "files = 1000\n\n[listen]\nrequests = %s\nready = %s\n"
            "directory = %s\npeer_port = 7380\nmetrics_port = 9464\n\n"
            "[store]\naddress = %s\n\n[stop]\ngrace_s = %g\n\n[retries]\n"
            "extra_ratio = %g\nextra_count = %d\n\n[warmup]\n"
            "overshoot_ratio = %g\nslack = %d\n\n[config]\napply_ms = %d\n\n"
            "[drain]\nms = %d\n\n[directory]\nttl_max_s = %d\n",
            gateway->name, zone, gateway->ip, gateway->requests,
            gateway->ready, gateway->directory, store_address, b->grace_s,
            b->extra_ratio, b->extra_count, b->overshoot, b->slack,
            b->apply_ms, b->drain_ms, b->ttl_max_s);
    fclose(out);
    started[started_count] = gateway;
    started_count += 1;
}

void
gateway_start(struct gateway *gateway)
{
    pid_t parent = getpid();
    static const char program[] = "target/gateway/carobhatch-gateway";
    fflush(record);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(2);
        }
        int log = open(gateway->log, O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        signal(SIGPIPE, SIG_DFL);
        signal(SIGTERM, SIG_DFL);
        signal(SIGINT, SIG_DFL);
        setenv("CAROBHATCH_SETTINGS", gateway->settings, 1);
        execl(program, program, (char *)NULL);
        _exit(127);
    }
    gateway->pid = pid;
    gateway->starts += 1;
    world_log("%s started", gateway->name);
}

void
gateway_signal(struct gateway *gateway, int number)
{
    if (gateway->pid > 0) {
        world_log("%s gets signal %d", gateway->name, number);
        kill(gateway->pid, number);
    }
}

bool
gateway_is_ready(const struct gateway *gateway)
{
    struct sockaddr_in to;
    char answer[64] = "";
    struct timeval limit = {.tv_usec = 300000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    address_parse(gateway->ready, &to);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0) {
        const char *request =
            "GET /carobhatch/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        if (send(fd, request, strlen(request), 0) > 0 &&
            recv(fd, answer, sizeof(answer) - 1, 0) < 0) {
            answer[0] = '\0';
        }
    }
    close(fd);
    return strncmp(answer, "HTTP/1.1 200", 12) == 0;
}

void
gateway_wait_ready(struct gateway *gateways, int count, double limit_s)
{
    double end_s = world_now() + limit_s;
    int ready = 0;
    while (ready < count) {
        if (world_now() >= end_s) {
            world_give_up("%d of %d gateways are ready", ready, count);
        }
        world_run(world_now() + 0.1);
        ready = 0;
        for (int i = 0; i < count; i++) {
            ready += gateway_is_ready(&gateways[i]) ? 1 : 0;
        }
    }
    world_log("all %d gateways are ready", count);
}

/* --- clients --- */

struct client_request **client_requests;
int client_request_count;

struct client_conn {
    struct gateway *gateway;
    struct conn *conn;
    struct client_request *request; /* outstanding */
    int gateway_start;
    struct client_conn *next;
};
static struct client_conn *client_conns;

static void
client_end(struct client_request *request, struct message *answer)
{
    request->answered_s = world_now();
    if (answer != NULL) {
        const char *stamp = message_header(answer, "x-response-stamp");
        const char *parts = message_header(answer, "x-part-stamps");
        const char *id = message_header(answer, "x-request-id");
        request->status = atoi(answer->start[1]);
        request->body_bytes = answer->body_bytes;
        snprintf(request->stamp, sizeof(request->stamp), "%s",
                 stamp != NULL   ? stamp
                 : parts != NULL ? parts
                                 : "");
        snprintf(request->answer_id, sizeof(request->answer_id), "%s",
                 id != NULL ? id : "");
    }
    world_log("client: %s answered %d after %.0f ms", request->id,
              request->status, (request->answered_s - request->sent_s) * 1000);
    if (request->on_end != NULL) {
        request->on_end(request, answer);
    }
}

static void
client_on_message(struct conn *conn, struct message *message)
{
    struct client_conn *own = conn->ctx;
    struct client_request *request = own->request;
    const char *connection = message_header(message, "connection");
    own->request = NULL;
    if (request != NULL) {
        client_end(request, message);
    }
    if (connection != NULL && strcasecmp(connection, "close") == 0) {
        conn_close(conn);
    }
}

static void
client_on_closed(struct conn *conn)
{
    struct client_conn *own = conn->ctx;
    struct client_request *request = own->request;
    own->request = NULL;
    own->conn = NULL;
    if (request != NULL) {
        client_end(request, NULL);
    }
    struct client_conn **at = &client_conns;
    while (*at != own) {
        at = &(*at)->next;
    }
    *at = own->next;
    free(own);
}

struct client_request *
client_send(struct gateway *gateway, const char *route, const char *method,
            const char *host, const char *target, int deadline_ms,
            const char *body, size_t body_bytes, const char *more_headers)
{
    struct client_request *request = xalloc(sizeof(*request));
    if (client_request_count % 4096 == 0) {
        client_requests =
            realloc(client_requests, (size_t)(client_request_count + 4096) *
                                         sizeof(struct client_request *));
    }
    client_requests[client_request_count] = request;
    client_request_count += 1;
    snprintf(request->id, sizeof(request->id), "%08x%08x",
             (unsigned)client_request_count, (unsigned)rand());
    request->gateway = gateway;
    request->route = route;
    request->sent_s = world_now();
    struct client_conn *own = client_conns;
    while (own != NULL && (own->gateway != gateway || own->request != NULL)) {
        own = own->next;
    }
    if (own == NULL) {
        own = xalloc(sizeof(*own));
        own->gateway = gateway;
        own->conn = conn_connect(gateway->requests, client_on_message,
                                 client_on_closed, own);
        if (own->conn == NULL) {
            free(own);
            world_log("client: %s (%s) to %s", request->id, route,
                      gateway->name);
            client_end(request, NULL);
            return request;
        }
        own->next = client_conns;
        client_conns = own;
    }
    own->request = request;
    world_log("client: %s (%s) to %s", request->id, route, gateway->name);
    char length[64] = "";
    if (body != NULL) {
        snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
                 body_bytes);
    }
    char head[1024];
    int head_bytes =
        snprintf(head, sizeof(head),
                 "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                 "X-Request-Deadline-Ms: %d\r\n%s%s\r\n",
                 method, target, host, request->id, deadline_ms, length,
                 more_headers != NULL ? more_headers : "");
    char *all = xalloc((size_t)head_bytes + body_bytes + 1);
    memcpy(all, head, (size_t)head_bytes);
    if (body != NULL) {
        memcpy(all + head_bytes, body, body_bytes);
    }
    struct conn *conn = own->conn;
    conn_write(conn, all, (size_t)head_bytes + body_bytes);
    free(all);
    return request;
}

struct flow {
    struct gateway *gateways;
    int count;
    int next;
    const char *method;
    double per_s;
    double until_s;
};

static void
flow_next(void *ctx)
{
    struct flow *flow = ctx;
    if (world_now() >= flow->until_s) {
        free(flow);
        return;
    }
    bool has_body = strcmp(flow->method, "POST") == 0;
    client_send(&flow->gateways[flow->next], "order", flow->method,
                "desk.example", "/order/1", 2000, has_body ? "drum" : NULL,
                has_body ? 4 : 0, NULL);
    flow->next = (flow->next + 1) % flow->count;
    world_after(1.0 / flow->per_s, flow_next, flow);
}

void
client_flow(struct gateway *gateways, int count, const char *method,
            double per_s, double until_s)
{
    struct flow *flow = xalloc(sizeof(*flow));
    flow->gateways = gateways;
    flow->count = count;
    flow->method = method;
    flow->per_s = per_s;
    flow->until_s = until_s;
    flow_next(flow);
}

int
client_count_lost(void)
{
    int count = 0;
    for (int i = 0; i < client_request_count; i++) {
        const struct client_request *request = client_requests[i];
        bool has_no_outcome =
            request->answered_s > 0 &&
            (request->status == 0 || request->status == 502 ||
             request->status == 504);
        count += has_no_outcome && runs_of(request->id) > 0;
    }
    return count;
}

int
client_count(const char *route, double from_s, double to_s, int status)
{
    int count = 0;
    for (int i = 0; i < client_request_count; i++) {
        const struct client_request *request = client_requests[i];
        count += strcmp(request->route, route) == 0 &&
                 request->sent_s >= from_s && request->sent_s < to_s &&
                 request->status == status;
    }
    return count;
}

void
client_summary(const char *route, double from_s, double to_s)
{
    int counts[600] = {0};
    for (int i = 0; i < client_request_count; i++) {
        const struct client_request *request = client_requests[i];
        if (strcmp(request->route, route) == 0 && request->sent_s >= from_s &&
            request->sent_s < to_s && request->status < 600) {
            counts[request->status] += 1;
        }
    }
    for (int status = 0; status < 600; status++) {
        if (counts[status] > 0) {
            world_log("summary: %s sent %.1f to %.1f s: status %d: %d", route,
                      from_s, to_s, status, counts[status]);
        }
    }
}
