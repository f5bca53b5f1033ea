/*
 * Fault injection for system calls, preloaded into one process (LD_PRELOAD).
 *
 * The control file named by SYSCALL_FAULTS is mapped read-only. Its first line is a generation number and a seed; every
 * further line is a rule:
 *
 *     call error rate side argument
 *
 *   call      accept, socket, connect, connect_result, read, write, epoll_add (EPOLL_CTL_ADD), epoll_wait, eventfd_read,
 *             eventfd_write, poll, setsockopt, getsockopt, shutdown, close, open, open_anywhere, fsync, clock
 *   error     the name of an errno value, or SHORT (transfers at most `argument` bytes), EOF (end of stream), DELAY
 *             (waits `argument` milliseconds, then makes the call), STEP (the real-time clock is off by `argument`
 *             milliseconds)
 *   rate      the probability that a matching call is affected
 *   side      client (accepted sockets), upstream (connected sockets), any (all descriptors but the log), or log (standard
 *             output and error)
 *   argument  an integer, 0 if the error has none
 *
 * open fails only for files in the folder named by SYSCALL_FOLDER, so that the virtual machine's own files are not
 * affected. open_anywhere fails for all files, as when no descriptor is left.
 *
 * The writer changes the first line last, so that a rule is never read while it is being written. Each injected fault is
 * appended to the file named by SYSCALL_LOG: CLOCK_MONOTONIC in microseconds, call, error, descriptor.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>
#include <poll.h>

#define CONTROL_BYTES 4096
#define MAX_RULES 32
#define MAX_DESCRIPTORS 65536

enum call { ACCEPT, SOCKET, CONNECT, CONNECT_RESULT, READ, WRITE, EPOLL_ADD, EPOLL_WAIT, EVENTFD_READ, EVENTFD_WRITE, POLL, SETSOCKOPT,
    GETSOCKOPT, SHUTDOWN, CLOSE, OPEN, OPEN_ANYWHERE, FSYNC, CLOCK, CALL_COUNT };
static const char *const CALL_NAMES[CALL_COUNT] = { "accept", "socket", "connect", "connect_result", "read", "write",
    "epoll_add", "epoll_wait", "eventfd_read", "eventfd_write", "poll", "setsockopt", "getsockopt", "shutdown", "close", "open",
    "open_anywhere", "fsync",
    "clock" };

enum side { ANY, CLIENT, UPSTREAM, EVENTFD, LOG };

/* Errors that are not errno values. */
enum { ERROR_SHORT = -1, ERROR_EOF = -2, ERROR_DELAY = -3, ERROR_STEP = -4 };

static const struct { const char *name; int value; } ERRORS[] = {
    { "ECONNABORTED", ECONNABORTED }, { "EMFILE", EMFILE }, { "ENFILE", ENFILE }, { "ENOBUFS", ENOBUFS },
    { "ENOMEM", ENOMEM }, { "EPROTO", EPROTO }, { "EINTR", EINTR }, { "EAGAIN", EAGAIN }, { "EADDRNOTAVAIL", EADDRNOTAVAIL },
    { "ENETUNREACH", ENETUNREACH }, { "EHOSTUNREACH", EHOSTUNREACH }, { "ECONNREFUSED", ECONNREFUSED },
    { "ETIMEDOUT", ETIMEDOUT }, { "ECONNRESET", ECONNRESET }, { "EPIPE", EPIPE }, { "EINVAL", EINVAL },
    { "ENOTCONN", ENOTCONN }, { "EIO", EIO }, { "ENOSPC", ENOSPC }, { "ENETDOWN", ENETDOWN }, { "EPERM", EPERM },
    { "SHORT", ERROR_SHORT }, { "EOF", ERROR_EOF }, { "DELAY", ERROR_DELAY }, { "STEP", ERROR_STEP },
};

struct rule { int call; int error; double rate; int side; long argument; };

static const char *control;
static const char *folder;
static int log_descriptor = -1;
static char generation[24];
static struct rule rules[MAX_RULES];
static int rule_count;
static pthread_rwlock_t rules_lock = PTHREAD_RWLOCK_INITIALIZER;
static _Atomic uint64_t draw_count;
static uint64_t seed;
static unsigned char sides[MAX_DESCRIPTORS];

static int error_value(const char *name)
{
    for (size_t i = 0; i < sizeof ERRORS / sizeof ERRORS[0]; i++) {
        if (strcmp(ERRORS[i].name, name) == 0) {
            return ERRORS[i].value;
        }
    }
    return 0;
}

static const char *error_name(int value)
{
    for (size_t i = 0; i < sizeof ERRORS / sizeof ERRORS[0]; i++) {
        if (ERRORS[i].value == value) {
            return ERRORS[i].name;
        }
    }
    return "?";
}

static int call_value(const char *name)
{
    for (int i = 0; i < CALL_COUNT; i++) {
        if (strcmp(CALL_NAMES[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Copies the control file's first line, without its end. */
static void read_generation(char *buffer, size_t size)
{
    size_t i = 0;
    while (i + 1 < size && control[i] != '\0' && control[i] != '\n') {
        buffer[i] = control[i];
        i++;
    }
    buffer[i] = '\0';
}

static void parse_rules(void)
{
    char text[CONTROL_BYTES];
    memcpy(text, control, sizeof text);
    text[sizeof text - 1] = '\0';
    char *rest = NULL;
    char *line = strtok_r(text, "\n", &rest);
    unsigned long number = 0;
    if (line != NULL) {
        sscanf(line, "%lu %lu", &number, &seed);
    }
    rule_count = 0;
    while ((line = strtok_r(NULL, "\n", &rest)) != NULL && rule_count < MAX_RULES) {
        char call[24], error[24], side[24];
        struct rule rule;
        if (sscanf(line, "%23s %23s %lf %23s %ld", call, error, &rule.rate, side, &rule.argument) != 5) {
            continue;
        }
        rule.call = call_value(call);
        rule.error = error_value(error);
        rule.side = strcmp(side, "client") == 0 ? CLIENT : strcmp(side, "upstream") == 0 ? UPSTREAM
                : strcmp(side, "log") == 0 ? LOG : ANY;
        rules[rule_count++] = rule;
    }
}

/* Reads the rules again if the control file's first line has changed. */
static void reload_rules(void)
{
    char first_line[sizeof generation];
    read_generation(first_line, sizeof first_line);
    if (strcmp(first_line, generation) == 0) {
        return;
    }
    pthread_rwlock_wrlock(&rules_lock);
    memcpy(generation, first_line, sizeof generation);
    parse_rules();
    pthread_rwlock_unlock(&rules_lock);
}

/* The next random number in [0, 1), by SplitMix64; any thread may call it. */
static double next_random(void)
{
    uint64_t z = seed + 0x9E3779B97F4A7C15ULL * (atomic_fetch_add(&draw_count, 1) + 1);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return (double) ((z ^ (z >> 31)) >> 11) / (double) (1ULL << 53);
}

static void log_fault(int call, int error, int descriptor)
{
    struct timespec now;
    char line[96];
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    int length = snprintf(line, sizeof line, "%lld %s %s %d\n", (long long) now.tv_sec * 1000000 + now.tv_nsec / 1000,
            CALL_NAMES[call], error_name(error), descriptor);
    if (log_descriptor >= 0) {
        syscall(SYS_write, log_descriptor, line, (size_t) length);
    }
}

static int side_of(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS ? sides[descriptor] : ANY;
}

static void set_side(int descriptor, int side)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) {
        sides[descriptor] = (unsigned char) side;
    }
}

/* Whether a rule makes this call fail, and which. After a DELAY, which is carried out here, the call is made. */
static int find_rule(int call, int descriptor, struct rule *found)
{
    if (control == NULL) {
        return 0;
    }
    int saved_errno = errno;
    reload_rules();
    int matched = 0;
    pthread_rwlock_rdlock(&rules_lock);
    for (int i = 0; i < rule_count && !matched; i++) {
        struct rule *rule = &rules[i];
        int side = side_of(descriptor);
        int matches = rule->call == call && (rule->side == ANY ? side != LOG : rule->side == side);
        if (matches && (rule->error == ERROR_STEP || next_random() < rule->rate)) {
            *found = *rule;
            matched = 1;
        }
    }
    pthread_rwlock_unlock(&rules_lock);
    if (matched && found->error != ERROR_STEP) {
        log_fault(call, found->error, descriptor);
    }
    errno = saved_errno;
    if (matched && found->error == ERROR_DELAY) {
        struct timespec wait = { found->argument / 1000, found->argument % 1000 * 1000000 };
        syscall(SYS_clock_nanosleep, CLOCK_MONOTONIC, 0, &wait, NULL);
        return 0;
    }
    return matched;
}

/* The next definition of the function after this library's, looked up once. */
#define NEXT(name) (*({ \
    static __typeof__(&name) found; \
    if (found == NULL) { \
        found = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); \
    } \
    found; \
}))

__attribute__((constructor)) static void initialize(void)
{
    const char *path = getenv("SYSCALL_FAULTS");
    const char *log = getenv("SYSCALL_LOG");
    folder = getenv("SYSCALL_FOLDER");
    if (path == NULL) {
        return;
    }
    int descriptor = (int) syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    void *mapped = mmap(NULL, CONTROL_BYTES, PROT_READ, MAP_SHARED, descriptor, 0);
    syscall(SYS_close, descriptor);
    if (log != NULL) {
        log_descriptor = (int) syscall(SYS_openat, AT_FDCWD, log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    set_side(STDOUT_FILENO, LOG);
    set_side(STDERR_FILENO, LOG);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

static int fail_with(struct rule *rule)
{
    errno = rule->error;
    return -1;
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    struct rule rule;
    if (find_rule(ACCEPT, descriptor, &rule)) {
        return fail_with(&rule);
    }
    int accepted = NEXT(accept)(descriptor, address, length);
    set_side(accepted, CLIENT);
    return accepted;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    struct rule rule;
    if (find_rule(ACCEPT, descriptor, &rule)) {
        return fail_with(&rule);
    }
    int accepted = NEXT(accept4)(descriptor, address, length, flags);
    set_side(accepted, CLIENT);
    return accepted;
}

int socket(int domain, int type, int protocol)
{
    struct rule rule;
    if (find_rule(SOCKET, -1, &rule)) {
        return fail_with(&rule);
    }
    int made = NEXT(socket)(domain, type, protocol);
    set_side(made, ANY);
    return made;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    struct rule rule;
    set_side(descriptor, UPSTREAM);
    if (find_rule(CONNECT, descriptor, &rule)) {
        if (rule.error == EINTR) {
            NEXT(connect)(descriptor, address, length); /* an interrupted connect goes on in the background */
        }
        return fail_with(&rule);
    }
    return NEXT(connect)(descriptor, address, length);
}

int getsockopt(int descriptor, int level, int option, void *value, socklen_t *length)
{
    struct rule rule;
    if (level == SOL_SOCKET && option == SO_ERROR) {
        if (find_rule(CONNECT_RESULT, descriptor, &rule)) {
            *(int *) value = rule.error;
            return 0;
        }
    } else if (find_rule(GETSOCKOPT, descriptor, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(getsockopt)(descriptor, level, option, value, length);
}

int setsockopt(int descriptor, int level, int option, const void *value, socklen_t length)
{
    struct rule rule;
    if (find_rule(SETSOCKOPT, descriptor, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(setsockopt)(descriptor, level, option, value, length);
}

int shutdown(int descriptor, int how)
{
    struct rule rule;
    if (find_rule(SHUTDOWN, descriptor, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(shutdown)(descriptor, how);
}

/* Closes the descriptor even if the call is made to fail, as Linux does. */
int close(int descriptor)
{
    struct rule rule;
    int tracked = side_of(descriptor) == CLIENT || side_of(descriptor) == UPSTREAM;
    int matched = tracked && find_rule(CLOSE, descriptor, &rule);
    set_side(descriptor, ANY);
    int result = NEXT(close)(descriptor);
    return matched ? fail_with(&rule) : result;
}

int eventfd(unsigned int initial, int flags)
{
    int made = NEXT(eventfd)(initial, flags);
    set_side(made, EVENTFD);
    return made;
}

static int is_tracked(int descriptor)
{
    return side_of(descriptor) != ANY;
}

static int read_call(int descriptor)
{
    return side_of(descriptor) == EVENTFD ? EVENTFD_READ : READ;
}

static int write_call(int descriptor)
{
    return side_of(descriptor) == EVENTFD ? EVENTFD_WRITE : WRITE;
}

static size_t limited_count(size_t count, struct rule *rule)
{
    size_t most = rule->argument > 0 ? (size_t) rule->argument : 1;
    return count < most ? count : most;
}

ssize_t read(int descriptor, void *bytes, size_t count)
{
    struct rule rule;
    if (is_tracked(descriptor) && find_rule(read_call(descriptor), descriptor, &rule)) {
        if (rule.error == ERROR_EOF) {
            return 0;
        }
        if (rule.error != ERROR_SHORT) {
            return fail_with(&rule);
        }
        count = limited_count(count, &rule);
    }
    return NEXT(read)(descriptor, bytes, count);
}

ssize_t readv(int descriptor, const struct iovec *vectors, int count)
{
    struct rule rule;
    if (is_tracked(descriptor) && find_rule(READ, descriptor, &rule)) {
        if (rule.error == ERROR_EOF) {
            return 0;
        }
        if (rule.error != ERROR_SHORT) {
            return fail_with(&rule);
        }
        return NEXT(read)(descriptor, vectors[0].iov_base, limited_count(vectors[0].iov_len, &rule));
    }
    return NEXT(readv)(descriptor, vectors, count);
}

ssize_t write(int descriptor, const void *bytes, size_t count)
{
    struct rule rule;
    if (is_tracked(descriptor) && find_rule(write_call(descriptor), descriptor, &rule)) {
        if (rule.error != ERROR_SHORT) {
            return fail_with(&rule);
        }
        count = limited_count(count, &rule);
    }
    return NEXT(write)(descriptor, bytes, count);
}

ssize_t writev(int descriptor, const struct iovec *vectors, int count)
{
    struct rule rule;
    if (is_tracked(descriptor) && find_rule(WRITE, descriptor, &rule)) {
        if (rule.error != ERROR_SHORT) {
            return fail_with(&rule);
        }
        return NEXT(write)(descriptor, vectors[0].iov_base, limited_count(vectors[0].iov_len, &rule));
    }
    return NEXT(writev)(descriptor, vectors, count);
}

int epoll_ctl(int descriptor, int operation, int other, struct epoll_event *event)
{
    struct rule rule;
    if (operation == EPOLL_CTL_ADD && find_rule(EPOLL_ADD, other, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(epoll_ctl)(descriptor, operation, other, event);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    struct rule rule;
    if (find_rule(EPOLL_WAIT, descriptor, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(epoll_wait)(descriptor, events, most, timeout);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    struct rule rule;
    if (find_rule(POLL, -1, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(poll)(descriptors, count, timeout);
}

int fsync(int descriptor)
{
    struct rule rule;
    if (find_rule(FSYNC, descriptor, &rule)) {
        return fail_with(&rule);
    }
    return NEXT(fsync)(descriptor);
}

static int is_in_folder(const char *path)
{
    return folder != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

static int open_fails(const char *path, struct rule *rule)
{
    return (is_in_folder(path) && find_rule(OPEN, -1, rule)) || find_rule(OPEN_ANYWHERE, -1, rule);
}

int open(const char *path, int flags, ...)
{
    struct rule rule;
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (open_fails(path, &rule)) {
        return fail_with(&rule);
    }
    return (int) syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int open64(const char *path, int flags, ...)
{
    struct rule rule;
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (open_fails(path, &rule)) {
        return fail_with(&rule);
    }
    return (int) syscall(SYS_openat, AT_FDCWD, path, flags | O_LARGEFILE, mode);
}

static long clock_step_millis(void)
{
    struct rule rule;
    return find_rule(CLOCK, -1, &rule) && rule.error == ERROR_STEP ? rule.argument : 0;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int result = (int) syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        long step = clock_step_millis();
        now->tv_sec += step / 1000;
        now->tv_nsec += step % 1000 * 1000000;
        if (now->tv_nsec < 0) {
            now->tv_nsec += 1000000000;
            now->tv_sec--;
        } else if (now->tv_nsec >= 1000000000) {
            now->tv_nsec -= 1000000000;
            now->tv_sec++;
        }
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    (void) zone;
    struct timespec precise;
    int result = clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return result;
}
